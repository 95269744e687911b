// A fleet in simulated time that takes depots out for work while it is harmed: doormans that send requests by
// what they know, staff who restart what is called out, a bus that tells of it late or not at all. What must
// hold is checked at every request and every change. The same seed gives the same run.
#ifndef ANISEWICK_STANDIN_WORKS_HPP_
#define ANISEWICK_STANDIN_WORKS_HPP_

#include <cstdint>
#include <string>

#include "standin/ensemble.hpp"

namespace anisewick::standin {

struct WorksOptions {
  std::uint64_t seed = 1;
  std::size_t members = 5, voters = 3, depots = 8, wanted = 5;
  std::int64_t faults_ms = 30'000, calm_ms = 90'000;
  double loss = 0.0;
  std::int64_t delay_ms = 10;  // of a datagram, at the most
  bool careless = false;       // an owner does not look at its lease
  bool faults = true;
  bool calls = false;         // staff pause, resume and stop at any time, and say that machines are back
  std::int64_t send_ms = 25;  // between two requests of one doorman, about
};
struct WorksResult {
  std::uint64_t sends = 0, sends_to_out = 0, open_at_out = 0, repeated_steps = 0, over_limit = 0;
  std::uint64_t reserve_breaches = 0;  // less was left than the job says
  std::uint64_t illegal = 0;           // a change that a job's plain model does not know
  std::uint64_t terms_fell = 0;        // an old owner's change was taken
  std::size_t done = 0, kills = 0, stops = 0, cuts = 0;
  bool ended = false;        // the job, in the end
  std::string waits;         // for what, if not
  std::int64_t took_ms = 0;  // after the faults' end
  std::string first;         // breach, in words
  bool sound() const {
    return sends_to_out + open_at_out + repeated_steps + over_limit + reserve_breaches + illegal +
               terms_fell ==
           0;
  }
  bool good() const { return sound() && ended; }
};
WorksResult works(const WorksOptions& options);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_WORKS_HPP_
