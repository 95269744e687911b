// The facade: what a report leads to, in plain values.
#include "facade/facade.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "anisewick/control.hpp"

using namespace anisewick;
using What = Step::What;

namespace {

constexpr Time kMs = 1'000'000;
constexpr Time kStart = 1'764'576'000'000 * kMs;

Settings settings() {
  Settings s;
  s.seed = 5;
  ClassSettings page;
  page.aim = 400 * kMs;
  page.deadline = 2500 * kMs;
  page.fresh = 8000 * kMs;
  ClassSettings booking = page;
  booking.fresh = 0;
  booking.repeat = Repeat::kUnsafe;
  booking.never_kept = true;
  s.classes = {page, booking};
  s.zone = 1;
  s.zone_hub = {0, 0};
  s.zone_fronts = {0, 1};
  s.parent_kind = 1;
  s.origin_kind = 2;
  s.client_kb_per_s = 10'500.0;
  s.joins = true;
  s.notes = Notes::kAll;
  s.purge_settle = 6000 * kMs;
  for (ClassSettings& c : s.classes) c.max_attempts = 8;
  s.max_retry_after = 1000 * kMs;
  s.tick = 2 * kMs;
  return s;
}
bus::Event list() {
  bus::Event e;
  e.kind = bus::Event::Kind::kWholeList;
  const auto add = [&](std::uint32_t id, int zone, int kind) {
    bus::Depot d;
    d.id = id;
    d.zone = zone;
    d.kind = kind;
    e.depots.push_back(d);
  };
  add(1, 1, 0);
  add(2, 1, 0);
  add(3, 0, 0);  // of another centre
  add(8, 0, 1);
  add(9, 0, 2);
  return e;
}
Ask ask(int cls, std::uint64_t id = 1) { return {id, 0xabc, 0, 100.0, cls, {}, 17, kStart + 2000 * kMs}; }

}  // namespace

TEST_CASE("What each end of an attempt leads to") {
  struct Case {
    End end;
    What page, booking;
  };
  const std::vector<Case> cases{
      {End::kServed, What::kWait, What::kWait},    {End::kBroke, What::kSend, What::kFail},
      {End::kFull, What::kSend, What::kSend},      {End::kLate, What::kSend, What::kFail},
      {End::kUnreached, What::kSend, What::kSend}, {End::kReset, What::kSend, What::kFail},
      {End::kOver, What::kSend, What::kSend},      {End::kLacks, What::kSend, What::kSend},
  };
  for (const Case& c : cases) {
    for (const int cls : {0, 1}) {
      INFO("end " << static_cast<int>(c.end) << " of class " << cls);
      Facade facade(settings());
      facade.heed(kStart, list());
      const Step first = facade.pick(kStart, ask(cls));
      REQUIRE((first.what == What::kSend && first.depot <= 2));
      CHECK((first.until > kStart && first.until < kStart + 2000 * kMs));
      CHECK(first.source == (cls == 0 ? 8u : 9u));
      const Step next = facade.report(kStart + 5 * kMs, 1, {c.end, 0, 0});
      CHECK(next.what == (cls == 0 ? c.page : c.booking));
      if (next.what == What::kSend) CHECK((next.depot <= 2 && next.depot != first.depot));
    }
  }
}

TEST_CASE("At most so many attempts, then a refusal that says when to come back") {
  Facade facade(settings());
  facade.heed(kStart, list());
  Step step = facade.pick(kStart, ask(0));
  int sent = 0;
  for (; step.what == What::kSend; ++sent) step = facade.report(kStart + sent * kMs, 1, {End::kFull, 0, 0});
  CHECK(sent == 8);
  CHECK((step.what == What::kRefuse && step.come_back > 0 && step.come_back <= 1000 * kMs));
  CHECK(facade.report(kStart + 50 * kMs, 1, {End::kFull, 0, 0}).what == What::kWait);  // it is over
}

TEST_CASE("Nothing is sent where no cache of the centre is ready, and nothing after the client left") {
  Facade facade(settings());
  CHECK(facade.pick(kStart, ask(0)).what == What::kRefuse);
  bus::Event e = list();
  facade.heed(kStart, e);
  REQUIRE(facade.pick(kStart, ask(0, 2)).what == What::kSend);
  facade.gone(kStart, 2);
  CHECK(facade.report(kStart + kMs, 2, {End::kFull, 0, 0}).what == What::kWait);
  e.kind = bus::Event::Kind::kChanges;
  e.depots.resize(2);
  for (bus::Depot& d : e.depots) d.state = bus::State::kDraining;
  facade.heed(kStart, e);
  CHECK(facade.pick(kStart, ask(0, 3)).what == What::kRefuse);
  CHECK(facade.tick(kStart).empty());
}

TEST_CASE("A purge bounds the age of what will do by its own time") {
  Facade facade(settings());
  facade.heed(kStart, list());
  CHECK(facade.pick(kStart, ask(0, 1)).oldest == 0);
  bus::Event purge;
  purge.kind = bus::Event::Kind::kGroupPurge;
  purge.group = 17;
  purge.purged_ms = kStart / kMs - 300;
  facade.heed(kStart, purge);
  const Time oldest = facade.pick(kStart + 10 * kMs, ask(0, 2)).oldest;
  CHECK((oldest > 0 && oldest <= 310 * kMs));
  // What was picked before the purge and goes out after it is bound as well, by the time that has passed.
  const Time later = facade.oldest(kStart + 1000 * kMs, 1);
  CHECK((later > 1000 * kMs && later <= 1300 * kMs));
  CHECK(facade.oldest(kStart + 1000 * kMs, 2) == later);
  CHECK(facade.oldest(kStart + 20'000 * kMs, 1) == 0);  // no copy of before it is left anywhere
}

// A request keeps the terms it began with: effect and attempts, whatever the settings say by then.
TEST_CASE("A reload binds what comes after it, and what is open keeps its terms") {
  struct Case {
    Repeat began, now;
    int attempts_began, attempts_now;
    What then;  // after an error that may have run
  };
  const std::vector<Case> cases{{Repeat::kSafe, Repeat::kUnsafe, 8, 8, What::kSend},
                                {Repeat::kUnsafe, Repeat::kSafe, 8, 8, What::kFail},
                                {Repeat::kSafe, Repeat::kSafe, 1, 8, What::kRefuse},
                                {Repeat::kSafe, Repeat::kSafe, 8, 1, What::kSend}};
  for (const Case& c : cases) {
    Settings s = settings();
    s.classes[0].repeat = c.began;
    s.classes[0].max_attempts = c.attempts_began;
    Facade facade(s);
    facade.heed(kStart, list());
    Ask open = ask(0);
    open.terms = std::make_shared<const ClassSettings>(s.classes[0]);
    REQUIRE(facade.pick(kStart, open).what == What::kSend);
    s.classes[0].repeat = c.now;
    s.classes[0].max_attempts = c.attempts_now;
    s.classes.push_back(s.classes[0]);  // and a new class
    facade.retune(s);
    CHECK(facade.report(kStart + 10 * kMs, 1, {End::kReset, 0, 0}).what == c.then);
    Ask fresh = ask(0, 2);
    fresh.terms = std::make_shared<const ClassSettings>(s.classes[0]);
    REQUIRE(facade.pick(kStart + 20 * kMs, fresh).what == What::kSend);
    const What expected = c.now == Repeat::kUnsafe ? What::kFail
                          : c.attempts_now == 1    ? What::kRefuse
                                                   : What::kSend;
    CHECK(facade.report(kStart + 30 * kMs, 2, {End::kReset, 0, 0}).what == expected);
    CHECK(facade.pick(kStart + 40 * kMs, ask(2, 3)).what == What::kSend);
  }
}

// What one process has learned serves the next: what is hot, and who is out; but not of another process of a
// depot, nor of one that is not listed, and the list goes before it.
TEST_CASE("A front that takes over starts with what was learned") {
  Facade old(settings());
  old.heed(kStart, list());
  Time now = kStart;
  std::uint64_t id = 1;
  const auto ask_at = [&](std::uint64_t object) {
    Ask a = ask(0, ++id);
    a.object = object;
    a.give_up_at = now + 2000 * kMs;
    return a;
  };
  // Depot 1 fails whatever it is asked, depot 2 serves; one object is hot.
  for (int n = 0; n < 400; ++n, now += 20 * kMs) {
    const Ask a = ask_at(n % 2 == 0 ? 0xabc : 0x1000u + static_cast<unsigned>(n));
    Step step = old.pick(now, a);
    for (int tries = 0; step.what == What::kSend && tries < 8; ++tries) {
      step = old.report(now + 5 * kMs, a.id,
                        step.depot == 1 ? Report{End::kReset, 0, 0} : Report{End::kServed, 1, 0});
    }
  }
  const Learned learned = old.learned();
  CHECK(learned.servers.at("s-00000001").what.asked.out);
  CHECK(std::any_of(learned.objects.begin(), learned.objects.end(),
                    [](const Counted& c) { return c.key == 0xabc && c.admitted; }));

  const auto first_choices = [&](Facade& facade) {
    int bad = 0;
    for (int n = 0; n < 30; ++n, now += kMs) {
      const Ask a = ask_at(0x9000u + static_cast<unsigned>(n));
      const Step step = facade.pick(now, a);
      bad += step.what == What::kSend && step.depot == 1;
      facade.gone(now, a.id);
    }
    return bad;
  };
  Facade knows(settings()), ignorant(settings()), restarted(settings()), drained(settings());
  for (Facade* f : {&knows, &ignorant}) f->heed(now, list());
  knows.learn(learned);
  CHECK(knows.pick(now, ask_at(0xabc)).rank == 2);
  CHECK(ignorant.pick(now, ask_at(0xabc)).rank < 2);
  CHECK(first_choices(knows) <= 1);  // a trial
  CHECK(first_choices(ignorant) > 5);
  bus::Event other = list();
  other.depots[0].started_ms = 5;  // another process: nothing is held against it
  restarted.heed(now, other);
  restarted.learn(learned);
  CHECK(first_choices(restarted) > 5);
  bus::Event without = list();
  without.depots[1].state = bus::State::kDraining;
  drained.heed(now, without);
  drained.learn(learned);
  for (int n = 0; n < 30; ++n)
    CHECK(drained.pick(now, ask_at(0xa000u + static_cast<unsigned>(n))).depot != 2);
}
