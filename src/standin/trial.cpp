#include "standin/trial.hpp"

#include <random>

namespace anisewick::standin {
namespace {

class Trial {
 public:
  explicit Trial(const TrialOptions& o) : o_(o), random_(o.fleet.seed * 7919 + 17), fleet_(o.fleet) {}

  TrialResult run() {
    const std::size_t n = o_.fleet.members;
    fleet_.until([&] { return fleet_.owner(member::kHolds) != Ensemble::npos; }, 15'000);
    const std::int64_t end = fleet_.now() + o_.faults_ms;
    std::int64_t next_call = fleet_.now();
    while (fleet_.now() < end) {
      fleet_.run(static_cast<std::int64_t>(50 + random_() % 900));
      fault();
      while (next_call <= fleet_.now()) {
        next_call += static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(2 * o_.call_ms + 1));
        const std::size_t at = random_() % n;
        if (fleet_.up(at) && !stopped_.contains(at)) {
          fleet_.call(at, static_cast<depot::Id>(1 + random_() % o_.depots), random_() % 2 == 0);
        }
      }
    }
    calm();
    const std::int64_t from = fleet_.now();
    const auto owned = [&] {
      for (std::size_t d = 0; d < o_.fleet.duties; ++d) {
        if (fleet_.owner(d == 0 ? member::kHolds : "duty" + std::to_string(d)) == Ensemble::npos)
          return false;
      }
      return true;
    };
    const bool owners = fleet_.until(owned, o_.calm_ms);
    r_.owners_ms = fleet_.now() - from;
    r_.settled = owners && fleet_.until([&] { return fleet_.all_heed(); }, o_.calm_ms);
    // What is still under way must not come out differently.
    fleet_.run(2 * o_.fleet.lease_ms);
    r_.sound = fleet_.sound();
    r_.lost_calls = fleet_.lost_calls();
    r_.tally = fleet_.tally();
    r_.why = r_.tally.first;
    if (r_.why.empty() && !owners) r_.why = "a duty has no owner";
    if (r_.why.empty() && !r_.settled) r_.why = "they have not heeded the same, or calls wait";
    if (r_.why.empty() && r_.lost_calls > 0) r_.why = std::to_string(r_.lost_calls) + " calls are lost";
    return r_;
  }

 private:
  void fault() {
    const std::size_t n = o_.fleet.members, i = random_() % n;
    switch (random_() % 12) {
      case 0:
      case 1: {  // the owner, as often as not
        const std::size_t owner = fleet_.owner(member::kHolds);
        const std::size_t who = owner != Ensemble::npos && random_() % 2 == 0 ? owner : i;
        if (!fleet_.up(who)) break;
        ++r_.kills;
        fleet_.kill(who);
        stopped_.erase(who);
        // One voter's disk may be lost at a time, else there is nothing to be had by waiting.
        if (o_.empties && !emptied_ && who < o_.fleet.voters && random_() % o_.empty_in == 0) {
          emptied_ = true;
          emptied_one_ = who;
          fleet_.empty(who);
        }
        break;
      }
      case 2:
      case 3:
        if (!fleet_.up(i)) fleet_.start(i);
        break;
      case 4:
      case 5: {
        const std::size_t owner = fleet_.owner(member::kHolds);
        const std::size_t who = owner != Ensemble::npos ? owner : i;
        if (!fleet_.up(who) || stopped_.contains(who)) break;
        ++r_.stops;
        fleet_.stop(who);
        stopped_.insert(who);
        break;
      }
      case 6:
        for (const std::size_t s : stopped_) {
          if (fleet_.up(s)) fleet_.go_on(s);
        }
        stopped_.clear();
        break;
      case 7: {
        ++r_.cuts;
        std::set<std::size_t> side;
        for (std::size_t k = 0; k < n; ++k) {
          if (random_() % 2 == 0) side.insert(k);
        }
        fleet_.split(side);
        break;
      }
      case 8:
        ++r_.cuts;
        fleet_.cut(i, random_() % n, true);  // one way
        break;
      case 9:
        fleet_.split({});
        fleet_.loss(random_() % 2 == 0 ? 0.2 : 0.0);
        break;
      case 10:
        fleet_.full_disk(i, random_() % 2 == 0);
        if (fleet_.up(i) && !stopped_.contains(i)) fleet_.drain(i, random_() % 3 == 0);
        break;
      case 11: {
        const std::size_t owner = fleet_.owner(member::kHolds);
        if (!o_.replaces || owner == Ensemble::npos) break;
        const auto& now = fleet_.at(owner).proposer().voters().now;
        if (now.empty()) break;
        // First whoever lost its disk; else any voter by any other member.
        std::size_t out = std::stoul(now[random_() % now.size()].name.substr(1)), in = random_() % n;
        if (emptied_ && fleet_.up(emptied_one_)) out = in = emptied_one_;
        if (fleet_.up(in) && !stopped_.contains(in) && fleet_.replace(owner, out, in).empty()) ++r_.replaced;
        break;
      }
    }
    // It counts again once the voters are settled and it is one of them.
    if (!emptied_ || !fleet_.up(emptied_one_)) return;
    const auto& voter = fleet_.at(emptied_one_).voter();
    if (voter.votes() && voter.saved().voters.next.empty()) emptied_ = false;
  }
  void calm() {
    fleet_.split({});
    fleet_.loss(0.0);
    for (const std::size_t s : stopped_) {
      if (fleet_.up(s)) fleet_.go_on(s);
    }
    stopped_.clear();
    for (std::size_t i = 0; i < o_.fleet.members; ++i) {
      fleet_.full_disk(i, false);
      if (!fleet_.up(i)) fleet_.start(i);
      fleet_.drain(i, false);
    }
  }

  const TrialOptions o_;
  std::mt19937_64 random_;
  Ensemble fleet_;
  std::set<std::size_t> stopped_;
  bool emptied_ = false;
  std::size_t emptied_one_ = 0;
  TrialResult r_;
};

}  // namespace

TrialResult trial(const TrialOptions& options) { return Trial(options).run(); }

TrialResult drift_trial(std::uint64_t seed, double rate, int rounds) {
  EnsembleOptions o;
  o.seed = seed;
  o.clock_rate = 0.0;
  std::mt19937_64 random(seed);
  Ensemble fleet(o);
  TrialResult r;
  r.settled = true;
  for (int round = 0; round < rounds && r.settled; ++round) {
    const auto owned = [&] { return fleet.owner(member::kHolds) != Ensemble::npos; };
    r.settled = fleet.until(owned, 20'000);
    if (!r.settled) break;
    const std::size_t owner = fleet.owner(member::kHolds);
    for (std::size_t i = 0; i < o.members; ++i) fleet.clock_rate(i, i == owner ? 1.0 - rate : 1.0 + rate);
    fleet.run(2 * o.lease_ms + static_cast<std::int64_t>(random() % 700));
    ++r.cuts;
    fleet.split({owner});
    fleet.run(2 * o.lease_ms);
    fleet.split({});
  }
  r.sound = fleet.sound();
  r.tally = fleet.tally();
  r.why = r.settled ? r.tally.first : "the duty has no owner";
  return r;
}

}  // namespace anisewick::standin
