// A checker of registers' histories: whether what was called and answered could have happened one after
// another, each at one moment between its call and its answer (linearizability). After Wing and Gong (1993),
// with the memory of Lowe (2017): one search a register, states that were met before are not searched again.
#ifndef ANISEWICK_STANDIN_HISTORIES_HPP_
#define ANISEWICK_STANDIN_HISTORIES_HPP_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace anisewick::standin {

struct Operation {
  enum class Kind { kRead, kCompareAndSet } kind = Kind::kRead;
  // kDone: it changed the register. kLeft: it found `found` there and left it. kUnknown: it may have happened
  // at any later time, or never.
  enum class End { kDone, kLeft, kUnknown } end = End::kUnknown;
  std::string expected, written, found;
  std::int64_t called = 0, answered = std::numeric_limits<std::int64_t>::max();
};

// Of one register, empty at first; at most 64 operations. False: no order explains it.
bool linearizable(const std::vector<Operation>& history);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_HISTORIES_HPP_
