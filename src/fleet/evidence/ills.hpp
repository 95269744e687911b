// Depots that give this doorman no answer, whatever the bus says: by their attempts in a row that got none.
// How many make a depot ill is judged by who hears it of several doormen, for each by itself asks a depot
// that has failed ever more seldom. No I/O, no clock; one owner, one thread. Milliseconds on a monotonic
// clock.
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
  static constexpr std::int64_t kLastsMs = 5'000;  // without a further one nothing is known of it any more
  static constexpr std::size_t kMost = 1024;       // depots that are counted
  static constexpr std::size_t kMostTold = 16;

  // An attempt at it has ended so. An answer of any kind shows that it lives; an error of its own says
  // nothing, for it may be the request's.
  void ended(depot::Id depot, End end, std::int64_t now_ms);
  struct Ill {
    depot::Id depot = 0;
    std::uint32_t in_a_row = 0;  // 1 or more
    bool operator==(const Ill&) const = default;
  };
  // Those whose last attempt failed, the most in a row first, then the longest; at most kMostTold.
  std::vector<Ill> now(std::int64_t now_ms) const;

 private:
  struct Row {
    std::uint32_t failed = 0;
    std::int64_t since_ms = 0, last_ms = 0;
  };
  std::unordered_map<depot::Id, Row> rows_;  // of those whose last attempt failed
};

}  // namespace anisewick::evidence

#endif  // ANISEWICK_FLEET_EVIDENCE_ILLS_HPP_
