// The plan of machines out for work: against every division of small jobs, and its bounds on large ones.
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>

#include "fleet/work/word.hpp"
#include "plans.hpp"

using namespace anisewick::work;

TEST_CASE("Small jobs: no division is shorter, none that is planned is forbidden, and the bound holds") {
  std::size_t possible = 0, impossible = 0;
  for (std::uint64_t seed = 1; seed <= 800; ++seed) {
    std::mt19937_64 random(seed);
    const std::size_t wanted = 2 + random() % 5;
    const Facts f = some(random, wanted + 3 + random() % 6, wanted);
    const Terms t = terms(random);
    const Plan p = plan(f, t);
    INFO("seed " << seed);
    std::vector<std::size_t> can;
    for (std::size_t i = 0; i < wanted; ++i) {
      const bool stuck = std::find(p.stuck.begin(), p.stuck.end(), i) != p.stuck.end();
      REQUIRE(allowed(f, t, {i}) == !stuck);
      if (!stuck) can.push_back(i);
    }
    std::vector<std::vector<std::size_t>> rounds;
    const double best = brute(f, t, rounds, can, 0);
    REQUIRE(p.length_s == Approx(can.empty() ? 0.0 : best));
    REQUIRE(p.bound_s <= p.length_s + 1e-9);
    std::set<std::size_t> seen;
    for (const auto& round : p.rounds) {
      REQUIRE(allowed(f, t, round));
      for (const std::size_t i : round) REQUIRE(seen.insert(i).second);
    }
    REQUIRE(seen.size() == can.size());
    REQUIRE(p.possible() == p.stuck.empty());
    ++(p.possible() ? possible : impossible);
  }
  CHECK(possible > 200);
  CHECK(impossible > 50);
}

TEST_CASE("Two thousand machines: allowed, near the bound, and quick") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Terms t;
    Facts f = large(seed, t);
    const auto from = std::chrono::steady_clock::now();
    const Plan p = plan(f, t);
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
    INFO("seed " << seed << ": " << p.rounds.size() << " rounds, " << p.length_s / p.bound_s
                 << " times the bound, " << ms << " ms");
    CHECK(p.possible());
    for (const auto& round : p.rounds) CHECK(forbids(f, t, round).empty());
    CHECK(p.length_s <= 1.15 * p.bound_s);
    // One machine more moves little.
    std::vector<std::vector<std::string>> before;
    for (const auto& round : p.rounds) {
      before.emplace_back();
      for (const std::size_t i : round) before.back().push_back(f.machines[i].id);
    }
    f.machines.push_back(f.machines.back());
    f.machines.back().id = "m99999";
    const Plan again = plan(f, t, before);
    std::map<std::string, std::size_t> at;
    std::size_t moved = 0;
    for (std::size_t r = 0; r < before.size(); ++r) {
      for (const std::string& id : before[r]) at[id] = r;
    }
    for (std::size_t r = 0; r < again.rounds.size(); ++r) {
      for (const std::size_t i : again.rounds[r]) {
        const auto it = at.find(f.machines[i].id);
        moved += it != at.end() && it->second != r;
      }
    }
    CHECK(moved == 0);
  }
}

TEST_CASE("A job that can never be done is told with the fewest terms that clash") {
  Facts f;
  f.centres = {{"c", 100.0}};
  f.hubs = {{"h", 5.0}};
  for (int i = 0; i < 2; ++i) {
    Machine m;
    m.id = "m" + std::to_string(i);
    m.centre = "c";
    m.hub = "h";
    m.capacity = 60.0;
    m.refill = 1.0;
    m.wanted = true;
    f.machines.push_back(m);
  }
  struct Case {
    double reserve, refill, within_s;
    bool spare;
    std::vector<Term> clash;
  };
  for (const Case& c :
       {Case{0.5, 1.0, 0.0, false, {}}, Case{0.7, 1.0, 0.0, false, {Term::kReserve}},
        Case{0.5, 1.0, 0.0, true, {Term::kSpare}}, Case{0.5, 9.0, 0.0, false, {Term::kRefill}},
        Case{0.5, 1.0, 100.0, false, {Term::kWithin}},
        Case{0.7, 9.0, 0.0, true, {Term::kReserve, Term::kSpare, Term::kRefill}}}) {
    Terms t;
    t.reserve = c.reserve;
    t.spare = c.spare;
    t.within_s = c.within_s;
    for (Machine& m : f.machines) m.refill = c.refill;
    CHECK(plan(f, t).clash == c.clash);
  }
}

TEST_CASE("A depot is ill by what several doormen saw of it together, and never by one of several") {
  using Rows = std::vector<std::uint32_t>;
  struct Case {
    std::size_t speak;
    Rows in_a_row;
    bool ill;
  };
  const Case cases[] = {
      {1, {2}, false},           {1, {3}, true},
      {2, {3}, false},  // the other finds it well
      {5, {9}, false},           {5, {1, 1}, false},
      {5, {2, 1}, true},                                  // three failures at two doormen
      {5, {1, 1, 1}, true},      {40, {1, 1, 1}, false},  // of forty three are chance
      {40, {2, 2, 3}, true},     {300, {3, 2, 2}, false},
      {300, {3, 3}, true},  // two who are sure
      {300, Rows(25, 1), false}, {300, Rows(25, 2), true},
  };
  for (const Case& c : cases) {
    INFO(c.speak << " speak, " << c.in_a_row.size() << " of them say so");
    CHECK(ill(c.speak, c.in_a_row) == c.ill);
  }
}
