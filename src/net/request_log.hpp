// The course of each request and each client connection, a line of JSON a transition, for those who look for
// a cause. Off unless asked for (ANISEWICK_REQUEST_LOG); docs/operators/request-log.md has the lines.
#ifndef ANISEWICK_NET_REQUEST_LOG_HPP_
#define ANISEWICK_NET_REQUEST_LOG_HPP_

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "depot/depot.hpp"
#include "net/call.hpp"

namespace anisewick::net {

// Numbers a client connection since the start; never used again.
using ConnectionNumber = std::uint64_t;

// Used on the loop's thread. Writes at most `kMostLines` lines a second, and one that says how many were left
// out.
class RequestLog {
 public:
  static constexpr std::uint32_t kMostLines = 10'000;

  // `out` outlives it.
  explicit RequestLog(std::ostream& out) : out_(out) {}

  // A request came whole on a connection, with the FastCGI id `id`; `call` as the client wrote it.
  void taken(Ticket ticket, ConnectionNumber connection, std::uint16_t id, const Call& call);
  // An answer of the front itself (health, invalid, turned away), which has no ticket.
  void answered_by_front(ConnectionNumber connection, std::uint16_t id, std::string_view reason);
  // An attempt, counted from 1, goes to a cache server; `left_ms`: of the client's patience.
  void attempt(Ticket ticket, int number, depot::Id depot, std::int64_t left_ms);
  void attempt_ended(Ticket ticket, int number, depot::Id depot, std::string_view end);
  // The final answer, and why if it is none that serves.
  void answered(Ticket ticket, std::string_view kind, std::string_view reason);
  // No answer is owed any more, or none can be given.
  void left(Ticket ticket, std::string_view reason);
  void connection(ConnectionNumber connection, std::string_view state, std::string_view reason);

 private:
  // False: there were too many this second.
  bool begin(std::string_view event);
  void end();

  std::ostream& out_;
  std::chrono::steady_clock::time_point second_{};
  std::uint32_t lines_ = 0, left_out_ = 0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_REQUEST_LOG_HPP_
