// The judgement on zones, by the owner of the duty: from what doormen saw to the next picture, and each
// doorman's part of what may go to a zone that returns. No I/O, no clock; one owner, one thread. Milliseconds
// on a monotonic clock, and Unix time where it is shown. See docs/design/zones.md.
#ifndef ANISEWICK_FLEET_ZONES_JUDGE_HPP_
#define ANISEWICK_FLEET_ZONES_JUDGE_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/zones/grants.hpp"
#include "fleet/zones/picture.hpp"
#include "fleet/zones/watch.hpp"

namespace anisewick::zones {

struct Region {
  std::string name;
  std::vector<std::string> zones;
};
// What is known of a zone beforehand; 0: it is learned.
struct Bears {
  double requests = 0.0;  // a second, at its best
  double fills = 0.0;     // a second, of its depots while they are cold, their links and the origin together
};
struct Terms {
  std::vector<Region> regions;
  std::map<std::string, Bears> bears;
  std::int64_t ahead_ms = 150;   // a change is told so long before it is in force
  std::int64_t step_ms = 400;    // a step of a return lasts so long at least
  std::int64_t hold_ms = 2'000;  // a zone that was left stays so at least; doubles with each relapse
  std::int64_t most_hold_ms = 60'000;
  std::int64_t part_ms = 3'000;   // a doorman's part is its own for so long after it was told
  std::int64_t keep_ms = 30'000;  // a doorman that hears nothing keeps its share for so long
  std::int64_t drift_ppm = 20'000;
  double probes = 6.0;  // requests a second that a left zone is still asked, by all together
};

class Judge {
 public:
  explicit Judge(const Terms& terms) : terms_(terms) {}

  // A new owner, who hears doormen from now on; and the picture that it found once it had fenced the
  // register. What the one before gave out is out for part_ms more.
  void took(std::int64_t now_ms);
  void found(const Picture& picture, std::int64_t now_ms);
  void heard(const std::string& name, const Word& word, std::int64_t now_ms);
  // The picture that ought to follow; nothing: this one stands. `why` of each change is in the entries.
  std::optional<Picture> next(const Picture& now, const Said& said, std::int64_t now_ms,
                              std::int64_t unix_ms);
  // It stands from now on.
  void stands(const Picture& picture, std::int64_t now_ms);

  // A doorman's part, which is its own until part_ms after; nothing: its zone is not returning.
  std::optional<double> part(const std::string& name, const Picture& now, std::int64_t now_ms);
  std::uint64_t number_of(const std::string& name) const;  // that it heeds
  std::uint64_t serial_of(const std::string& name) const;

  // For whoever asks: by whose evidence, and what is seen now.
  std::string evidence(const std::string& zone, std::int64_t now_ms) const;
  std::vector<std::string> zones() const;
  double budget(const std::string& zone) const;  // requests a second to it, of all together

  struct Counters {
    std::uint64_t left = 0, returned = 0, relapses = 0, steps = 0, all_bad = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Asked {  // what one doorman saw of one zone
    Watch watch;
    std::uint32_t depots = 0, failing = 0;
    double best = 0.0, best_fills = 0.0;
    // Since the zone's share became what it is, and this doorman heeds that; and since its last failure.
    std::uint64_t all = 0, bad = 0, over = 0, fills = 0, well = 0;
    std::int64_t failed_ms = -1'000'000;
  };
  struct Doorman {
    std::uint64_t session = 0, serial = 0, number = 0;
    std::uint32_t weight = 0;
    std::string home, ill;
    double demand = 0.0;
    std::int64_t at_ms = 0;
    Grants grants;
    std::map<std::string, Asked> asked;
  };
  struct Zone {
    double rate = 0.0, fill_rate = 0.0;    // answers and fills a second, smoothed
    double usual_fills = 0.0;              // likewise over some seconds: a quiet moment is no room
    std::uint64_t answers = 0, fills = 0;  // since `since_ms`
    std::int64_t since_ms = 0;
    std::uint64_t version = 0;  // of its entry
    Entry stood;                // as it was before
    std::int64_t version_ms = 0, hold_until_ms = 0, calm_since_ms = 0;
    std::int64_t cut_ms = -1;  // since when it is bad, while it is
    double budget = 0.0;       // requests a second that all together may send it in this step
  };
  enum class Verdict { kNone, kWell, kSuspect, kBad };

  bool fresh(const Doorman& d, std::int64_t now_ms) const;
  bool bad(const Asked& a, bool hosts, std::int64_t now_ms) const;
  Verdict verdict(const std::string& zone, std::int64_t now_ms, std::string* why = nullptr) const;
  double demand(const std::string& zone, std::int64_t now_ms) const;
  std::int64_t part_span() const {  // by the owner's clock, until a part that it gave out is surely over
    return terms_.part_ms + 2 * terms_.part_ms * terms_.drift_ppm / 1'000'000 + 1;
  }
  double best(const std::string& zone, double Asked::*what, std::int64_t now_ms) const;  // of all doormen
  double bearable_fills(const std::string& zone, std::int64_t now_ms) const;
  double spare(const std::string& zone, std::int64_t now_ms) const;
  std::uint32_t trickle(const std::string& zone, std::int64_t now_ms) const;
  std::vector<std::string> region_of(const std::string& zone) const;
  void rates(std::int64_t now_ms);
  // Where the load of a zone goes, among those that are in and well; and how much of it is borne.
  void host(Entry& entry, const Picture& now, std::int64_t now_ms) const;
  void leave(Picture& next, const std::string& zone, const std::string& why, bool grey, std::int64_t now_ms,
             std::int64_t unix_ms);
  void step(Picture& next, Entry& entry, std::int64_t now_ms, std::int64_t unix_ms);
  void share(Entry& entry, std::uint32_t share, std::uint64_t number, std::int64_t now_ms,
             std::int64_t unix_ms, const std::string& why);

  const Terms terms_;
  std::map<std::string, Doorman> doormen_;
  std::map<std::string, Zone> zones_;
  std::set<std::string> hosts_;  // zones that bear another's load now
  std::int64_t took_ms_ = 0, rated_ms_ = 0;
  Counters counters_;
};

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_JUDGE_HPP_
