// Zones that fail under several processes of anisewick_fleet: left as a fleet, returned to in steps, with
// faults between the doormen meanwhile. Every request is accounted for.
#include <catch2/catch.hpp>

#include "zoned.hpp"

using namespace anisewick::peers;

namespace {

constexpr int kReturnMs = 40'000;

// Requests that came to a zone's depots within so long.
int asked_in(Zoned& z, std::size_t zone, int ms) {
  const int before = z.yard.of_zone(zone).asked;
  Zoned::pause(ms);
  return z.yard.of_zone(zone).asked - before;
}

}  // namespace

TEST_CASE("A zone that falls silent is left by all doormen together, and returned to in steps") {
  Zoned z({});
  z.begin();
  Zoned::pause(2'500);
  const int usual = asked_in(z, 0, 1'000);
  CHECK(usual > 40);
  const double onset = z.now();
  z.fault(0, {.silent = true});
  REQUIRE(z.wait(0, "left"));
  const double left = z.now();
  INFO("left after " << left - onset << " ms");
  CHECK(left - onset < 6'000);
  Zoned::pause(1'000);
  CHECK(asked_in(z, 0, 1'000) < usual / 2);  // a trickle, and what is tried again
  CHECK(z.good(left + 1'000, left + 2'000) > 0.8);
  CHECK(z.all_show(1, "in 100%"));
  CHECK(z.all_show(2, "in 100%"));
  z.down(0);
  z.up(0);  // cold
  bool step = false;
  REQUIRE(Doormen::until(
      [&] {
        const std::string line = z.line(z.of_zone(0)[0], 0);
        step = step || line.starts_with("returning");
        return line.starts_with("in 100%");
      },
      kReturnMs));
  CHECK(step);
  const double back = z.now();
  Zoned::pause(1'500);
  CHECK(z.good(back + 500, back + 1'500) > 0.95);
  const int again = asked_in(z, 0, 1'000);
  INFO(z.d.ask(z.d.owner_of("zones"), "GET", "/_zones"));
  CHECK(again > usual / 2);
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("Whatever the way it fails: closed connections, resets, ten times slower, one answer in ten lost") {
  struct Case {
    const char* what;
    Yard::Fault fault;
    bool down;
  };
  for (const Case& c : {Case{"refuses", {}, true}, Case{"resets", {.resets = true}, false},
                        Case{"slow", {.slow_ms = 250}, false}, Case{"grey", {.lose_each = 8}, false}}) {
    ZonedOptions o;
    o.gap_ms = 15;
    Zoned z(o);
    z.begin();
    Zoned::pause(2'500);
    const double onset = z.now();
    c.down ? z.down(1) : z.fault(1, c.fault);
    const bool left = z.wait(1, "left", 30'000);
    INFO(c.what << ": " << z.line(0, 1) << ", after " << z.now() - onset << " ms");
    CHECK(left);
    CHECK(z.all_show(0, "in 100%"));
    CHECK(z.all_show(2, "in 100%"));
    z.end();
    CHECK(z.lost() == 0);
  }
}

TEST_CASE("Where all zones fail at once the fault is ours, the origin's or the clients': none is left") {
  Zoned z({});
  z.begin();
  Zoned::pause(2'500);
  for (std::size_t zone = 0; zone < 3; ++zone) z.fault(zone, {.silent = true});
  bool any = false;
  for (int i = 0; i < 40; ++i) {
    Zoned::pause(100);
    for (std::size_t zone = 0; zone < 3; ++zone) any = any || !z.all_show(zone, "in 100%");
  }
  CHECK_FALSE(any);
  for (std::size_t zone = 0; zone < 3; ++zone) z.fault(zone, {});
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("One bad depot, one doorman cut off from its zone, one that finds all failed: the fleet stays") {
  Zoned z({});
  z.begin();
  Zoned::pause(2'500);
  z.yard.fault(0, {.silent = true});  // one of four
  Zoned::pause(3'000);
  CHECK(z.all_show(0, "in 100%"));
  z.yard.fault(0, {});
  // Of the two doormen of the zone one does not reach its depots.
  const int away = static_cast<int>(z.of_zone(1)[0]);
  for (std::size_t i = 0; i < z.yard.size(); ++i) {
    if (z.yard.zone_of(i) == 1) z.yard.cut_off(i, away, true);
  }
  const double from = z.now();
  Zoned::pause(7'000);
  CHECK(z.all_show(1, "in 100%"));
  // It goes elsewhere by itself.
  std::size_t asked = 0, good = 0;
  for (const auto& e : z.ends()) {
    if (e.doorman != static_cast<std::size_t>(away) || e.at_ms < from + 5'000) continue;
    ++asked;
    good += e.whole && e.took_ms < 200;
  }
  CHECK(good > asked / 2);
  for (std::size_t i = 0; i < z.yard.size(); ++i) z.yard.cut_off(i, away, true);  // nothing works for it
  Zoned::pause(2'500);
  for (std::size_t zone = 0; zone < 3; ++zone) CHECK(z.all_show(zone, "in 100%"));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("The owner is killed, then stopped and woken late with an old decision: it moves no request") {
  ZonedOptions o;
  for (std::size_t i = 0; i < 6; ++i) o.fleet.careless.push_back(i);
  Zoned z(o);
  z.begin();
  Zoned::pause(2'500);
  // Killed while the zone has just failed: the next one sees it too.
  std::size_t owner = z.d.owner_of("zones");
  z.fault(0, {.silent = true});
  Zoned::pause(300);
  z.away(owner, true);
  z.d.kill(owner);
  std::vector<std::size_t> rest;
  for (std::size_t i = 0; i < 6; ++i) {
    if (i != owner) rest.push_back(i);
  }
  // With one doorman of that zone left there may be too few to leave it as a fleet: then it leaves by itself.
  const bool both = owner % 3 != 0;
  if (both) CHECK(z.wait(0, "left", kLimitMs, rest));
  z.d.start(owner);
  REQUIRE(z.d.ready(owner));
  z.away(owner, false);
  REQUIRE(z.wait(0, "left"));
  // Stopped while the zone is left; it has long returned when the owner wakes.
  owner = z.d.owner_of("zones");
  REQUIRE(owner != Doormen::npos);
  z.away(owner, true);
  z.d.stop(owner);
  rest.clear();
  for (std::size_t i = 0; i < 6; ++i) {
    if (i != owner) rest.push_back(i);
  }
  z.fault(0, {});
  REQUIRE(z.wait(0, "in 100%", kReturnMs, rest));
  const std::string picture = z.d.ask(rest[0], "GET", "/_zones").substr(0, 12);
  z.d.go_on(owner);
  z.away(owner, false);
  bool moved = false;
  for (int i = 0; i < 30; ++i) {
    Zoned::pause(50);
    for (const std::size_t r : rest) moved = moved || !z.line(r, 0).starts_with("in 100%");
  }
  CHECK_FALSE(moved);
  CHECK(z.wait(0, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("Staff leave a zone and take it back, at any door, under loss and with clocks apart") {
  ZonedOptions o;
  o.fleet.ahead_ms = {0, 2'000, -2'000, 1'000, 0, 500};
  Zoned z(o);
  z.begin();
  z.d.between.lose(0.2);
  Zoned::pause(2'000);
  CHECK(z.d.ask(0, "POST", "/_zones/leave/nowhere").find("there is no zone") != std::string::npos);
  CHECK(z.d.ask(4, "POST", "/_zones/leave/edge-3").find("on its way") != std::string::npos);
  REQUIRE(z.wait(2, "left 0%, leave"));
  Zoned::pause(1'500);
  CHECK(asked_in(z, 2, 1'000) == 0);
  CHECK(z.line(0, 2).find("staff say so") != std::string::npos);
  // A doorman that restarts meanwhile does as the others.
  const std::size_t again = z.of_zone(2)[0];
  z.away(again, true);
  z.d.kill(again);
  z.d.start(again);
  REQUIRE(z.d.ready(again));
  z.away(again, false);
  Zoned::pause(2'500);
  CHECK(asked_in(z, 2, 1'000) == 0);
  z.d.ask(1, "POST", "/_zones/return/edge-3");
  REQUIRE(z.wait(2, "in 100%, return", kReturnMs));
  z.d.ask(5, "POST", "/_zones/auto/edge-3");
  CHECK(z.wait(2, "in 100%"));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("With the majority of voters in the failing zone the others keep what they heard, and serve") {
  ZonedOptions o;
  o.fleet.voters = 3;  // n0, n1, n2: two of them are ended with the zone
  Zoned z(o);
  z.begin();
  Zoned::pause(2'500);
  z.fault(0, {.silent = true});
  REQUIRE(z.wait(0, "left"));
  for (const std::size_t i : {0, 1}) {
    z.away(i, true);
    z.d.kill(i);
  }
  const double from = z.now();
  Zoned::pause(3'000);
  CHECK(z.line(3, 0).starts_with("left"));
  CHECK(z.good(from + 500, from + 3'000) > 0.75);
  for (const std::size_t i : {0, 1}) {
    z.d.start(i);
    REQUIRE(z.d.ready(i));
    z.away(i, false);
  }
  z.fault(0, {});
  CHECK(z.wait(0, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("A region goes as one, and the zone that bears its load stays") {
  ZonedOptions o;
  o.zones_more = "regions { name: \"north\" zones: \"edge-1\" zones: \"edge-2\" }";
  Zoned z(o);
  z.begin();
  Zoned::pause(2'500);
  for (const std::size_t zone : {0, 1}) z.fault(zone, {.silent = true});
  REQUIRE(z.wait(0, "left"));
  REQUIRE(z.wait(1, "left"));
  CHECK(z.all_show(2, "in 100%"));
  const double left = z.now();
  Zoned::pause(2'500);
  CHECK(z.good(left + 1'000, left + 2'500) > 0.75);
  CHECK(z.line(0, 0).find("goes to edge-3 (100%)") != std::string::npos);
  for (const std::size_t zone : {0, 1}) z.fault(zone, {});
  CHECK(z.wait(0, "in 100%", kReturnMs));
  CHECK(z.wait(1, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE(
    "While a zone is left no machine of the others goes out: what is asked is put back, then all goes on") {
  ZonedOptions o;
  o.fleet.work = true;
  Zoned z(o);
  z.begin();
  REQUIRE(Doormen::until([&] { return z.d.owner_of("work") != Doormen::npos; }));
  Zoned::pause(2'500);
  const std::string id = Yard::id(z.options.depots_each);  // of the second zone
  std::ofstream(z.d.work_file(1)) << "name: \"kernel\" warm_answers: 5 warm_within_s: 4 machines { id: \""
                                  << id << "\" zone: \"edge-2\" centre: \"edge-2\" capacity: 1 work_s: 5 }\n"
                                  << "centres { name: \"edge-2\" peak: 0 }\n";
  const auto job = [&] {
    const std::size_t owner = z.d.owner_of("work");
    return owner == Doormen::npos ? std::string() : z.d.ask(owner, "GET", "/_work/kernel");
  };
  z.yard.hold(z.options.depots_each, true);  // something stays open there
  z.d.ask(1, "POST", "/_work/take");
  REQUIRE(Doormen::until([&] { return job().find(id + " draining") != std::string::npos; }));
  z.fault(0, {.silent = true});
  REQUIRE(z.wait(0, "left"));
  REQUIRE(Doormen::until([&] { return job().find("the zone edge-1 is left") != std::string::npos; }));
  CHECK(Doormen::until([&] { return job().find(id + " waiting") != std::string::npos; }));
  z.yard.hold(z.options.depots_each, false);
  z.fault(0, {});
  REQUIRE(z.wait(0, "in 100%", kReturnMs));
  REQUIRE(Doormen::until([&] { return job().find(id + " out") != std::string::npos; }));
  z.yard.down(z.options.depots_each);
  z.yard.up(z.options.depots_each);
  CHECK(Doormen::until([&] { return job().find("kernel ended") != std::string::npos; }));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE(
    "A purge of half of all objects and a doorman's restart fall into a return: no older copy will do") {
  Zoned z({});
  z.settle();
  REQUIRE(z.falls_silent(0));
  z.restart(0);
  REQUIRE(z.returning(0));
  z.yard.purge_odd(Zoned::kOddGroup);
  const std::size_t again = z.of_zone(0)[1];
  z.away(again, true);
  z.d.kill(again);
  z.d.start(again);
  REQUIRE(z.d.ready(again));
  z.away(again, false);
  Zoned::pause(3'000);
  const auto [asked, old] = z.yard.purged();
  CHECK(asked > 100);
  CHECK(old == 0);
  CHECK(z.wait(0, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE(
    "What is seen is told 2 s late, with loss and clocks apart: the zone is left and returned to all the "
    "same") {
  ZonedOptions o;
  o.fleet.evidence_late_ms = 2'000;
  o.fleet.ahead_ms = {2'000, 0, -2'000, 0, 1'000, 0};
  Zoned z(o);
  z.d.between.lose(0.2);
  z.settle(4'500);
  REQUIRE(z.falls_silent(2));
  CHECK(z.all_show(0, "in 100%"));
  CHECK(z.all_show(1, "in 100%"));
  CHECK(z.good_soon() > 0.8);
  z.restart(2);
  CHECK(z.wait(2, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("Two zones one after the other, the second while the first returns: each is left and returned to") {
  Zoned z({});
  z.settle();
  REQUIRE(z.falls_silent(0));
  z.restart(0);
  REQUIRE(z.returning(0));
  z.fault(1, {.resets = true});
  REQUIRE(z.wait(1, "left"));
  CHECK(z.all_show(2, "in 100%"));
  CHECK(z.good_soon() > 0.8);
  z.restart(1);
  CHECK(z.wait(0, "in 100%", kReturnMs));
  CHECK(z.wait(1, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}

TEST_CASE("A zone that goes and comes each 3 s is held longer each time, and those who serve it stay well") {
  Zoned z({});
  z.settle();
  const double from = z.now();
  int left = 0;
  bool was = false;
  for (int i = 0; i < 4; ++i) {
    z.fault(0, {.silent = i % 2 == 0});
    for (int k = 0; k < 30; ++k) {
      Zoned::pause(100);
      const bool now = z.line(z.of_zone(1)[0], 0).starts_with("left");
      left += now && !was;
      was = now;
    }
  }
  CHECK(left >= 1);
  CHECK(left <= 2);
  CHECK(z.good(from, from + 12'000) > 0.8);
  z.fault(0, {});
  CHECK(z.wait(0, "in 100%", kReturnMs));
  z.end();
  CHECK(z.lost() == 0);
}
