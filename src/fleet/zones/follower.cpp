#include "fleet/zones/follower.hpp"

#include <algorithm>
#include <cmath>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::zones {

using agreement::Mistake;
using agreement::mistaken;

namespace {

constexpr std::size_t kMostSent = 64;
constexpr double kAloneShare = 0.1;       // of its zone, for one that does not reach it
constexpr std::int64_t kAloneMs = 1'500;  // the fleet has had so long to leave it, and did not
constexpr std::int64_t kAloneStepMs = 1'000;
constexpr std::uint64_t kWellAgain = 8;

std::uint64_t mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// A lot in [0, 1) that a doorman draws of a depot, the same each time.
double lot(const std::string& name, depot::Id id) {
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return static_cast<double>(mix(h ^ mix(id)) >> 11) * 0x1.0p-53;
}

}  // namespace

void Follower::told(const Tell& tell, bool by_owner, std::int64_t now_ms) {
  promote(now_ms);
  const Picture& newest = next_ ? *next_ : now_;
  const auto order = [](const Picture& p) { return std::pair(p.number, p.term); };
  // The register's numbers grow, whoever owns the duty: an older picture is never heeded again.
  const bool newer = order(tell.picture) > order(newest);
  if (newer || (mistaken(Mistake::kZonesOpen) && order(tell.picture) != order(newest))) {
    next_ = tell.picture;
    next_ms_ = now_ms + std::min<std::int64_t>(tell.in_ms, terms_.ahead_ms);
    heard_ms_ = now_ms;
  } else if (order(tell.picture) == order(newest)) {
    if (next_) next_ms_ = std::min(next_ms_, now_ms + tell.in_ms);
    heard_ms_ = now_ms;
  }
  promote(now_ms);
  if (!by_owner || !tell.part) return;
  const auto it =
      std::find_if(sent_.begin(), sent_.end(), [&](const auto& s) { return s.first == tell.serial; });
  if (it == sent_.end()) return;
  const std::int64_t until = it->second + terms_.part_ms - terms_.part_ms * terms_.drift_ppm / 1'000'000 - 1;
  if (until < part_until_ms_ || (until == part_until_ms_ && tell.serial < part_serial_))
    return;  // an older answer
  // Of several answers to one word it keeps the least, in whatever order they come: so what it says that it
  // holds is the most that it ever holds by that word.
  part_ = tell.serial == part_serial_ && until == part_until_ms_ ? std::min(part_, *tell.part) : *tell.part;
  part_serial_ = tell.serial;
  part_until_ms_ = until;
}

void Follower::said(std::uint64_t serial, std::int64_t now_ms) {
  sent_.emplace_back(serial, now_ms);
  if (sent_.size() > kMostSent) sent_.pop_front();
}

void Follower::promote(std::int64_t now_ms) {
  if (!next_ || now_ms < next_ms_) return;
  for (auto& [zone, watch] : watches_) {
    if (judged_anew(now_.of(zone), next_->of(zone))) watch.calm();  // as the owner does
  }
  now_ = std::move(*next_);
  next_.reset();
}

std::uint64_t Follower::number(std::int64_t now_ms) {
  promote(now_ms);
  return now_.number;
}

bool Follower::alone(std::int64_t now_ms) const { return now_ms - heard_ms_ > terms_.keep_ms; }

double Follower::part(std::int64_t now_ms) const {
  return now_ms < part_until_ms_ || mistaken(Mistake::kPartNeverEnds) ? part_ : 0.0;
}

void Follower::saw(const std::vector<evidence::Seen>& seen, double demand, std::int64_t now_ms) {
  demand_ = demand;
  for (const evidence::Seen& s : seen) {
    if (!watches_.contains(s.zone) && watches_.size() >= kMostZones) continue;
    Watch& watch = watches_[s.zone];
    const auto came = watch.add(s.tally, now_ms - s.age_ms);
    if (s.zone != home_ || !came) continue;
    const std::uint64_t bad = came->bad();
    if (bad > 0) failed_ms_ = now_ms;
    well_ = bad > 0 ? 0 : well_ + came->well();
    const bool zone = 2 * s.failing > s.depots && (s.failing >= 2 || s.depots <= 1);
    if (!watch.alarm().rings() || !zone) {
      rings_ms_ = -1;
    } else if (rings_ms_ < 0) {
      rings_ms_ = now_ms;
    }
  }
  by_itself(now_ms);
}

// Cut off from its own zone while the fleet finds it well: it leaves alone, and returns step by step.
void Follower::by_itself(std::int64_t now_ms) {
  const Entry* e = now_.of(home_);
  const bool fleet = e != nullptr && e->phase != Phase::kIn;
  if (fleet || alone(now_ms)) {
    own_share_ = 1.0;
    return;
  }
  if (own_share_ >= 1.0) {
    if (rings_ms_ < 0 || now_ms < rings_ms_ + kAloneMs) return;
    own_share_ = kAloneShare;
    own_ms_ = now_ms;
    well_ = 0;
    return;
  }
  if (failed_ms_ > own_ms_ && own_share_ > kAloneShare) {
    own_share_ = std::max(kAloneShare, own_share_ / 2.0);
    own_ms_ = now_ms;
    well_ = 0;
  } else if (well_ >= kWellAgain && now_ms >= own_ms_ + kAloneStepMs) {
    own_share_ = std::min(1.0, 2.0 * own_share_);
    own_ms_ = now_ms;
    well_ = 0;
    if (own_share_ >= 1.0) watches_[home_].calm(), rings_ms_ = -1;
  }
}

std::map<std::string, Felt> Follower::felt(std::int64_t now_ms) const {
  std::map<std::string, Felt> out;
  for (const auto& [zone, watch] : watches_) {
    if (auto felt = watch.felt(now_ms)) out[zone] = *felt;
  }
  return out;
}

Shares Follower::shares(std::int64_t now_ms) {
  promote(now_ms);
  Shares s;
  if (alone(now_ms)) return s;
  for (const Entry& e : now_.entries) {
    const double share = static_cast<double>(e.share) / kWhole;
    if (e.zone != home_) {
      if (e.phase != Phase::kIn) s.others[e.zone] = share;
      continue;
    }
    if (e.phase == Phase::kIn) continue;
    s.home = share;
    if (e.phase == Phase::kReturning) {
      // In steps of a hundredth: the list is laid anew with each.
      const double own = demand_ <= 0.0 ? share : std::min(share, part(now_ms) / demand_);
      s.home = std::floor(own * 100.0) / 100.0;
    }
    for (const auto& [zone, part] : e.hosts) s.hosts.emplace_back(zone, static_cast<double>(part) / kWhole);
    s.borne = s.home + (1.0 - s.home) * static_cast<double>(e.borne) / kWhole;
  }
  if (own_share_ < 1.0 && s.hosts.empty()) s.home = own_share_;
  if (s.hosts.empty() && s.home > 0.0 && own_share_ >= 1.0) s.home = 1.0, s.borne = 1.0;  // nowhere to go
  return s;
}

std::map<depot::Id, Laid> lay(const std::vector<bus::Depot>& depots, const Place& place,
                              const std::string& name, const Shares& shares, std::int64_t unix_ms) {
  std::map<depot::Id, Laid> out;
  const auto zone_of = [&](const bus::Depot& d) {
    const auto z = static_cast<std::size_t>(d.zone);
    return d.zone >= 0 && z < place.zones.size() ? place.zones[z] : std::string();
  };
  const auto cache = [&](const bus::Depot& d) {
    return d.kind != place.parent_kind && d.kind != place.origin_kind;
  };
  const std::string home = zone_of({.zone = place.zone});
  for (const bus::Depot& d : depots) {
    if (d.kind != place.parent_kind) continue;
    const std::string zone = zone_of(d);
    const auto other = shares.others.find(zone);
    const double share = zone == home ? shares.home : other == shares.others.end() ? 1.0 : other->second;
    if (share < 1.0 && lot(name, d.id) >= share) out[d.id].left = true;
  }
  if (shares.home >= 1.0) return out;
  // Who leaves alone goes to all others that the fleet has not left.
  std::map<std::string, double> hosts(shares.hosts.begin(), shares.hosts.end());
  const bool any = hosts.empty();
  const auto serves = [&](const bus::Depot& d) {
    const bool cold = d.started_ms != 0 && place.ramp_ms > 0 && unix_ms - d.started_ms < place.ramp_ms;
    return cache(d) && d.state == bus::State::kReady && !cold && d.zone != place.zone;
  };
  double own = 0.0;
  std::map<std::string, double> weights;
  for (const bus::Depot& d : depots) {
    const std::string zone = zone_of(d);
    if (cache(d) && d.zone == place.zone && d.state == bus::State::kReady) own += std::max(d.weight, 1e-6);
    if (!serves(d) || zone.empty()) continue;
    if (any && !shares.others.contains(zone)) hosts[zone] = 1.0;
    if (hosts.contains(zone)) weights[zone] += std::max(d.weight, 1e-6);
  }
  if (weights.empty()) return out;
  double sum = 0.0;
  for (const auto& [zone, weight] : weights) sum += hosts[zone];
  if (own <= 0.0) own = 1.0;
  for (const bus::Depot& d : depots) {
    const std::string zone = zone_of(d);
    if (cache(d) && d.zone == place.zone) {
      out[d.id].share = shares.home;
      out[d.id].left = shares.home <= 0.0;
    } else if (serves(d) && weights.contains(zone) && sum > 0.0) {
      const double part = (1.0 - shares.home) * hosts[zone] / sum;
      if (part > 0.0) out[d.id] = {part * own / weights[zone], true, false};
    }
  }
  return out;
}

}  // namespace anisewick::zones
