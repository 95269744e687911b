// Several processes of anisewick_fleet with faults between them: killed, stopped and woken late, cut off.
#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "fleet/peers/seal.hpp"

using namespace anisewick::peers;

namespace {

const std::string kOut = "/_depots/detach/s-0000000", kIn = "/_depots/attach/s-0000000";

}  // namespace

// A client's requests through one doorman, each for another object.
struct Asked {
  int served = 0, other = 0;
};
Asked ask_at(Doormen& d, std::size_t i, std::uint64_t from, int n) {
  Asked asked;
  Stream s = Stream::to(d.front(i));
  for (int k = 0; k < n; ++k) {
    s.write(request(1, numbered(from + static_cast<std::uint64_t>(k))));
    ++(answer(s).body == "whole" ? asked.served : asked.other);
  }
  return asked;
}
std::vector<std::size_t> all_but(std::size_t n, std::size_t but) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < n; ++i) {
    if (i != but) out.push_back(i);
  }
  return out;
}

TEST_CASE("Five doormen agree on an owner, and a call at one door holds at all") {
  Doormen d({});
  d.start();
  const std::size_t owner = d.wait_owner();
  REQUIRE(owner != Doormen::npos);
  REQUIRE(d.ask((owner + 1) % 5, "POST", kOut + "1").find("is out here") != std::string::npos);
  CHECK(d.all_heed(1, {0, 1, 2, 3, 4}));
  CHECK(d.ask((owner + 2) % 5, "POST", kIn + "1").find("is in here") != std::string::npos);
  CHECK(d.all_heed(2, {0, 1, 2, 3, 4}));
  for (std::size_t i = 0; i < 5; ++i) {
    INFO(d.status(i));
    CHECK(Doormen::field(d.status(i), "waiting") == "0");
    CHECK(call(d.door(i), "GET", "/_ready").status == 200);
  }
}

TEST_CASE("What one door was told, no doorman sends to, and requests are served all the while") {
  Doormen d({});
  Serving caches(d.site.caches);
  d.start();
  const std::size_t owner = d.wait_owner();
  REQUIRE(owner != Doormen::npos);
  d.ask((owner + 1) % 5, "POST", kOut + "1");
  REQUIRE(d.all_heed(1, {0, 1, 2, 3, 4}));
  const int before = caches.asked(0);
  for (std::size_t i = 0; i < 5; ++i) CHECK(ask_at(d, i, 1000 * (i + 1), 20).served == 20);
  CHECK(caches.asked(0) == before);
  CHECK(caches.asked(1) >= 100);
}

TEST_CASE("An owner that is killed is followed by another, with a higher term, and calls go on") {
  Doormen d({});
  d.start();
  int number = 0;
  for (int round = 0; round < 3; ++round) {
    const std::size_t owner = d.wait_owner();
    REQUIRE(owner != Doormen::npos);
    const int term = std::stoi(Doormen::field(d.status(owner), "term"));
    d.kill(owner);
    const auto rest = all_but(5, owner);
    // Taken while there is no owner; it becomes the fleet's later, once.
    CHECK(d.ask(rest[0], "POST", (round % 2 == 0 ? kOut : kIn) + "2").find("here") != std::string::npos);
    const std::size_t next = d.wait_owner(rest);
    REQUIRE(next != Doormen::npos);
    CHECK(std::stoi(Doormen::field(d.status(next), "term")) > term);
    CHECK(d.all_heed(++number, rest));
    d.start(owner);
    CHECK(d.all_heed(number, {owner}));
  }
}

TEST_CASE("An owner that was stopped for ten leases and wakes with calls in its hand does no harm") {
  for (const bool careless : {false, true}) {
    FleetOptions o;
    o.lease_ms = 600;
    if (careless) o.careless = {0, 1, 2, 3, 4};
    Doormen d(o);
    d.start();
    const std::size_t old = d.wait_owner();
    REQUIRE(old != Doormen::npos);
    INFO("careless " << careless << ", owner " << old);
    const auto rest = all_but(5, old);
    const std::size_t caller = rest[1];
    d.ask(old, "POST", kOut + "1");
    REQUIRE(d.all_heed(1, {0, 1, 2, 3, 4}));
    // A call lies in its socket when it stops, and another half-way through the registers.
    d.between.delay(40);
    d.ask(old, "POST", kIn + "1");
    d.stop(old);
    d.ask(caller, "POST", kOut + "2");
    d.between.delay(0);
    const std::size_t next = d.wait_owner(rest);
    REQUIRE(next != Doormen::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(10 * o.lease_ms));
    d.ask(caller, "POST", kOut + "1");
    CHECK(Doormen::until([&] { return Doormen::field(d.status(caller), "waiting") == "0"; }));
    d.go_on(old);
    // It hears that its term is over, heeds what was settled, and what it still had becomes the fleet's once.
    CHECK(Doormen::until([&] {
      const int upto = d.heeded(next);
      return Doormen::field(d.status(old), "waiting") == "0" && d.all_heed(upto, {0, 1, 2, 3, 4}, 1);
    }));
    CHECK(Doormen::until([&] { return d.status(old).find("\"here\":true") == std::string::npos; }));
    const int upto = d.heeded(next);
    CHECK((upto == 4 || upto == 5));
    // The last word on the first depot is that of the call that was settled last.
    CHECK(d.all_heed(upto, {0, 1, 2, 3, 4}));
  }
}

TEST_CASE(
    "Without a majority a call holds where it was made, and becomes the fleet's once when there is one") {
  Doormen d({});
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  for (std::size_t i = 0; i < 5; ++i) REQUIRE(d.ready(i));
  d.kill(0);
  d.kill(1);
  // The owner's lease runs out, and nobody can renew it.
  REQUIRE(Doormen::until([&] { return d.owner({2, 3, 4}) == Doormen::npos; }));
  REQUIRE(Doormen::until(
      [&] { return d.ask(3, "POST", kOut + "1").find("not the fleet's yet") != std::string::npos; }));
  CHECK(d.heeded(3) == 0);
  CHECK(d.ready(4));
  const int waiting = std::stoi(Doormen::field(d.status(3), "waiting"));
  CHECK(waiting >= 1);
  // Killed and started again it still holds there.
  Serving caches(d.site.caches);
  d.kill(3);
  d.start(3);
  REQUIRE(Doormen::until([&] { return Doormen::field(d.status(3), "waiting") == std::to_string(waiting); }));
  CHECK(ask_at(d, 3, 5000, 20).served == 20);
  CHECK(caches.asked(0) == 0);
  std::this_thread::sleep_for(std::chrono::seconds(10));  // so long there is no majority
  d.start(0);
  REQUIRE(d.wait_owner({0, 2, 3, 4}) != Doormen::npos);
  CHECK(Doormen::until([&] { return Doormen::field(d.status(3), "waiting") == "0"; }));
  CHECK(d.all_heed(waiting, {0, 2, 3, 4}));
}

TEST_CASE("A voter that lost its disk abstains, and is taken in again as another when staff say so") {
  Doormen d({});
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  d.ask(3, "POST", kOut + "1");
  REQUIRE(d.all_heed(1, {0, 1, 2, 3, 4}));
  d.kill(0);
  d.empty_disk(0);
  d.kill(1);
  d.start(0);
  // One voter of three has a state: nobody may own anything, whatever the emptied one would say.
  REQUIRE(Doormen::until([&] { return Doormen::field(d.status(0), "empty") == "true"; }));
  REQUIRE(Doormen::until([&] { return d.owner({0, 2, 3, 4}) == Doormen::npos; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  CHECK(d.owner({0, 2, 3, 4}) == Doormen::npos);
  d.start(1);
  std::size_t owner = d.wait_owner();
  REQUIRE(owner != Doormen::npos);
  CHECK(d.all_heed(1, {0, 1, 2, 3, 4}));
  REQUIRE(Doormen::until([&] {
    owner = d.owner();
    return owner != Doormen::npos &&
           d.ask(owner, "POST", "/_fleet/replace/n0/n0").find("taking the place") != std::string::npos;
  }));
  REQUIRE(Doormen::until([&] { return Doormen::field(d.status(0), "votes") == "true"; }));
  REQUIRE(Doormen::until([&] { return Doormen::field(d.status(owner), "epoch") == "3"; }));
  // Now it counts: the other may go.
  d.kill(1);
  CHECK(d.wait_owner({0, 2, 3, 4}) != Doormen::npos);
  d.ask(4, "POST", kIn + "1");
  CHECK(d.all_heed(2, {0, 2, 3, 4}));
}

TEST_CASE("A voter is replaced by another member while the owner is killed in the midst of it") {
  Doormen d({});
  d.start();
  std::size_t owner = d.wait_owner();
  REQUIRE(owner != Doormen::npos);
  REQUIRE(Doormen::until([&] {
    owner = d.owner();
    return owner != Doormen::npos &&
           d.ask(owner, "POST", "/_fleet/replace/n2/n4").find("taking the place") != std::string::npos;
  }));
  if (owner != 4) {
    d.kill(owner);
    d.start(owner);
  }
  // Begun or not begun by then: it is finished by whoever comes next, or is asked for again.
  REQUIRE(Doormen::until([&] {
    const std::size_t now = d.owner();
    if (now == Doormen::npos) return false;
    const std::string s = d.status(now);
    if (s.find("\"voters\":[\"n0\",\"n1\",\"n4\"],\"next_voters\":[]") != std::string::npos) return true;
    if (s.find("\"epoch\":1") != std::string::npos) d.ask(now, "POST", "/_fleet/replace/n2/n4");
    return false;
  }));
  d.kill(2);
  d.kill(0);
  CHECK(d.wait_owner({1, 3, 4}) != Doormen::npos);
  d.ask(3, "POST", kOut + "1");
  CHECK(d.all_heed(1, {1, 3, 4}));
}

TEST_CASE("An owner cut off from the voters, but not from those who heed it, is followed and not heeded") {
  FleetOptions o;
  o.careless = {0, 1, 2, 3, 4};
  Doormen d(o);
  d.start();
  // One that is no voter itself, so that it can be cut off from all of them.
  std::size_t old = d.wait_owner();
  for (int tries = 0; old < 3 && tries < 20; ++tries) {
    d.kill(old);
    d.wait_owner(all_but(5, old));
    d.start(old);
    d.all_heed(0, {old});
    old = d.wait_owner();
  }
  REQUIRE(old >= 3);
  const std::size_t other = old == 3 ? 4 : 3;
  for (std::size_t v = 0; v < 3; ++v) {
    d.between.cut(old, v);
    d.between.cut(v, old);
  }
  const std::size_t next = d.wait_owner({0, 1, 2, other});
  REQUIRE(next != Doormen::npos);
  d.ask(other, "POST", kOut + "1");
  CHECK(d.all_heed(1, {0, 1, 2, other}));
  // The old one is told by the one that it still reaches.
  CHECK(d.all_heed(1, {old}));
  CHECK(Doormen::until([&] { return d.status(old).find("\"here\":true") == std::string::npos; }));
  d.between.heal();
}

TEST_CASE("A rolling restart of all hands the duty over and loses no call") {
  Doormen d({});
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  int number = 0;
  for (std::size_t i = 0; i < 5; ++i) {
    d.ask((i + 1) % 5, "POST", (i % 2 == 0 ? kOut : kIn) + "2");
    const bool owned = d.owner() == i;
    const std::int64_t from = now_ms();
    d.term(i);
    if (owned) {
      CHECK(d.wait_owner(all_but(5, i)) != Doormen::npos);
      CHECK(now_ms() - from < 900);  // within its lease: it was handed over
    }
    REQUIRE(Doormen::until([&] { return !d.program(i).running(); }));
    d.kill(i);
    d.start(i);
    REQUIRE(Doormen::until([&] { return d.heeded(i) >= 0; }));
    CHECK(d.all_heed(++number, {0, 1, 2, 3, 4}));
  }
}

TEST_CASE("An owner that staff empty hands its duty over, and takes it neither back nor another's") {
  Doormen d({});
  d.start();
  const std::size_t owner = d.wait_owner();
  REQUIRE(owner != Doormen::npos);
  const std::int64_t from = now_ms();
  d.ask(owner, "POST", "/_lameduck/on");
  REQUIRE(d.wait_owner(all_but(5, owner)) != Doormen::npos);
  CHECK(now_ms() - from < 900);
  for (const std::size_t i : all_but(5, owner)) {
    if (d.owner() == i) d.term(i);
  }
  REQUIRE(Doormen::until([&] { return d.owner() != Doormen::npos; }));
  CHECK(d.status(owner).find("\"here\":true") == std::string::npos);
}

TEST_CASE("Loss, duplicates, forged and replayed datagrams, and clocks apart change nothing") {
  FleetOptions o;
  o.ahead_ms = {0, 2000, 0, -2000, 500};
  o.rate_ppm = {10'000, -10'000, 0, 0, 5000};
  Doormen d(o);
  d.between.lose(0.2);
  d.between.twice(0.2);
  d.between.delay(20);
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  int number = 0;
  for (int round = 0; round < 6; ++round) {
    // Out at one whose clock is ahead, then in at one that is behind: the later call counts.
    d.ask(1, "POST", kOut + "1");
    REQUIRE(d.all_heed(++number, {0, 1, 2, 3, 4}));
    d.ask(3, "POST", kIn + "1");
    REQUIRE(d.all_heed(++number, {0, 1, 2, 3, 4}));
    for (std::size_t i = 0; i < 5; ++i) d.between.replay(i, (i + 1) % 5);
    for (std::size_t i = 0; i < 5; ++i) {
      d.between.noise(i, std::vector<char>(static_cast<std::size_t>(17 * (round + 1)), static_cast<char>(i)));
    }
  }
  for (std::size_t i = 0; i < 5; ++i) {
    CHECK(std::stoi(Doormen::field(d.status(i), "replayed")) > 0);
    CHECK(std::stoi(Doormen::field(d.status(i), "unsealed")) > 0);
    CHECK(call(d.door(i), "GET", "/_ready").status == 200);
  }
}

TEST_CASE("An act of an old term that arrives after the next term's is refused, however late") {
  FleetOptions o;
  o.careless = {0, 1, 2, 3, 4};
  Doormen d(o);
  d.start();
  const std::size_t old = d.wait_owner();
  REQUIRE(old != Doormen::npos);
  const auto rest = all_but(5, old);
  const std::size_t last = rest[3];
  d.between.hold(old, last);  // what the owner says to one of them waits on the way
  d.ask(rest[0], "POST", kOut + "1");
  REQUIRE(d.all_heed(1, rest));
  d.kill(old);
  REQUIRE(d.wait_owner(rest) != Doormen::npos);
  d.ask(rest[0], "POST", kIn + "1");
  REQUIRE(d.all_heed(2, rest));
  const int refused = std::stoi(Doormen::field(d.status(last), "late_acts_refused"));
  d.between.let_go();
  CHECK(Doormen::until(
      [&] { return std::stoi(Doormen::field(d.status(last), "late_acts_refused")) > refused; }));
  CHECK(d.heeded(last) == 2);
}

TEST_CASE(
    "In a split one side goes on; the other keeps its calls, which become the fleet's once it is healed") {
  Doormen d({});
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  for (std::size_t i = 0; i < 5; ++i) REQUIRE(d.ready(i));
  // One voter and one other on the lesser side, be the owner there or not.
  d.between.split({0, 3});
  REQUIRE(d.wait_owner({1, 2, 4}) != Doormen::npos);
  REQUIRE(Doormen::until([&] { return d.owner({0, 3}) == Doormen::npos; }));
  d.ask(4, "POST", kOut + "1");
  CHECK(d.all_heed(1, {1, 2, 4}));
  d.ask(3, "POST", kOut + "2");
  CHECK(Doormen::field(d.status(3), "waiting") == "1");
  CHECK(d.heeded(3) == 0);
  CHECK(d.ready(3));
  // Healed half: what the lesser side says gets through, the answers do not.
  for (const std::size_t from : {0, 3}) {
    for (const std::size_t to : {1, 2, 4}) d.between.cut(from, to, false);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  CHECK(d.owner({0, 3}) == Doormen::npos);
  d.between.heal();
  CHECK(d.all_heed(2, {0, 1, 2, 3, 4}));
  CHECK(Doormen::field(d.status(3), "waiting") == "0");
}

TEST_CASE("Heirs that duel under delay come to one owner, each time anew") {
  FleetOptions o;
  o.lease_ms = 600;
  Doormen d(o);
  d.between.delay(60);
  d.start();
  int term = 0;
  for (int round = 0; round < 3; ++round) {
    const std::size_t owner = d.wait_owner();
    REQUIRE(owner != Doormen::npos);
    const int now = std::stoi(Doormen::field(d.status(owner), "term"));
    CHECK(now > term);
    term = now;
    d.kill(owner);
    REQUIRE(d.wait_owner(all_but(5, owner)) != Doormen::npos);
    d.start(owner);
  }
}

TEST_CASE("A full disk answers nothing, a torn or foreign state is set aside, and neither is written over") {
  Doormen d({});
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  for (std::size_t i = 0; i < 5; ++i) REQUIRE(d.ready(i));
  d.program(0).full_disk(true);
  d.ask(3, "POST", kOut + "1");
  CHECK(d.all_heed(1, {1, 2, 3, 4}));  // two voters are enough
  CHECK(Doormen::until([&] { return std::stoi(Doormen::field(d.status(0), "failed_writes")) > 0; }));
  CHECK(d.ready(0));
  d.program(0).full_disk(false);
  CHECK(d.all_heed(1, {0}));

  d.kill(1);
  const std::string state = d.folder(1) + "/member.state";
  std::filesystem::resize_file(state, std::filesystem::file_size(state) / 2);
  d.start(1);
  CHECK(Doormen::until([&] { return Doormen::field(d.status(1), "empty") == "true"; }));
  CHECK(std::filesystem::exists(state + ".set-aside-1"));

  d.kill(2);
  std::filesystem::copy_file(d.folder(0) + "/member.state", d.folder(2) + "/member.state",
                             std::filesystem::copy_options::overwrite_existing);
  d.start(2);
  CHECK(Doormen::until([&] { return Doormen::field(d.status(2), "empty") == "true"; }));
  CHECK(std::filesystem::exists(d.folder(2) + "/member.state.set-aside-1"));
  // Two of three voters have lost their state: nobody may decide, and everybody serves.
  CHECK(Doormen::until([&] { return d.owner() == Doormen::npos; }));
  for (std::size_t i = 0; i < 5; ++i) CHECK(d.ready(i));
}

TEST_CASE("Sealed datagrams of another version, and replays after the window, are counted and dropped") {
  FleetOptions o;
  o.more = "window_ms: 1000\n";
  Doormen d(o);
  d.start();
  REQUIRE(d.wait_owner() != Doormen::npos);
  anisewick::peers::Seal seal({{1, "0123456789abcdef0123456789abcdef"}}, 77, {});
  // A packet that says version 9, and one that is cut short in the middle.
  const std::string other = std::string("\x04\x08\x09\x12\x02n1", 7),
                    cut = std::string("\x04\x08\x01\x12\x09n1", 7);
  for (const std::string& payload : {other, cut}) {
    const std::string bytes = seal.close(payload, now_ms());
    d.between.noise(4, {bytes.begin(), bytes.end()});
  }
  CHECK(Doormen::until([&] { return Doormen::field(d.status(4), "other_version") == "1"; }));
  CHECK(Doormen::until([&] { return Doormen::field(d.status(4), "malformed") == "1"; }));
  const std::string old = seal.close(other, now_ms() - 1500);
  d.between.noise(4, {old.begin(), old.end()});
  CHECK(Doormen::until([&] { return Doormen::field(d.status(4), "replayed") != "0"; }));
  d.ask(4, "POST", kOut + "1");
  CHECK(d.all_heed(1, {0, 1, 2, 3, 4}));
}
