// Every order of delivery, loss, repetition, crash and restart for three voters and two proposers, to a
// depth: each state once, voters that differ by name alone taken as one. Each proposer changes the register
// from empty, and then once more or reads; after each answer the history must be linearizable.
#ifndef ANISEWICK_STANDIN_EXPLORER_HPP_
#define ANISEWICK_STANDIN_EXPLORER_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::standin {

struct ExplorerOptions {
  int depth = 10;  // events
  int crashes = 1, drops = 0, repeats = 0, timeouts = 1, empties = 0;
  bool prompt_disk = false;       // a state is on disk at once: fewer events, where no disk is in question
  bool lying_disk = false;        // a crash may take back what was said to be on disk
  std::uint64_t most_states = 0;  // 0: no bound
  bool deepen = false;            // depth by depth, so that the first breach has the shortest trace
};
struct ExplorerResult {
  std::uint64_t states = 0;
  int depth = 0;  // that was searched whole, or in which the breach lies
  bool whole = false;
  std::vector<std::string> breach;  // the events that lead to it; empty: none was found
};
ExplorerResult explore(const ExplorerOptions& options);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_EXPLORER_HPP_
