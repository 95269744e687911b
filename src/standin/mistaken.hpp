// Looks for one seeded mistake: first by every order of events, then by simulated time. Only in the build
// with mistakes; there `agreement::mistaken` is here.
#ifndef ANISEWICK_STANDIN_MISTAKEN_HPP_
#define ANISEWICK_STANDIN_MISTAKEN_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::standin {

struct Found {
  bool found = false;
  std::string by;      // explorer, duel or fleet
  std::string detail;  // the trace, or the seed and what was broken
};
// `runs`: simulated runs at the most, of each kind. `shortest`: of the explorer's traces, which takes longer.
Found look_for(agreement::Mistake mistake, std::uint64_t runs, bool shortest = false);

struct Named {
  agreement::Mistake mistake;
  const char* name;
};
const std::vector<Named>& mistakes();

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_MISTAKEN_HPP_
