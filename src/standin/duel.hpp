// Proposers and voters in simulated time, with loss, delay, duplicates, crashes, emptied disks and a voter
// that is replaced; what they answered, as a history a register. One seed, one run.
#ifndef ANISEWICK_STANDIN_DUEL_HPP_
#define ANISEWICK_STANDIN_DUEL_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standin/histories.hpp"

namespace anisewick::standin {

struct DuelOptions {
  std::uint64_t seed = 1;
  std::size_t voters = 3, proposers = 3, registers = 2;
  std::int64_t run_ms = 6000;  // with faults, and half as long again without
  double loss = 0.1, twice = 0.05;
  std::int64_t delay_ms = 30;
  bool crashes = true;   // voters lose what is not on disk
  bool empties = false;  // and one of them, at times, all
  bool replaces = false;
};
struct DuelResult {
  std::map<std::string, std::vector<Operation>> histories;
  std::size_t operations = 0, unknown = 0, bad = 0, replaced = 0;
  std::string first_bad;  // a history without an order, in words
};
DuelResult duel(const DuelOptions& options);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_DUEL_HPP_
