// How many seeds a test plays: all of them in builds that are quick, some under the sanitizers, which watch
// the same code beside a build of it that plays all.
#ifndef ANISEWICK_TESTS_SEEDS_HPP_
#define ANISEWICK_TESTS_SEEDS_HPP_

#include <algorithm>
#include <cstdint>

namespace anisewick {

#ifdef ANISEWICK_FEW_SEEDS
constexpr bool kAllSeeds = false;
#else
constexpr bool kAllSeeds = true;
#endif

constexpr std::uint64_t seeds(std::uint64_t all) {
  return kAllSeeds ? all : std::max<std::uint64_t>(2, all / 8);
}

}  // namespace anisewick

#endif  // ANISEWICK_TESTS_SEEDS_HPP_
