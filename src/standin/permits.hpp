// Every order of events round one machine that is called out for work, to a depth: a doorman that sends to it
// and is late, forgetful, killed or cut off, and an owner that is followed by another. The doorman's and the
// owners' own code, on a register that is read and written at once (standin/explorer tries the register
// itself). States that look alike now and for the next two seconds are taken for one.
#ifndef ANISEWICK_STANDIN_PERMITS_HPP_
#define ANISEWICK_STANDIN_PERMITS_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::standin {

struct PermitsOptions {
  int depth = 9;  // events, from the moment at which the machine is announced
  std::uint64_t most_states = 20'000;
  int kills = 1, owners = 1;
};
struct PermitsResult {
  std::uint64_t states = 0;
  int depth = 0;                    // that was searched whole
  std::vector<std::string> breach;  // the events that lead to it
};
PermitsResult explore_permits(const PermitsOptions& options);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_PERMITS_HPP_
