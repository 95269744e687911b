#include "standin/mistaken.hpp"

#include "standin/duel.hpp"
#include "standin/explorer.hpp"
#include "standin/permits.hpp"
#include "standin/trial.hpp"
#include "standin/works.hpp"
#include "standin/zonal.hpp"

namespace anisewick::agreement {
namespace {
// Which is in force in this thread; the build with mistakes is a test's alone.
thread_local Mistake in_force = Mistake::kNone;
}  // namespace
bool mistaken(Mistake mistake) { return mistake == in_force; }
}  // namespace anisewick::agreement

namespace anisewick::standin {
namespace {

using agreement::Mistake;

struct Force {
  explicit Force(Mistake m) { agreement::in_force = m; }
  ~Force() { agreement::in_force = Mistake::kNone; }
};

Found by_explorer(Mistake mistake, bool shortest) {
  ExplorerOptions o;
  o.depth = 22;
  o.most_states = 60'000;
  o.empties = mistake == Mistake::kVoteFromNothing ? 1 : 0;
  o.crashes = mistake == Mistake::kAnswerBeforeDisk ? 1 : 0;
  o.prompt_disk = o.crashes == 0;
  o.timeouts = 0;
  ExplorerResult r = explore(o);
  if (r.breach.empty()) return {};
  if (shortest) {
    // Any trace first, for there is one; then by depth.
    o.depth = static_cast<int>(r.breach.size());
    o.deepen = true;
    o.most_states = 3'000'000;
    if (ExplorerResult s = explore(o); !s.breach.empty()) r = std::move(s);
  }
  std::string trace = std::to_string(r.breach.size()) + " events";
  for (const std::string& event : r.breach) trace += "\n    " + event;
  return {true, "explorer", trace};
}
Found by_duel(std::uint64_t runs) {
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    DuelOptions o;
    o.seed = seed;
    o.replaces = seed % 2 == 0;
    o.empties = seed % 4 > 1;
    const DuelResult r = duel(o);
    if (r.bad > 0)
      return {true, "duel", "seed " + std::to_string(seed) + ", a history that no order explains"};
  }
  return {};
}
Found by_fleet(Mistake mistake, std::uint64_t runs) {
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    if (const TrialResult r = drift_trial(seed, 0.0199, 5); !r.sound) {
      return {true, "fleet", "clocks apart, seed " + std::to_string(seed) + ", " + r.why};
    }
    TrialOptions o;
    o.fleet.seed = seed;
    o.fleet.duties = 3;
    o.fleet.twice = 0.05;
    o.fleet.clock_rate = 0.02;
    o.fleet.careless = seed % 2 == 0;
    if (mistake == Mistake::kCallForgotten) {  // many doors, and two depots
      o.fleet.members = 11;
      o.depots = 2;
      o.call_ms = 150;
    }
    if (mistake == Mistake::kUnsureHeeds) o.empty_in = 1;
    const TrialResult r = trial(o);
    if (!r.sound || r.lost_calls > 0) return {true, "fleet", "seed " + std::to_string(seed) + ", " + r.why};
  }
  return {};
}

Found by_permits() {
  const PermitsResult r = explore_permits({});
  if (r.breach.empty()) return {};
  std::string trace = std::to_string(r.breach.size()) + " events";
  for (const std::string& event : r.breach) trace += "\n    " + event;
  return {true, "permits", trace};
}

Found by_works(std::uint64_t runs) {
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    WorksOptions o;
    o.seed = seed;
    o.careless = seed % 2 == 0;
    o.delay_ms = seed % 3 == 0 ? 250 : 10;
    const WorksResult r = works(o);
    if (!r.sound()) return {true, "works", "seed " + std::to_string(seed) + ", " + r.first};
  }
  return {};
}

// What a day of a kind must not show, whatever the seed.
std::string wrong_with(Day day, const ZonalResult& r) {
  if (!r.sound()) return r.first;
  if (r.false_leaves > 0) return "a zone was left that ought not to be";
  if (r.missed > 0) return "a zone was not left";
  if (to_leave(day) && r.peak_fills > 1.25) return "more fills than the zone bears";
  if (day == Day::kSilent && r.leaves > 1) return "it returned before the zone was well";
  return {};
}
Found by_zones(std::uint64_t runs) {
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    if (const std::string why = parts_hold(seed); !why.empty()) {
      return {true, "parts", "seed " + std::to_string(seed) + ", " + why};
    }
    for (const Day day : {Day::kSilent, Day::kAll, Day::kDepot, Day::kLiar}) {
      ZonalOptions o;
      o.day = day;
      o.seed = seed;
      o.loss = seed % 2 == 0 ? 0.2 : 0.0;
      o.after_ms = 15'000;
      if (const std::string why = wrong_with(day, zonal(o)); !why.empty()) {
        return {true, "zones", std::string(word(day)) + ", seed " + std::to_string(seed) + ", " + why};
      }
    }
  }
  return {};
}

}  // namespace

const std::vector<Named>& mistakes() {
  static const std::vector<Named> all{{Mistake::kAnswerBeforeDisk, "answer before the disk"},
                                      {Mistake::kHalfIsMajority, "half is a majority"},
                                      {Mistake::kPromiseNotKept, "promise not kept"},
                                      {Mistake::kOwnValue, "own value"},
                                      {Mistake::kLatestNotTaken, "latest not taken"},
                                      {Mistake::kVoteFromNothing, "vote from nothing"},
                                      {Mistake::kFastPathAlways, "fast path always"},
                                      {Mistake::kEpochIgnored, "epoch ignored"},
                                      {Mistake::kOneSideOnly, "one side only"},
                                      {Mistake::kNoCopy, "no copy"},
                                      {Mistake::kLeaseFromAnswer, "lease from the answer"},
                                      {Mistake::kRivalTooEarly, "rival too early"},
                                      {Mistake::kDriftForgotten, "drift forgotten"},
                                      {Mistake::kRenewalUnseen, "renewal unseen"},
                                      {Mistake::kTermNotRaised, "term not raised"},
                                      {Mistake::kGateForgets, "gate forgets"},
                                      {Mistake::kGateOpen, "gate open"},
                                      {Mistake::kNoFence, "no fence"},
                                      {Mistake::kCallTwice, "call twice"},
                                      {Mistake::kCallForgotten, "call forgotten"},
                                      {Mistake::kPermitFromAnswer, "permit from the answer"},
                                      {Mistake::kPermitNeverEnds, "permit never ends"},
                                      {Mistake::kWorkNotFenced, "work not fenced"},
                                      {Mistake::kRollUnread, "list read once"},
                                      {Mistake::kSilenceConfirms, "silence confirms"},
                                      {Mistake::kOpenIgnored, "open ignored"},
                                      {Mistake::kAskedUnheeded, "asked unheeded"},
                                      {Mistake::kWordBeforeDisk, "word before the disk"},
                                      {Mistake::kPictureForgotten, "picture forgotten"},
                                      {Mistake::kOneDepotIsZone, "one depot is the zone"},
                                      {Mistake::kOneLeaves, "one doorman's word leaves a zone"},
                                      {Mistake::kAllBadLeaves, "all bad, and one left"},
                                      {Mistake::kFillsIgnored, "fills ignored"},
                                      {Mistake::kAllAtOnce, "returned at once"},
                                      {Mistake::kPartsForgotten, "parts forgotten"},
                                      {Mistake::kReturnUnshown, "return unshown"},
                                      {Mistake::kZonesOpen, "older picture heeded"},
                                      {Mistake::kPartNeverEnds, "part never ends"},
                                      {Mistake::kUnsureHeeds, "unsure, and heeds"}};
  return all;
}

Found look_for(Mistake mistake, std::uint64_t runs, bool shortest) {
  const Force force(mistake);
  if (mistake <= Mistake::kFastPathAlways) {
    if (Found f = by_explorer(mistake, shortest); f.found) return f;
  }
  if (mistake <= Mistake::kNoCopy) {
    if (Found f = by_duel(runs); f.found) return f;
  }
  if (mistake >= Mistake::kPermitFromAnswer && mistake <= Mistake::kPictureForgotten) {
    if (Found f = by_permits(); f.found) return f;
    return by_works(runs);
  }
  if (mistake >= Mistake::kOneDepotIsZone && mistake <= Mistake::kPartNeverEnds)
    return by_zones(std::min<std::uint64_t>(runs, 40));
  if (mistake == Mistake::kNone) {
    if (Found f = by_zones(3); f.found) return f;
    if (Found f = by_works(runs); f.found) return f;
  }
  return by_fleet(mistake, runs);
}

}  // namespace anisewick::standin
