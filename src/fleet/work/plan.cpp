#include "fleet/work/plan.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <unordered_map>
#include <utility>

namespace anisewick::work {
namespace {

constexpr std::size_t kExact = 12;  // machines of one urgency that are tried in every division
constexpr std::size_t kTerms = 11;

// What stands in the way of the next machine, kept up as machines go out, so that a step costs no look at
// all.
class Ledger {
 public:
  Ledger(const Facts& facts, const Terms& terms, std::uint32_t aside = 0)
      : facts_(facts), terms_(terms), aside_(aside) {
    for (const Centre& c : facts.centres) places(centres_, c.name).peak = c.peak;
    for (const Hub& h : facts.hubs) places(hubs_, h.name).bears = h.refill;
    for (std::size_t i = 0; i < facts.machines.size(); ++i) {
      const Machine& m = facts.machines[i];
      Place& centre = places(centres_, m.centre);
      Place& hub = places(hubs_, m.hub);
      if (m.kind == Kind::kDoorman) ++centre.doormans;
      if (m.voter && m.away) ++voters_away_;
      if (m.away) {
        if (m.kind == Kind::kDoorman) ++centre.doormans_away;
        continue;
      }
      if (m.kind == Kind::kCache) {
        centre.capacity += m.capacity;
        centre.caches.insert(m.capacity);
      }
      if (m.kind == Kind::kParent) ++hub.parents;
    }
  }

  // The first term that forbids it, or nothing; `all`: every one of them.
  bool may(std::size_t i, std::vector<Term>* all = nullptr) const {
    const Machine& m = facts_.machines[i];
    const Place& centre = centres_.at(m.centre);
    const Place& hub = hubs_.at(m.hub);
    bool good = true;
    const auto must = [&](bool holds, Term term) {
      if (holds || (aside_ >> static_cast<unsigned>(term) & 1u) != 0) return;
      good = false;
      if (all != nullptr) all->push_back(term);
    };
    const auto within = [](std::size_t now, std::size_t most) { return most == 0 || now < most; };
    must(within(out_, terms_.at_once), Term::kAtOnce);
    const auto zone = zones_.find(m.zone);
    must(within(zone == zones_.end() ? 0 : zone->second, terms_.by_zone), Term::kByZone);
    must(within(centre.out, terms_.by_centre), Term::kByCentre);
    must(within(hub.out, terms_.by_hub), Term::kByHub);
    if (m.kind == Kind::kCache) {
      const double left = centre.capacity - m.capacity;
      must(left + 1e-9 >= terms_.reserve * centre.peak, Term::kReserve);
      // Without the largest of those that stay.
      double largest = 0.0;
      for (auto it = centre.caches.rbegin(); it != centre.caches.rend(); ++it) {
        if (it == centre.caches.rbegin() && *it == m.capacity && centre.caches.count(m.capacity) == 1)
          continue;
        largest = *it;
        break;
      }
      must(!terms_.spare || left - largest + 1e-9 >= terms_.reserve * centre.peak, Term::kSpare);
    }
    if (m.kind == Kind::kParent) must(hub.parents > 1, Term::kLastParent);
    if (m.kind == Kind::kDoorman) {
      must(2 * (centre.doormans_away + 1) <= centre.doormans, Term::kDoormans);
    }
    if (m.voter) must(voters_away_ == 0, Term::kVoters);
    must(hub.bears == 0.0 || hub.refill + m.refill <= hub.bears + 1e-9, Term::kRefill);
    return good;
  }
  void take(std::size_t i) {
    const Machine& m = facts_.machines[i];
    Place& centre = centres_.at(m.centre);
    Place& hub = hubs_.at(m.hub);
    ++out_;
    ++zones_[m.zone];
    ++centre.out;
    ++hub.out;
    hub.refill += m.refill;
    if (m.voter) ++voters_away_;
    if (m.kind == Kind::kDoorman) ++centre.doormans_away;
    if (m.kind == Kind::kParent) --hub.parents;
    if (m.kind != Kind::kCache) return;
    centre.capacity -= m.capacity;
    centre.caches.erase(centre.caches.find(m.capacity));
  }

 private:
  struct Place {
    double peak = 0.0, capacity = 0.0, bears = 0.0, refill = 0.0;
    std::multiset<double> caches;  // that are in
    std::size_t out = 0, parents = 0, doormans = 0, doormans_away = 0;
  };
  static Place& places(std::unordered_map<std::string, Place>& in, const std::string& name) {
    return in[name];
  }

  const Facts& facts_;
  const Terms& terms_;
  const std::uint32_t aside_;  // terms that are not looked at, by bit
  std::unordered_map<std::string, Place> centres_, hubs_;
  std::unordered_map<std::string, std::size_t> zones_;
  std::size_t out_ = 0, voters_away_ = 0;
};

// The least time of so many machines if `most` of them may be out at once: the longest together.
double groups(std::vector<double> lengths, std::size_t most) {
  std::sort(lengths.rbegin(), lengths.rend());
  double sum = 0.0;
  for (std::size_t i = 0; i < lengths.size(); i += std::max<std::size_t>(1, most)) sum += lengths[i];
  return sum;
}

// By each limit on numbers alone, and by who can never be out together.
double bound_of(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& wanted) {
  double bound = 0.0;
  std::vector<double> all;
  std::map<std::string, std::vector<double>> zones, centres, hubs, parents, doormans;
  std::map<std::string, std::size_t> parents_in, doormans_in, doormans_away;
  std::vector<double> voters;
  for (const Machine& m : facts.machines) {
    if (m.kind == Kind::kParent && !m.away) ++parents_in[m.hub];
    if (m.kind == Kind::kDoorman) ++doormans_in[m.centre];
    if (m.kind == Kind::kDoorman && m.away) ++doormans_away[m.centre];
  }
  for (const std::size_t i : wanted) {
    const Machine& m = facts.machines[i];
    all.push_back(m.work_s);
    zones[m.zone].push_back(m.work_s);
    centres[m.centre].push_back(m.work_s);
    hubs[m.hub].push_back(m.work_s);
    if (m.kind == Kind::kParent) parents[m.hub].push_back(m.work_s);
    if (m.kind == Kind::kDoorman) doormans[m.centre].push_back(m.work_s);
    if (m.voter) voters.push_back(m.work_s);
  }
  const auto limit = [&](const std::vector<double>& lengths, std::size_t most) {
    if (most > 0) bound = std::max(bound, groups(lengths, most));
  };
  if (!all.empty()) bound = *std::max_element(all.begin(), all.end());
  limit(all, terms.at_once);
  limit(voters, 1);
  for (const auto& [name, lengths] : zones) limit(lengths, terms.by_zone);
  for (const auto& [name, lengths] : centres) limit(lengths, terms.by_centre);
  for (const auto& [name, lengths] : hubs) limit(lengths, terms.by_hub);
  for (const auto& [name, lengths] : parents) limit(lengths, std::max<std::size_t>(2, parents_in[name]) - 1);
  for (const auto& [name, lengths] : doormans) {
    const std::size_t half = doormans_in[name] / 2, away = doormans_away[name];
    limit(lengths, half > away ? half - away : 1);
  }
  return bound;
}

struct Rounds {
  std::vector<std::vector<std::size_t>> rounds;
  double length_s = 0.0;
};

// Every division of a few machines into rounds that are allowed: the shortest, and of those the first.
Rounds exact(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& wanted) {
  const std::size_t n = wanted.size();
  const std::uint32_t all = (1u << n) - 1;
  std::vector<double> length(all + 1, -1.0);  // of a round; below 0: not allowed
  for (std::uint32_t mask = 1; mask <= all; ++mask) {
    Ledger ledger(facts, terms);
    double longest = 0.0;
    bool good = true;
    for (std::size_t k = 0; k < n && good; ++k) {
      if ((mask >> k & 1u) == 0) continue;
      good = ledger.may(wanted[k]);
      if (good) ledger.take(wanted[k]);
      longest = std::max(longest, facts.machines[wanted[k]].work_s);
    }
    if (good) length[mask] = longest;
  }
  std::vector<double> best(all + 1, std::numeric_limits<double>::infinity());
  std::vector<std::uint32_t> first(all + 1, 0);
  best[0] = 0.0;
  for (std::uint32_t mask = 1; mask <= all; ++mask) {
    const std::uint32_t lowest = mask & (~mask + 1);  // in some round: of all orders one is enough
    for (std::uint32_t part = mask; part > 0; part = (part - 1) & mask) {
      if ((part & lowest) == 0 || length[part] < 0.0) continue;
      const double sum = length[part] + best[mask & ~part];
      if (sum + 1e-9 < best[mask]) {
        best[mask] = sum;
        first[mask] = part;
      }
    }
  }
  Rounds out;
  out.length_s = best[all];
  for (std::uint32_t mask = all; mask > 0 && first[mask] > 0; mask &= ~first[mask]) {
    std::vector<std::size_t> round;
    for (std::size_t k = 0; k < n; ++k) {
      if ((first[mask] >> k & 1u) != 0) round.push_back(wanted[k]);
    }
    out.rounds.push_back(std::move(round));
  }
  return out;
}

// By length into the first round that takes it. `kept`: rounds of before, which are filled first.
Rounds first_fit(const Facts& facts, const Terms& terms, std::vector<std::size_t> wanted,
                 const std::vector<std::vector<std::size_t>>& kept) {
  std::vector<Ledger> ledgers;
  Rounds out;
  std::set<std::size_t> placed;
  for (const auto& round : kept) {
    ledgers.emplace_back(facts, terms);
    out.rounds.emplace_back();
    for (const std::size_t i : round) {
      if (!ledgers.back().may(i)) continue;
      ledgers.back().take(i);
      out.rounds.back().push_back(i);
      placed.insert(i);
    }
  }
  std::stable_sort(wanted.begin(), wanted.end(), [&](std::size_t a, std::size_t b) {
    return facts.machines[a].work_s > facts.machines[b].work_s;
  });
  // Rounds that are full for all are not looked at again.
  std::size_t open = 0;
  for (const std::size_t i : wanted) {
    if (placed.contains(i)) continue;
    std::size_t r = open;
    while (r < ledgers.size() && !ledgers[r].may(i)) ++r;
    if (r == ledgers.size()) {
      ledgers.emplace_back(facts, terms);
      out.rounds.emplace_back();
    }
    ledgers[r].take(i);
    out.rounds[r].push_back(i);
    while (terms.at_once > 0 && open < out.rounds.size() && out.rounds[open].size() >= terms.at_once) ++open;
  }
  std::erase_if(out.rounds, [](const auto& round) { return round.empty(); });
  for (const auto& round : out.rounds) {
    double longest = 0.0;
    for (const std::size_t i : round) longest = std::max(longest, facts.machines[i].work_s);
    out.length_s += longest;
  }
  return out;
}

Rounds rounds_of(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& wanted,
                 const std::vector<std::vector<std::size_t>>& kept, bool& all_exact) {
  if (wanted.size() <= kExact && kept.empty()) return exact(facts, terms, wanted);
  all_exact = false;
  return first_fit(facts, terms, wanted, kept);
}

// The fewest terms that, set aside, let each machine go alone and the whole end in time.
std::vector<Term> clash_of(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& stuck,
                           bool late) {
  std::vector<Term> best;
  std::size_t least = kTerms + 1;
  for (std::uint32_t aside = 1; aside < 1u << kTerms; ++aside) {
    const auto size = static_cast<std::size_t>(std::popcount(aside));
    if (size >= least) continue;
    if (late && (aside >> static_cast<unsigned>(Term::kWithin) & 1u) == 0) continue;
    const Ledger ledger(facts, terms, aside);
    if (!std::all_of(stuck.begin(), stuck.end(), [&](std::size_t i) { return ledger.may(i); })) continue;
    least = size;
    best.clear();
    for (unsigned t = 0; t < kTerms; ++t) {
      if ((aside >> t & 1u) != 0) best.push_back(static_cast<Term>(t));
    }
  }
  return best;
}

}  // namespace

const char* word(Term term) {
  constexpr const char* kWords[kTerms] = {"at_once",
                                          "by_zone",
                                          "by_centre",
                                          "by_hub",
                                          "reserve",
                                          "spare",
                                          "last parent of its hub",
                                          "half of a centre's doormans",
                                          "one voter at a time",
                                          "what a hub can refill",
                                          "the time allowed"};
  return kWords[static_cast<std::size_t>(term)];
}

std::vector<Term> forbids(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& out) {
  Ledger ledger(facts, terms);
  std::vector<Term> all;
  for (const std::size_t i : out) {
    if (!ledger.may(i, &all)) return all;
    ledger.take(i);
  }
  return all;
}

Plan plan(const Facts& facts, const Terms& terms, const std::vector<std::vector<std::string>>& before) {
  Plan p;
  std::map<int, std::vector<std::size_t>, std::greater<>> by_urgency;
  std::unordered_map<std::string, std::size_t> by_id;
  const Ledger alone(facts, terms);
  std::vector<std::size_t> wanted;
  for (std::size_t i = 0; i < facts.machines.size(); ++i) {
    const Machine& m = facts.machines[i];
    by_id[m.id] = i;
    if (!m.wanted || m.away) continue;
    if (!alone.may(i)) {
      p.stuck.push_back(i);
      continue;
    }
    wanted.push_back(i);
    by_urgency[m.urgency].push_back(i);
  }
  p.exact = true;
  for (auto& [urgency, machines] : by_urgency) {
    // The same order whatever the order of the facts.
    std::sort(machines.begin(), machines.end(),
              [&](std::size_t a, std::size_t b) { return facts.machines[a].id < facts.machines[b].id; });
    const std::set<std::size_t> here(machines.begin(), machines.end());
    std::vector<std::vector<std::size_t>> kept;
    for (const auto& round : before) {
      std::vector<std::size_t> again;
      for (const std::string& id : round) {
        const auto it = by_id.find(id);
        if (it != by_id.end() && here.contains(it->second)) again.push_back(it->second);
      }
      if (!again.empty()) kept.push_back(std::move(again));
    }
    Rounds rounds = rounds_of(facts, terms, machines, kept, p.exact);
    if (!kept.empty()) {
      // What was kept must not cost more than a tenth: else it is made anew.
      bool fresh_exact = true;
      Rounds fresh = rounds_of(facts, terms, machines, {}, fresh_exact);
      if (rounds.length_s > 1.1 * fresh.length_s) rounds = std::move(fresh);
    }
    p.length_s += rounds.length_s;
    p.bound_s += bound_of(facts, terms, machines);
    for (auto& round : rounds.rounds) p.rounds.push_back(std::move(round));
  }
  const bool late = terms.within_s > 0.0 && p.length_s > terms.within_s;
  if (!p.stuck.empty() || late) p.clash = clash_of(facts, terms, p.stuck, late);
  return p;
}

}  // namespace anisewick::work
