// A day of a fleet in simulated time: doormen with the module's own decisions in several zones, depots that
// hold what they were asked for and fill one after another, a fault by name; with the fleet or each doorman
// alone. The same seed gives the same requests in both. What must hold is checked at every request and
// picture.
#ifndef ANISEWICK_STANDIN_ZONAL_HPP_
#define ANISEWICK_STANDIN_ZONAL_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::standin {

enum class Day {
  kCalm,
  kSilent,  // a zone gives no answer, and is back cold
  kRefuse,  // it refuses connections
  kSlow,    // it is ten times slower
  kGrey,    // it loses one answer in ten
  kTwo,     // one zone after another, the second while the first returns
  kFlap,    // it goes and comes each 3 s
  kAll,     // nobody gives an answer: the origin's or our own fault
  kDepot,   // one depot of a zone
  kLiar,    // to one doorman nothing seems to answer
  kHalf,    // half of a zone's doormen do not reach it
  kOwner,   // silent, and the owner of the duty is killed as it begins, and again as the zone returns
  kLate,    // silent, and what the doormen saw is told two seconds late
  kPurge    // silent, and a purge of half of all objects falls into the return
};
constexpr std::size_t kDays = 14;
const char* word(Day day);
constexpr bool to_leave(Day d) { return (d >= Day::kSilent && d <= Day::kTwo) || d >= Day::kOwner; }

struct ZonalOptions {
  Day day = Day::kSilent;
  std::uint64_t seed = 1;
  std::size_t members = 6, zones = 3, depots_each = 4;
  double rate = 10.0;  // requests a second of one doorman
  double loss = 0.0;   // of datagrams
  bool alone = false;
  std::int64_t lasts_ms = 8'000;   // the fault
  std::int64_t after_ms = 30'000;  // and the day goes on so long after it
  std::int64_t fill_ms = 200;      // of one fill, one after another at each depot
  std::size_t objects = 250;
};
struct ZonalResult {
  double good = 0.0;        // share of all requests that were answered in time
  double good_out = 0.0;    // of those while the fault lasted and 10 s after
  double leave_ms = -1;     // from the onset until all of the zone's doormen had left it
  double disagree_ms = 0;   // most, between the first and the last doorman to change to a picture
  double return_s = -1;     // from the fault's end until the zone's depots answer nine in ten of its requests
  double peak_fills = 0.0;  // most fills a second at the zone's depots after its return, of those bearable
  std::uint64_t relapses = 0;  // after the return the zone's depots turned requests away, or it was left anew
  std::uint64_t leaves = 0;    // of the first zone, in all
  std::uint64_t false_leaves = 0, missed = 0, falls = 0;
  std::uint64_t old_applied = 0;  // a doorman went back to an older picture
  std::uint64_t over_share = 0;   // seconds in which more went to a returning zone than its step's share
  std::uint64_t to_drained = 0;   // requests to a depot 250 ms after its drain was told
  double hits_kept = 1.0;         // hits in the other zones, of those before
  std::uint64_t requests = 0;
  std::string first;  // breach, in words
  bool sound() const { return old_applied + over_share + to_drained == 0; }
  struct Second {
    double good = 0, share = 1, fills = 0;
    double asked = 0, origin = 0;  // attempts at the zone's depots; at the origin, by its doormen
  };
  std::vector<Second> course;
};
ZonalResult zonal(const ZonalOptions& options);

// Doormen whose demand shifts, who fall silent and hear only some tells, while a zone returns: whether the
// parts that they may use never exceed the step's budget in sum. Empty: they never did; else what was found.
std::string parts_hold(std::uint64_t seed);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_ZONAL_HPP_
