// The fleet's settings, state file, messages and gate: tables, damage, and bytes of nobody's making.
#include <catch2/catch.hpp>
#include <random>

#include "door/calls.hpp"
#include "fleet/part/settings.hpp"
#include "fleet/peers/carrier.hpp"
#include "fleet/store/store.hpp"
#include "lifecycle/lifecycle.hpp"
#include "standin/faulty_files.hpp"

using namespace anisewick;

namespace {

const std::string kGood = R"(fleet: "f"
name: "n1"
listen: "127.0.0.1:7801"
state_folder: "/tmp"
keys { id: 1 secret: "0123456789abcdef" }
members { name: "n1" address: "127.0.0.1:7801" }
members { name: "n2" address: "127.0.0.1:7802" }
members { name: "n3" address: "127.0.0.1:7803" }
voters: "n1"
voters: "n2"
voters: "n3"
)";

talk::Saved sample(std::uint64_t n) {
  talk::Saved s;
  s.voter.seat = 5;
  s.voter.fleet = 9;
  s.voter.voters = {3, {{"n1", 5}, {"n2", 6}}, {{"n3", 7}}};
  s.voter.founders = {5, 6, 7};
  s.voter.cells["duty.holds"] = {{n, 1}, {n, 2}, std::string(900, static_cast<char>('a' + n % 26))};
  s.terms = {{"holds", n}};
  s.serial = n;
  s.calls = {{{1, n}, 7, true, -5}};
  s.order = {{7, true, n, 11, {{1, 2}, {3, 4}}}};
  s.upto = n;
  return s;
}

}  // namespace

TEST_CASE("Settings: all that is wrong is found in one pass, with the line and what to write") {
  std::vector<settings::Finding> findings;
  REQUIRE(part::parse("f", kGood, findings));
  struct Case {
    std::string from, to, says;
    int line;
  };
  const std::vector<Case> cases{
      {"voters: \"n3\"\n", "", "there are 2 voters", 9},
      {"voters: \"n3\"", "voters: \"n9\"", "n9 is not among the members", 11},
      {"voters: \"n3\"", "voters: \"n2\"", "n2 is there twice", 11},
      {"name: \"n3\" address", "name: \"n2\" address", "the member n2 is there twice", 8},
      {"127.0.0.1:7803", "127.0.0.1:7802", "n3 has the address of n2", 8},
      {"0123456789abcdef", "0123456789", "has 10 bytes", 5},
      {"fleet: \"f\"", "fleet: \"f f\"", "fleet is 'f f'", 1},
      {"state_folder: \"/tmp\"\n", "", "there is no state_folder", 0},
      {"listen: \"127.0.0.1:7801\"", "listen: \"here\"", "listen is 'here'", 3},
      {"name: \"n1\"\n", "name: \"n1\" lease_ms: 100\n", "lease_ms", 2},
      {"name: \"n1\"\n", "name: \"n1\" lease_ms: 520\n", "too short to be renewed", 2},
      {"name: \"n1\"\n", "name: \"n1\" drift_ppm: 500000\n", "drift_ppm", 2},
      {"listen: \"127.0.0.1:7801\"", "listen: \"127.0.0.1:7809\"", "write the same", 6},
  };
  for (const Case& c : cases) {
    std::string text = kGood;
    text.replace(text.find(c.from), c.from.size(), c.to);
    INFO(c.says);
    CHECK_FALSE(part::parse("f", text, findings));
    const bool there = std::any_of(findings.begin(), findings.end(), [&](const settings::Finding& f) {
      return f.what.find(c.says) != std::string::npos && f.line == c.line;
    });
    for (const auto& f : findings) UNSCOPED_INFO(f.text());
    CHECK(there);
  }
  // Several at once.
  std::string text = kGood;
  text.replace(text.find("voters: \"n3\"\n"), 13, "drift_ppm: 1\n");
  text.replace(text.find("0123456789abcdef"), 16, "short");
  CHECK_FALSE(part::parse("f", text, findings));
  CHECK(findings.size() == 3);
}

TEST_CASE("The state file is whole after a power cut at any piece, old or new, and damage is set aside") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    standin::MemoryDisk disk;
    std::string why;
    int error = 0;
    {
      store::Store s(disk.folder(), "f", "n1");
      REQUIRE(s.write(sample(1)) == 0);
      // Cut somewhere in the second write: the calls of a file that fails from there on.
      auto faults = std::make_shared<standin::Faults>();
      store::Store second(standin::faulty_files(disk.folder(), faults), "f", "n1");
      faults->space = static_cast<std::int64_t>(seed * 11 % 1400);
      const bool wrote = second.write(sample(2)) == 0;
      disk.cut_power(seed);
      store::Store after(disk.folder(), "f", "n1");
      const auto saved = after.load(why, error);
      INFO("seed " << seed << " " << why);
      REQUIRE(error == 0);
      REQUIRE(saved);
      CHECK(saved->upto == (wrote ? 2u : 1u));
    }
  }
  struct Case {
    std::string fleet, member, says;
    std::size_t cut;
  };
  for (const Case& c : {Case{"f", "n1", "torn", 40}, Case{"g", "n1", "another fleet", 0},
                        Case{"f", "n2", "another fleet", 0}}) {
    standin::MemoryDisk disk;
    std::string why;
    int error = 0;
    REQUIRE(store::Store(disk.folder(), "f", "n1").write(sample(1)) == 0);
    const std::string bytes = disk.contents("member.state");
    if (c.cut > 0) disk.put("member.state", bytes.substr(0, bytes.size() - c.cut));
    store::Store s(disk.folder(), c.fleet, c.member);
    CHECK_FALSE(s.load(why, error));
    CHECK(error == 0);
    CHECK(why.find(c.says) != std::string::npos);
    REQUIRE(s.write(sample(2)) == 0);
    CHECK(disk.contents("member.state.set-aside-1").size() == bytes.size() - c.cut);
  }
}

TEST_CASE("Messages come back as they went, and bytes of nobody's making are turned down") {
  talk::Packet p;
  p.from = "n1";
  agreement::Message m;
  m.kind = agreement::Message::Kind::kAccept;
  m.fleet = 3;
  m.epoch = 4;
  m.key = "duty.holds";
  m.ballot = {7, 8};
  m.other = {9, 10};
  m.value = std::string(agreement::kMostValue, 'x');
  p.what = m;
  talk::Fault fault;
  const std::string bytes = talk::bytes_of(p);
  CHECK(bytes.size() <= talk::kMostPacket);
  const auto back = talk::packet_from(bytes, fault);
  REQUIRE(back);
  CHECK(std::get<agreement::Message>(back->what).value == m.value);
  CHECK(std::get<agreement::Message>(back->what).other == m.other);
  talk::Talk t;
  t.duty = "holds";
  t.to = 1u << 30;
  for (std::size_t i = 0; i < talk::kMostTold; ++i) {
    orders::Entry e{static_cast<depot::Id>(i), true, (1u << 30) + i, 1'790'000'000'000, {}};
    for (std::size_t c = 0; c < orders::kMostCalls; ++c) e.calls.push_back({~0ull, 1'790'000'000'000});
    t.entries.push_back(e);
  }
  p.what = t;
  const std::string told = talk::bytes_of(p);
  CHECK(told.size() <= talk::kMostPacket);
  const auto heard = talk::packet_from(told, fault);
  REQUIRE(heard);
  CHECK(std::get<talk::Talk>(heard->what).entries == t.entries);
  std::mt19937_64 random(1);
  std::size_t taken = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = i % 2 == 0 ? bytes : told;
    for (int k = 0; k < 1 + i % 4; ++k) damaged[random() % damaged.size()] = static_cast<char>(random());
    if (i % 3 == 0) damaged.resize(random() % damaged.size());
    const auto got = talk::packet_from(damaged, fault);
    CHECK(got.has_value() == (fault == talk::Fault::kNone));
    taken += got.has_value();
  }
  CHECK(taken < 20'000);
}

TEST_CASE("The gate heeds the highest term of each duty alone") {
  gate::Gate g;
  using V = gate::Gate::Verdict;
  const std::vector<std::tuple<const char*, std::uint64_t, V>> table{
      {"a", 1, V::kRaised}, {"a", 1, V::kHeed}, {"a", 3, V::kRaised}, {"a", 2, V::kRefuse},
      {"b", 1, V::kRaised}, {"a", 3, V::kHeed}, {"b", 0, V::kRefuse}};
  for (const auto& [duty, term, verdict] : table) CHECK(g.look(duty, term) == verdict);
  CHECK(g.refused() == 2);
  gate::Gate again(g.terms());
  CHECK(again.look("a", 2) == V::kRefuse);
}

TEST_CASE(
    "The door has the fleet's calls only where there is a fleet, and a yes waits for it, not for ever") {
  CHECK(door::route("GET", "/_fleet").status == 404);
  CHECK(door::route("GET", "/_fleet", true).status == 0);
  CHECK(door::route("POST", "/_fleet", true).status == 405);
  const auto r = door::route("POST", "/_fleet/replace/n1/n2", true);
  CHECK((r.status == 0 && r.call.out == "n1" && r.call.in == "n2"));
  for (const char* bad : {"/_fleet/replace/n1", "/_fleet/replace//n2", "/_fleet/replace/a/b/c"}) {
    CHECK(door::route("POST", bad, true).status == 400);
  }
  constexpr lifecycle::Time kMs = 1'000'000;
  lifecycle::Life life(0, false);
  life.listed();
  life.handed_over();
  CHECK(life.duty(kMs).ready);
  life.in_fleet();
  CHECK_FALSE(life.duty(kMs).ready);
  CHECK(life.duty(kMs).accept);  // requests do not wait for it
  CHECK(life.duty(kMs).changes <= lifecycle::kFleetPatience);
  CHECK(life.duty(lifecycle::kFleetPatience).ready);
  life.fleet_heard();
  CHECK(life.duty(kMs).ready);
}

TEST_CASE("An address that cannot be had is tried again, and who sends too fast is counted and passed over") {
  asio::io_context io(1);
  using Udp = asio::ip::udp;
  Udp::socket taken(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto at = taken.local_endpoint();
  const std::vector<peers::Key> keys{{1, "0123456789abcdef"}};
  const auto wall = [] { return std::int64_t{1'000'000}; };
  peers::Carrier::Limits limits;
  limits.reopen_ms = 5;
  limits.per_peer = 1.0;
  limits.burst = 20.0;
  peers::Carrier here(io, keys, 1, limits, wall), there(io, keys, 2, {}, wall);
  int heard = 0;
  here.on_membership([&](const membership::Message&, const membership::Address&) {});
  here.on_packet([&](const talk::Packet&, const membership::Address&) { ++heard; });
  CHECK(here.open(at));
  here.send({0x7f000001, at.port()}, talk::Packet{"n1", talk::Talk{}});
  CHECK(here.counters().unsent == 1);
  taken.close();
  CHECK_FALSE(there.open(Udp::endpoint(asio::ip::address_v4::loopback(), 0)));
  talk::Talk t;
  t.duty = "holds";
  const auto until = [&](const auto& done) {
    for (int i = 0; i < 2'000 && !done(); ++i) io.run_one_for(std::chrono::milliseconds(10));
    return done();
  };
  CHECK(until([&] { return here.counters().reopened > 0 && here.receiving(); }));
  for (int i = 0; i < 60; ++i) there.send({0x7f000001, at.port()}, talk::Packet{"n2", t});
  CHECK(until([&] { return here.counters().received == 60; }));
  CHECK(heard >= 20);
  CHECK(here.counters().too_fast >= 38);
  here.close();
  there.close();
}
