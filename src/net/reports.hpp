// A line at a set gap of what was done since the last one, by depot, for those who add up a fleet's logs.
#ifndef ANISEWICK_NET_REPORTS_HPP_
#define ANISEWICK_NET_REPORTS_HPP_

#include <chrono>
#include <ostream>

#include "net/asio.hpp"
#include "net/counters.hpp"

namespace anisewick::net {

// Owned by the program, used on its one thread. Writes one line of JSON a gap after the word `report`; the
// fields are in docs/operators/fleet.md. Off unless made: nothing is counted by depot then.
class Reports {
 public:
  // `counters` outlives it.
  Reports(asio::io_context& io, Counters& counters, std::chrono::milliseconds gap, std::ostream& out);
  ~Reports();
  void start() { wait(); }
  void close() { timer_.cancel(); }

 private:
  void wait();
  void print();

  Counters& counters_;
  const std::chrono::milliseconds gap_;
  std::ostream& out_;
  asio::steady_timer timer_;
  Tallies tallies_;
  Counters last_;
  double cpu_ms_ = 0.0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_REPORTS_HPP_
