// Zones without processes: evidence and its kinds by a table, the tests' rates, what the judge makes of what
// doormen say, parts, how shares lie over a list, and whole days in simulated time.
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "fleet/evidence/evidence.hpp"
#include "fleet/evidence/ills.hpp"
#include "fleet/zones/follower.hpp"
#include "fleet/zones/toll.hpp"
#include "seeds.hpp"
#include "standin/zonal.hpp"

using namespace anisewick;
using evidence::Evidence;
using evidence::Kind;

namespace {

constexpr int kHit = 1, kFilled = 2;

evidence::Tally after(End end, int remark, std::int64_t ms, int usual_answers = 30) {
  Evidence e;
  for (int i = 0; i < usual_answers; ++i) {
    e.began(static_cast<std::uint64_t>(i), "a", 1, i);
    e.ended(static_cast<std::uint64_t>(i), {End::kServed, kHit, 0}, i + 4);
  }
  e.began(1'000, "a", 2, 1'000);
  e.ended(1'000, {end, remark, 0}, 1'000 + ms);
  auto t = e.of("a");
  t.n[0] -= static_cast<std::uint64_t>(usual_answers);
  return t;
}

}  // namespace

TEST_CASE("What an attempt's end tells of its zone") {
  struct Case {
    End end;
    int remark;
    std::int64_t ms;
    int kind;  // -1: nothing
  };
  for (const Case& c : {Case{End::kServed, kHit, 10, 0},
                        {End::kServed, kHit, 300, 4},
                        {End::kServed, kFilled, 300, 0},
                        {End::kLacks, 0, 4, 0},
                        {End::kFull, 0, 4, 5},
                        {End::kUnreached, 0, 4, 1},
                        {End::kReset, 0, 4, 2},
                        {End::kLate, 0, 700, 3},
                        {End::kBroke, 10, 4, -1},
                        {End::kOver, 0, 4, -1}}) {
    const auto t = after(c.end, c.remark, c.ms);
    INFO("end " << static_cast<int>(c.end) << " after " << c.ms);
    for (std::size_t k = 0; k < evidence::kKinds; ++k)
      CHECK(t.n[k] == (static_cast<int>(k) == c.kind ? 1u : 0u));
  }
}

TEST_CASE("Silence is counted once, before its end, and what a client gave up not at all") {
  Evidence e;
  for (std::uint64_t i = 0; i < 30; ++i) {
    e.began(i, "a", 1, 0);
    e.ended(i, {End::kServed, kHit, 0}, 4);
  }
  e.began(100, "a", 1, 1'000);
  e.began(101, "a", 2, 1'000);
  e.given_up(101);
  e.tick(1'200);
  CHECK(e.of("a").bad() == 0);
  e.tick(1'300);
  CHECK(e.of("a").bad() == 1);
  e.ended(100, {End::kLate, 0, 0}, 1'700);
  CHECK(e.of("a").bad() == 1);
  const auto seen = e.seen(1'700);
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].depots == 2);
  CHECK(seen[0].failing == 1);
  // Bounded by zones.
  for (int z = 0; z < 100; ++z)
    e.began(200 + static_cast<std::uint64_t>(z), "z" + std::to_string(z), 1, 2'000);
  CHECK(e.seen(2'000).size() == Evidence::kMostZones);
}

TEST_CASE("A depot's attempts in a row without an answer count until one comes, or none is made for long") {
  using Ill = evidence::Ills::Ill;
  evidence::Ills ills;
  for (int i = 0; i < 2; ++i) ills.ended(7, End::kLate, 100 * i);
  ills.ended(8, End::kFull, 100);
  CHECK(ills.now(300) == std::vector<Ill>{{7, 2}});
  ills.ended(7, End::kBroke, 250);
  ills.ended(7, End::kReset, 300);
  ills.ended(5, End::kUnreached, 300);
  CHECK(ills.now(300) == std::vector<Ill>{{7, 3}, {5, 1}});
  CHECK(ills.now(300 + evidence::Ills::kLastsMs + 1).empty());
  ills.ended(7, End::kLacks, 400);
  CHECK(ills.now(400) == std::vector<Ill>{{5, 1}});
}

TEST_CASE("The tests ring at a bad zone as soon as is said, and seldom at a usual one") {
  zones::Alarm down;
  for (int i = 0; i < 3; ++i) down.add(0, 1);
  CHECK(down.down());
  std::mt19937_64 random(5);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  // One in ten fails: about 64 attempts, of which the most take under 150.
  int late = 0;
  for (int run = 0; run < 200; ++run) {
    zones::Alarm a;
    int n = 0;
    for (; n < 150 && !a.rings(); ++n) unit() < 0.1 ? a.add(0, 1) : a.add(1, 0);
    late += !a.rings();
  }
  CHECK(late < 30);
  // One in a hundred is usual: it rings less than once in ten thousand attempts.
  int rang = 0;
  zones::Alarm usual;
  for (int n = 0; n < 300'000; ++n) {
    unit() < 0.01 ? usual.add(0, 1) : usual.add(1, 0);
    if (!usual.rings()) continue;
    ++rang;
    usual.reset();
  }
  CHECK(rang <= 30);
  CHECK(zones::most_failing(0, 14) == Approx(1.0 - std::pow(0.05, 1.0 / 14.0)));
  CHECK(zones::most_failing(3, 3) == 1.0);
}

TEST_CASE("Parts of a return never exceed its budget in sum, whoever falls silent and whatever is lost") {
  for (std::uint64_t seed = 1; seed <= seeds(30); ++seed) {
    INFO("seed " << seed);
    CHECK(standin::parts_hold(seed).empty());
  }
}

TEST_CASE("A mean is held so low that a second sees more than is bearable once in a thousand") {
  for (const double most : {4.0, 12.0, 100.0}) {
    const double mean = zones::mean_below(most);
    double p = std::exp(-mean), sum = p;
    for (int k = 1; k <= static_cast<int>(most); ++k) sum += p *= mean / k;
    CHECK(1.0 - sum == Approx(0.001).epsilon(0.01));
  }
  CHECK(zones::mean_below(100.0) > 0.7 * 100.0);  // the more is borne, the less is left unused
  CHECK(zones::mean_below(4.0) < 0.4 * 4.0);
}

TEST_CASE(
    "What a doorman may use is never more than is counted, in whatever order it hears; a cut counts at "
    "once") {
  for (std::uint64_t seed = 1; seed <= seeds(200); ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const zones::Terms terms;
    zones::Follower follower(terms, "n1", "a");
    zones::Grants grants;
    std::multimap<std::int64_t, zones::Tell> tells;
    std::multimap<std::int64_t, std::pair<std::uint64_t, std::pair<std::uint64_t, double>>> words;
    std::uint64_t serial = 0, heard = 0;
    double least_since = 0.0;
    for (std::int64_t now = 10; now < 20'000; now += 10) {
      if (random() % 8 == 0) {  // it says what it holds
        follower.said(++serial, now);
        words.emplace(now + static_cast<std::int64_t>(random() % 60),
                      std::pair(serial, std::pair(follower.part_serial(), follower.part(now))));
      }
      for (; !words.empty() && words.begin()->first <= now; words.erase(words.begin())) {
        const auto& [number, holds] = words.begin()->second;
        if (number <= heard || random() % 4 == 0) continue;
        heard = number;
        grants.holds(holds.first, holds.second);
      }
      if (heard > 0 && random() % 6 == 0) {
        zones::Tell t;
        t.part = static_cast<double>(random() % 40);
        t.serial = heard;
        grants.told(heard, *t.part,
                    now + terms.part_ms + 2 * terms.part_ms * terms.drift_ppm / 1'000'000 + 1);
        if (random() % 4 != 0) tells.emplace(now + static_cast<std::int64_t>(random() % 400), t);
      }
      for (; !tells.empty() && tells.begin()->first <= now; tells.erase(tells.begin()))
        follower.told(tells.begin()->second, true, now);
      REQUIRE(follower.part(now) <= grants.most(now));
      least_since = std::max(least_since, grants.most(now));
    }
    CHECK(least_since > 20.0);
  }
  zones::Grants grants;
  grants.told(5, 10.0, 3'000);
  grants.told(6, 4.0, 3'200);
  CHECK(grants.most(100) == 10.0);
  grants.holds(6, 4.0);  // what answers an earlier word is never heeded after that
  CHECK(grants.most(100) == 4.0);
  grants.followed();  // another process: the one before may still use it
  grants.told(1, 1.0, 3'400);
  grants.holds(1, 1.0);
  CHECK(grants.most(100) == 4.0);
  CHECK(grants.most(3'300) == 1.0);
}

TEST_CASE(
    "A new owner goes on from what the doormen saw themselves, and is told by those who see nothing wrong") {
  // Three doormen a zone: those of `a` saw it fail before this owner came, the others see that theirs is
  // well.
  const auto word = [](const std::string& home, bool felt) {
    zones::Word w;
    w.session = w.serial = 1;
    w.home = home;
    w.demand = 10.0;
    evidence::Seen s;
    s.zone = home;
    s.depots = 4;
    s.failing = home == "a" ? 4 : 0;
    s.tally.n = {100, 0, 0, home == "a" ? 6u : 0u, 0, 0};
    w.seen = {s};
    if (felt)
      w.felt[home] = home == "a" ? zones::Felt{12.0, 9.0, {0, 0, 0, 3, 0, 0}} : zones::Felt{0, 0, {8.0}};
    const auto back = zones::word_from(zones::encode(w));
    REQUIRE(back);
    return *back;
  };
  for (const bool felt : {true, false}) {
    zones::Judge judge{zones::Terms{}};
    judge.took(10'000);
    for (int i = 0; i < 6; ++i)
      judge.heard("n" + std::to_string(i), word(i % 2 == 0 ? "a" : "b", felt), 10'010);
    judge.found({}, 10'020);
    const auto next = judge.next({}, {}, 10'030, 0);
    CHECK(next.has_value() == felt);
    if (next) CHECK(next->of("a")->phase == zones::Phase::kLeft);
    if (next) CHECK(next->of("b") == nullptr);
  }
}

TEST_CASE(
    "What is seen from step to step of a return adds up; under any other share it is judged by itself") {
  using zones::Phase;
  const auto entry = [](std::uint64_t version, Phase phase, std::uint32_t share) {
    zones::Entry e;
    e.version = version;
    e.phase = phase;
    e.share = share;
    return e;
  };
  const zones::Entry in = entry(1, Phase::kIn, 10'000), left = entry(2, Phase::kLeft, 1'500),
                     first = entry(3, Phase::kReturning, 3'000), second = entry(4, Phase::kReturning, 6'000),
                     back = entry(5, Phase::kReturning, 3'000), done = entry(6, Phase::kIn, 10'000);
  struct Case {
    const zones::Entry *before, *after;
    bool anew;
  };
  for (const Case& c :
       {Case{nullptr, &left, true}, Case{&in, &left, true}, Case{&left, &first, true},
        Case{nullptr, &first, true}, Case{&first, &first, false}, Case{&first, &second, false},
        Case{&second, &back, true}, Case{&second, &left, true}, Case{&second, &done, false},
        Case{&second, nullptr, false}, Case{nullptr, nullptr, false}}) {
    CHECK(zones::judged_anew(c.before, c.after) == c.anew);
  }
  // A zone that loses one answer in ten passes each step for itself; it is not back before it is well.
  standin::ZonalOptions o;
  o.day = standin::Day::kGrey;
  o.seed = 100'001;
  o.lasts_ms = 25'000;
  o.after_ms = 20'000;
  const auto r = standin::zonal(o);
  CHECK(r.leave_ms > 0);
  CHECK(r.relapses == 0);
}

TEST_CASE("A step that goes ill is taken back, and is no relapse; fills stay below what is bearable") {
  for (const auto& [day, seed] : {std::pair(standin::Day::kSilent, 26), {standin::Day::kRefuse, 21}}) {
    standin::ZonalOptions o;
    o.day = day;
    o.seed = static_cast<std::uint64_t>(seed);
    o.lasts_ms = seed % 2 == 0 ? 8'000 : 20'000;
    o.after_ms = 20'000;
    const auto r = standin::zonal(o);
    INFO(standin::word(day) << ", seed " << seed << ", peak " << r.peak_fills);
    CHECK(r.relapses == 0);
    CHECK(r.peak_fills <= 1.0);
    CHECK(r.leave_ms > 0);
  }
}

TEST_CASE(
    "Shares over a list: the home's and the guests' make up the whole, cold and drained ones are no guests") {
  std::vector<bus::Depot> list;
  for (std::uint32_t i = 0; i < 9; ++i) {
    bus::Depot d;
    d.id = 1 + i;
    d.zone = static_cast<int>(i / 3);
    list.push_back(d);
  }
  list[4].started_ms = 99'000;  // cold
  list[5].state = bus::State::kDraining;
  bus::Depot parent;
  parent.id = 20;
  parent.kind = 1;
  parent.zone = 0;
  list.push_back(parent);
  const zones::Place place{{"a", "b", "c"}, 0, 1, 2, 16'000};
  zones::Shares s;
  s.home = 0.25;
  s.hosts = {{"b", 0.5}, {"c", 0.5}};
  const auto laid = zones::lay(list, place, "n1", s, 100'000);
  double home = 0, guests = 0;
  for (const auto& [id, l] : laid) {
    if (id == 20) continue;
    (l.guest ? guests : home) += l.share;
  }
  CHECK(home == Approx(0.75));
  CHECK(guests == Approx(2.25));
  CHECK_FALSE(laid.contains(5));
  CHECK_FALSE(laid.contains(6));
  CHECK(laid.at(4).share == Approx(1.125));
  // A parent of the zone is used by about that share of the doormen, the same each time.
  int used = 0;
  for (int i = 0; i < 400; ++i) {
    const auto l = zones::lay(list, place, "n" + std::to_string(i), s, 100'000);
    used += !l.contains(20) || !l.at(20).left;
  }
  CHECK(used > 60);
  CHECK(used < 140);
  s.home = 0.0;
  CHECK(zones::lay(list, place, "n1", s, 100'000).at(1).left);
  // With nowhere to go all stays.
  s.hosts = {{"nowhere", 1.0}};
  CHECK(zones::lay(list, place, "n1", s, 100'000).size() <= 1);
  s.home = 1.0;
  CHECK(zones::lay(list, place, "n1", s, 100'000).empty());
}

TEST_CASE("What is not borne is refused, the least worth first, in the share that is said") {
  zones::Toll toll;
  std::mt19937_64 random(3);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  int asked[2] = {0, 0}, passed[2] = {0, 0};
  for (int i = 0; i < 20'000; ++i) {
    const int cls = i % 2;
    const bool in = toll.passes(cls, cls == 0 ? 1.0 : 5.0, 0.01, i < 4'000 ? 1.0 : 0.75, unit(), i * 5);
    if (i < 4'000) REQUIRE(in);
    if (i < 6'000) continue;
    ++asked[cls];
    passed[cls] += in;
  }
  CHECK(passed[1] == asked[1]);
  CHECK(passed[0] > 0.4 * asked[0]);
  CHECK(passed[0] < 0.6 * asked[0]);
  CHECK(toll.come_back_ms() >= 300);
}

TEST_CASE("Messages and registers of zones come back as they went, and others are turned down") {
  zones::Picture p{3, 7, {}};
  zones::Entry e;
  e.zone = "edge-1";
  e.share = 1'234;
  e.version = 6;
  e.phase = zones::Phase::kReturning;
  e.mode = zones::Mode::kReturn;
  e.why = "its answers are well";
  e.hosts = {{"edge-2", 4'000}, {"edge-3", 6'000}};
  e.borne = 8'000;
  p.entries = {e};
  const auto back = zones::picture_from(zones::encode(p));
  REQUIRE(back);
  CHECK(back->entries == p.entries);
  CHECK(back->number == 7);
  const auto tell = zones::tell_from(zones::encode(zones::Tell{p, 120, 3.5, 9}));
  REQUIRE(tell);
  CHECK(tell->part == Approx(3.5));
  std::mt19937_64 random(1);
  for (int i = 0; i < 2'000; ++i) {
    std::string bytes = zones::encode(zones::Tell{p, 120, 3.5, 9});
    bytes[random() % bytes.size()] = static_cast<char>(random());
    (void)zones::tell_from(bytes);
    (void)zones::word_from(bytes);
    (void)zones::picture_from(bytes.substr(0, random() % bytes.size()));
  }
  e.share = 10'001;
  CHECK_FALSE(zones::picture_from(zones::encode(zones::Picture{1, 1, {e}})));
}

TEST_CASE("Days of every kind: what is down is left, what is not stays, and nothing old is heeded") {
  for (std::size_t d = 0; d < standin::kDays; ++d) {
    standin::ZonalOptions o;
    o.day = static_cast<standin::Day>(d);
    o.seed = 3 + d;
    o.loss = d % 2 == 0 ? 0.2 : 0.0;
    if (o.day == standin::Day::kGrey) o.lasts_ms = 25'000;
    o.after_ms = 20'000;
    const auto r = standin::zonal(o);
    INFO(standin::word(o.day) << ", seed " << o.seed << ": " << r.first << ", left after " << r.leave_ms
                              << " ms, back after " << r.return_s << " s, most fills " << r.peak_fills);
    CHECK(r.sound());
    CHECK(r.false_leaves == 0);
    CHECK(r.missed == 0);
    if (standin::to_leave(o.day)) CHECK(r.peak_fills <= 1.25);
  }
}
