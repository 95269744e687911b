// Depots that this doorman finds ill, whatever the bus says: several attempts in a row that got no answer. No
// I/O, no clock; one owner, one thread. Milliseconds on a monotonic clock.
#ifndef ANISEWICK_FLEET_EVIDENCE_ILLS_HPP_
#define ANISEWICK_FLEET_EVIDENCE_ILLS_HPP_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "depot/depot.hpp"
#include "depot/end.hpp"

namespace anisewick::evidence {

class Ills {
 public:
  static constexpr int kInARow = 3;
  static constexpr std::int64_t kLastsMs = 5'000;  // without a further one it is no longer known to be ill
  static constexpr std::size_t kMost = 1024;       // depots that are counted
  static constexpr std::size_t kMostTold = 16;

  // An attempt at it has ended so. An answer of any kind shows that it lives; an error of its own says
  // nothing, for it may be the request's.
  void ended(depot::Id depot, End end, std::int64_t now_ms);
  // Those that are ill now, the longest first, at most kMostTold.
  std::vector<depot::Id> now(std::int64_t now_ms) const;

 private:
  struct Row {
    int failed = 0;
    std::int64_t since_ms = 0, last_ms = 0;
  };
  std::unordered_map<depot::Id, Row> rows_;  // of those whose last attempt failed
};

}  // namespace anisewick::evidence

#endif  // ANISEWICK_FLEET_EVIDENCE_ILLS_HPP_
