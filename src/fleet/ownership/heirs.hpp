// Which member is to own which duty: weighted rendezvous (highest random weight), with a bound on the
// busiest. A member more or less moves only the duties that are its own. No I/O, no clock.
#ifndef ANISEWICK_FLEET_OWNERSHIP_HEIRS_HPP_
#define ANISEWICK_FLEET_OWNERSHIP_HEIRS_HPP_

#include <map>
#include <string>
#include <vector>

namespace anisewick::ownership {

struct Candidate {
  std::string name;
  std::string zone = {};
  double weight = 1.0;  // over 0
};
struct Duty {
  std::string name;
  std::string zone = {};  // preferred; empty: none
};

// For each duty all candidates, the best heir first. No member is first for more than `bound` times its even
// share of the duties, rounded up.
std::map<std::string, std::vector<std::string>> heirs(const std::vector<Duty>& duties,
                                                      const std::vector<Candidate>& candidates,
                                                      double bound = 1.25);

}  // namespace anisewick::ownership

#endif  // ANISEWICK_FLEET_OWNERSHIP_HEIRS_HPP_
