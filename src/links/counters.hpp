// What the connections of a program to its depots and to its event bus have done since its start.
#ifndef ANISEWICK_LINKS_COUNTERS_HPP_
#define ANISEWICK_LINKS_COUNTERS_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "bus/bus.hpp"
#include "depot/depot.hpp"

namespace anisewick::links {

// What went to one depot and came of it since the last report.
struct Tally {
  enum What {
    kAttempts,  // requests that the decisions sent there
    kFills,     // requests elsewhere that named it as the source
    kHits,      // answers from what it held
    kFilled,    // other good answers, by way of the origin ones apart
    kViaOrigin,
    kJoined,  // good answers from a fill that was under way
    kLacks,
    kFull,
    kBroke,
    kLate,
    kUnreached,
    kReset,
    kOver,
    kOpened,      // connections begun
    kRefused,     // of those, refused or cut before they came up
    kUnanswered,  // of those, not come up in time
    kHitMs,       // how long the good answers took, in all
    kFilledMs,
    kViaOriginMs,
    kWaitedMs,    // of the filled and those by way of the origin, for the source's first byte
    kSrcRefused,  // not answered, with the note that the source refused; the next ones alike
    kSrcBroke,
    kSrcLacks,
    kNoSlot,
    kOriginFailed,
    kHeld,      // of the attempts: the source was to give only what it held
    kBare,      // of the attempts: no fill was allowed
    kLateHeld,  // of the late, likewise
    kLateBare,
    kWhats
  };
  static constexpr std::array<std::string_view, kWhats> kWords{
      "attempts",      "fills",     "hits",        "filled",     "via_origin", "joined",
      "lacks",         "full",      "broke",       "late",       "unreached",  "reset",
      "over",          "opened",    "refused",     "unanswered", "hit_ms",     "filled_ms",
      "via_origin_ms", "waited_ms", "src_refused", "src_broke",  "src_lacks",  "no_slot",
      "origin_failed", "held",      "bare",        "late_held",  "late_bare"};
  static_assert(!kWords.back().empty(), "a word for each");
  std::array<std::uint32_t, kWhats> counts{};
};

// By depot, while somebody wants reports; bounded, what is beyond is left out.
class Tallies {
 public:
  void told(const bus::Depot& d) {
    if (listed.size() < kMost || listed.contains(d.id)) listed[d.id] = d;
  }
  void add(depot::Id id, Tally::What what, std::uint32_t n) {
    if (by_depot.size() < kMost || by_depot.contains(id)) by_depot[id].counts[what] += n;
  }
  std::map<depot::Id, Tally> by_depot;
  std::map<depot::Id, bus::Depot> listed;  // as it was last told

 private:
  static constexpr std::size_t kMost = 512;
};

struct Counters {
  std::uint64_t sent = 0;                   // requests whose first byte may have gone out
  std::uint64_t late_answers = 0;           // to requests given up before: dropped
  std::uint64_t contradicting_answers = 0;  // readable, but none to the request that they name
  std::uint64_t links = 0;                  // connections to depots that were begun
  std::uint64_t connects_failed_here = 0;   // for a lack of this machine's, and begun again
  std::uint64_t bus_lost = 0;               // times the event bus was lost or could not be reached
  Tallies* tallies = nullptr;               // none: no reports are wanted

  void tally(depot::Id id, Tally::What what, std::uint32_t n = 1) {
    if (tallies != nullptr) tallies->add(id, what, n);
  }
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_COUNTERS_HPP_
