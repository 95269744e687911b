// A doorman's side of the fleet's zones: the picture that is in force here, its own part of what may go to a
// zone that returns, and what it does alone. No I/O, no clock; seeded by its name. One owner, one thread.
// Milliseconds on a monotonic clock.
//
// A part is counted from before the word was sent that it answers, less drift, so that it is over here before
// the owner gives it to another. A doorman that hears nothing keeps the last shares for keep_ms and then goes
// on as one without a fleet.
#ifndef ANISEWICK_FLEET_ZONES_FOLLOWER_HPP_
#define ANISEWICK_FLEET_ZONES_FOLLOWER_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bus/bus.hpp"
#include "fleet/zones/judge.hpp"
#include "fleet/zones/picture.hpp"

namespace anisewick::zones {

// What is asked of each zone's depots here.
struct Shares {
  double home = 1.0;   // of the load of this doorman's own zone; 0: its depots are left alone
  double borne = 1.0;  // of the whole load; the rest is refused, the least worth first
  std::vector<std::pair<std::string, double>> hosts;  // where the rest goes
  std::map<std::string, double> others;               // other zones' shares below 1: of their parents
  bool operator==(const Shares&) const = default;
};

class Follower {
 public:
  Follower(const Terms& terms, std::string name, std::string home)
      : terms_(terms), name_(std::move(name)), home_(std::move(home)) {}

  // A picture whose term was let through; from the owner itself, or passed on by another.
  void told(const Tell& tell, bool by_owner, std::int64_t now_ms);
  // The owner's last sign of life here, by whatever way.
  void owner_lived(std::int64_t at_ms) { heard_ms_ = std::max(heard_ms_, at_ms); }
  // A word of that serial goes out now.
  void said(std::uint64_t serial, std::int64_t now_ms);

  // What this doorman sees itself: its own evidence, and the rate of its requests a second.
  void saw(const std::vector<evidence::Seen>& seen, double demand, std::int64_t now_ms);

  Shares shares(std::int64_t now_ms);
  const Picture& picture() const { return now_; }
  std::uint64_t number(std::int64_t now_ms);  // of the picture in force
  double part(std::int64_t now_ms) const;     // 0: it has none
  std::uint64_t part_serial() const {
    return part_serial_;
  }  // of the word that the tell answered which gave it
  // Its own watch on zones, for an owner who knows nothing yet.
  std::map<std::string, Felt> felt(std::int64_t now_ms) const;
  bool alone(std::int64_t now_ms) const;  // nothing was heard for too long
  const std::string& home() const { return home_; }

 private:
  void promote(std::int64_t now_ms);
  void by_itself(std::int64_t now_ms);

  const Terms terms_;
  const std::string name_, home_;
  Picture now_;
  std::optional<Picture> next_;
  std::int64_t next_ms_ = 0, heard_ms_ = -1'000'000;
  std::deque<std::pair<std::uint64_t, std::int64_t>> sent_;  // words, and when they went
  double part_ = 0.0;
  std::uint64_t part_serial_ = 0;
  std::int64_t part_until_ms_ = -1'000'000;
  double demand_ = 0.0;
  std::map<std::string, Watch> watches_;
  // On its own zone, for the case that it alone does not reach it.
  std::uint64_t well_ = 0;  // since the last failure
  double own_share_ = 1.0;
  std::int64_t rings_ms_ = -1, own_ms_ = 0, failed_ms_ = -1'000'000;
};

// How the shares lie over the bus's list for one doorman: depots by id. A cache of its own zone gets `share`
// of its usual part; a cache of a host is a guest in the zone with the rest. Where no host has a cache in
// service, all stays as the list has it. Caches that are cold yet are no guests, for their own zone's doormen
// have their whole budgets. Parents of a zone are used by as many doormen as its share says, the same ones
// each time.
struct Laid {
  double share = 1.0;
  bool guest = false, left = false;
  bool operator==(const Laid&) const = default;
};
struct Place {  // of the site, as the doorman knows it
  std::vector<std::string> zones;
  int zone = 0, parent_kind = -1, origin_kind = -1;
  std::int64_t ramp_ms = 0;
};
std::map<depot::Id, Laid> lay(const std::vector<bus::Depot>& depots, const Place& place,
                              const std::string& name, const Shares& shares, std::int64_t unix_ms);

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_FOLLOWER_HPP_
