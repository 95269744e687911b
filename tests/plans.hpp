// Jobs by chance, what may be out together reckoned from nothing, and the shortest of all plans by trying
// every one: what the planner is compared with.
#ifndef ANISEWICK_TESTS_PLANS_HPP_
#define ANISEWICK_TESTS_PLANS_HPP_

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/work/plan.hpp"

namespace anisewick::work {

inline Facts some(std::mt19937_64& random, std::size_t n, std::size_t wanted) {
  Facts f;
  const auto pick = [&](std::size_t k) { return random() % k; };
  const std::size_t centres = 1 + pick(3), hubs = 1 + pick(2);
  for (std::size_t c = 0; c < centres; ++c) {
    f.centres.push_back({"c" + std::to_string(c), static_cast<double>(50 * pick(6))});
  }
  for (std::size_t h = 0; h < hubs; ++h)
    f.hubs.push_back({"h" + std::to_string(h), static_cast<double>(10 * pick(5))});
  for (std::size_t i = 0; i < n; ++i) {
    Machine m;
    m.id = "m" + std::to_string(1000 + i);
    m.kind = pick(5) == 0 ? Kind::kParent : pick(4) == 0 ? Kind::kDoorman : Kind::kCache;
    m.centre = "c" + std::to_string(pick(centres));
    m.hub = "h" + std::to_string(pick(hubs));
    m.zone = "z" + std::to_string(pick(3));
    m.capacity = static_cast<double>(20 * (1 + pick(6)));
    m.refill = static_cast<double>(pick(12));
    m.work_s = static_cast<double>(10 * (1 + pick(8)));
    m.voter = m.kind == Kind::kDoorman && pick(2) == 0;
    m.wanted = i < wanted;
    m.away = i >= wanted && pick(8) == 0;
    f.machines.push_back(m);
  }
  return f;
}
inline Terms terms(std::mt19937_64& random) {
  Terms t;
  const auto limit = [&] { return static_cast<std::size_t>(random() % 4); };
  t.at_once = limit();
  t.by_zone = limit();
  t.by_centre = limit();
  t.by_hub = limit();
  t.reserve = static_cast<double>(random() % 5) / 4.0;
  t.spare = random() % 3 == 0;
  return t;
}

// All that must hold while these are out, reckoned from nothing: no ledger, no order.
inline bool allowed(const Facts& f, const Terms& t, const std::vector<std::size_t>& out) {
  const std::set<std::size_t> gone(out.begin(), out.end());
  std::map<std::string, std::size_t> zone, centre, hub;
  std::size_t voters = 0, voters_out = 0;
  for (std::size_t i = 0; i < f.machines.size(); ++i) {
    const Machine& m = f.machines[i];
    if (m.voter && (m.away || gone.contains(i))) ++voters;
    if (!gone.contains(i)) continue;
    ++zone[m.zone];
    ++centre[m.centre];
    ++hub[m.hub];
    voters_out += m.voter;
  }
  const auto over = [](const auto& by, std::size_t most) {
    for (const auto& [name, n] : by) {
      if (most > 0 && n > most) return true;
    }
    return false;
  };
  if ((t.at_once > 0 && out.size() > t.at_once) || over(zone, t.by_zone) || over(centre, t.by_centre) ||
      over(hub, t.by_hub) || (voters_out > 0 && voters > 1))
    return false;
  for (const auto& [name, n] : centre) {
    double capacity = 0, largest = 0, peak = 0;
    std::size_t doormans = 0, away = 0;
    bool cache = false, doorman = false;
    for (const Centre& c : f.centres) peak = c.name == name ? c.peak : peak;
    for (std::size_t i = 0; i < f.machines.size(); ++i) {
      const Machine& m = f.machines[i];
      if (m.centre != name) continue;
      const bool is_out = gone.contains(i);
      if (m.kind == Kind::kCache && is_out) cache = true;
      if (m.kind == Kind::kDoorman) ++doormans, away += m.away || is_out, doorman = doorman || is_out;
      if (m.kind == Kind::kCache && !m.away && !is_out)
        capacity += m.capacity, largest = std::max(largest, m.capacity);
    }
    if (cache && capacity + 1e-9 < t.reserve * peak) return false;
    if (cache && t.spare && capacity - largest + 1e-9 < t.reserve * peak) return false;
    if (doorman && 2 * away > doormans) return false;
  }
  for (const auto& [name, n] : hub) {
    double refill = 0, bears = 0;
    std::size_t parents = 0;
    bool parent = false;
    for (const Hub& h : f.hubs) bears = h.name == name ? h.refill : bears;
    for (std::size_t i = 0; i < f.machines.size(); ++i) {
      const Machine& m = f.machines[i];
      if (m.hub != name) continue;
      if (gone.contains(i)) refill += m.refill;
      if (m.kind == Kind::kParent) gone.contains(i) ? void(parent = true) : void(parents += !m.away);
    }
    if (parent && parents == 0) return false;
    if (bears > 0 && refill > bears + 1e-9) return false;
  }
  return true;
}
// The shortest of all divisions, tried one after another.
inline double brute(const Facts& f, const Terms& t, std::vector<std::vector<std::size_t>>& rounds,
                    const std::vector<std::size_t>& wanted, std::size_t next) {
  if (next == wanted.size()) {
    double sum = 0;
    for (const auto& round : rounds) {
      double longest = 0;
      for (const std::size_t i : round) longest = std::max(longest, f.machines[i].work_s);
      sum += longest;
    }
    return sum;
  }
  double best = 1e18;
  for (std::size_t r = 0; r <= rounds.size(); ++r) {
    if (r == rounds.size()) rounds.emplace_back();
    rounds[r].push_back(wanted[next]);
    if (allowed(f, t, rounds[r])) best = std::min(best, brute(f, t, rounds, wanted, next + 1));
    rounds[r].pop_back();
    if (rounds[r].empty()) {
      rounds.pop_back();
      break;
    }
  }
  return best;
}
// Two thousand machines of forty centres, and the terms of a careful job.
inline Facts large(std::uint64_t seed, Terms& t) {
  std::mt19937_64 random(seed);
  Facts f;
  for (int c = 0; c < 40; ++c) f.centres.push_back({"c" + std::to_string(c), 50 * 100.0 * 0.7});
  for (int h = 0; h < 8; ++h) f.hubs.push_back({"h" + std::to_string(h), 200.0});
  for (std::size_t i = 0; i < 2000; ++i) {
    Machine m;
    m.id = "m" + std::to_string(10'000 + i);
    m.centre = "c" + std::to_string(i % 40);
    m.hub = "h" + std::to_string(i % 8);
    m.zone = "z" + std::to_string(i % 5);
    m.kind = i < 80 ? Kind::kParent : Kind::kCache;
    m.capacity = 100.0;
    m.refill = static_cast<double>(2 + random() % 6);
    m.work_s = static_cast<double>(60 + random() % 240);
    m.wanted = true;
    f.machines.push_back(m);
  }
  t.at_once = 100;
  t.by_centre = 5;
  t.by_hub = 30;
  t.reserve = 0.9;
  t.spare = true;
  return f;
}

}  // namespace anisewick::work

#endif  // ANISEWICK_TESTS_PLANS_HPP_
