// What a doorman saw of each zone: attempts at its depots by how they ended, counted since the process began,
// so that a message that is lost takes nothing away. What it did not ask is not counted at all. Bounded by
// zones. No I/O, no clock; one owner, one thread. Milliseconds on a monotonic clock.
#ifndef ANISEWICK_FLEET_EVIDENCE_EVIDENCE_HPP_
#define ANISEWICK_FLEET_EVIDENCE_EVIDENCE_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "depot/depot.hpp"
#include "depot/end.hpp"

namespace anisewick::evidence {

// How an attempt ended, as far as it tells of the zone. An error that a depot answers tells nothing: it may
// be the request's own, or the origin's.
enum class Kind : std::uint8_t { kWell, kRefused, kReset, kSilent, kLate, kOverloaded };
constexpr std::size_t kKinds = 6;
const char* word(Kind kind);
constexpr bool failed(Kind k) { return k != Kind::kWell && k != Kind::kOverloaded; }

struct Tally {
  std::array<std::uint64_t, kKinds> n{};
  std::uint64_t fills = 0;  // of the answers that were well
  std::uint64_t well() const { return n[0]; }
  std::uint64_t bad() const;
  std::uint64_t all() const { return well() + bad() + n[static_cast<std::size_t>(Kind::kOverloaded)]; }
  bool operator==(const Tally&) const = default;
};

// Of one zone, as it is told.
struct Seen {
  std::string zone;
  Tally tally;
  std::uint32_t depots = 0, failing = 0;  // asked lately, and those of which something failed lately
  double usual_ms = 0.0;                  // of an answer that needs no fill; 0: not known
  // Answers and fills a second, at the best of the last hour or so.
  double best = 0.0, best_fills = 0.0;
  std::uint32_t age_ms = 0;  // since the last attempt there ended, when it was told
  bool operator==(const Seen&) const = default;
};

class Evidence {
 public:
  static constexpr std::int64_t kLatelyMs = 4'000;
  static constexpr std::size_t kMostZones = 16, kMostOpen = 16'384;
  static constexpr std::size_t kPlaces = 64;  // of a zone's depots, by their ids

  void began(std::uint64_t attempt, const std::string& zone, depot::Id depot, std::int64_t now_ms);
  // An attempt's end; what was given up by its client says nothing.
  void ended(std::uint64_t attempt, const Report& report, std::int64_t now_ms);
  void given_up(std::uint64_t attempt) { open_.erase(attempt); }
  // What is out for far longer than is usual there counts as silence now, not when its time is over.
  void tick(std::int64_t now_ms);

  std::vector<Seen> seen(std::int64_t now_ms) const;
  const Tally& of(const std::string& zone) const;

 private:
  struct Usual {
    double ms = 0.0;
    std::uint32_t n = 0;
    void add(double x, double weight);
  };
  struct Place {
    std::int64_t asked_ms = -1'000'000, failed_ms = -1'000'000;
  };
  struct Zone {
    Tally tally;
    Usual hit, fill;
    std::array<Place, kPlaces> places;
    std::int64_t counted_ms = -1;  // the last end
    double best = 0.0, best_fills = 0.0;
    Tally rated;  // as it stood at `rated_ms`
    std::int64_t rated_ms = -1;
  };
  struct Open {
    std::string zone;
    depot::Id depot = 0;
    std::int64_t at_ms = 0;
    bool silent = false;  // counted already
  };
  static double limit(const Usual& usual);
  void count(Zone& zone, depot::Id depot, Kind kind, std::int64_t now_ms);

  std::map<std::string, Zone> zones_;
  std::unordered_map<std::uint64_t, Open> open_;
};

// For faults: what was seen is told so much later, with the age that it has by then.
class Late {
 public:
  std::vector<Seen> seen(std::vector<Seen> now, std::int64_t now_ms, std::int64_t late_ms);

 private:
  static constexpr std::size_t kMost = 256;
  std::deque<std::pair<std::int64_t, std::vector<Seen>>> all_;
};

}  // namespace anisewick::evidence

#endif  // ANISEWICK_FLEET_EVIDENCE_EVIDENCE_HPP_
