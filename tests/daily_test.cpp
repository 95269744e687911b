// The decisions of daily running: holds over the bus's list, the life cycle, the operators' calls.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <tuple>

#include "door/calls.hpp"
#include "generations/generations.hpp"
#include "handover/discovery.hpp"
#include "handover/folder.hpp"
#include "handover/learned.hpp"
#include "handover/run_ledger.hpp"
#include "handover/sealed.hpp"
#include "handover/state.hpp"
#include "holds/holds.hpp"
#include "lifecycle/lifecycle.hpp"

using namespace anisewick;
using BusState = bus::State;
using Kind = bus::Event::Kind;

namespace {

bus::Depot depot_of(std::uint32_t id, BusState state, std::int64_t started = 0, int port = 1) {
  bus::Depot d;
  d.id = id;
  d.state = state;
  d.started_ms = started;
  d.port = static_cast<std::uint16_t>(port);
  return d;
}
bus::Event list(Kind kind, std::vector<bus::Depot> depots) {
  bus::Event e;
  e.kind = kind;
  e.depots = std::move(depots);
  return e;
}

}  // namespace

TEST_CASE("a held depot is shown as draining whatever the bus says, and comes back cold") {
  holds::Holds h;
  CHECK_FALSE(h.detach(1, 5).has_value());  // nobody has it
  CHECK(h.over(list(Kind::kWholeList, {depot_of(1, BusState::kReady), depot_of(2, BusState::kReady)}))
            .depots[0]
            .state == BusState::kReady);
  auto change = h.detach(1, 100);
  REQUIRE((change && change->kind == Kind::kChanges && change->depots.size() == 1));
  CHECK(change->depots[0].state == BusState::kDraining);
  CHECK(h.detach(1, 101)->kind == Kind::kNothing);  // out is out

  const std::vector<std::pair<Kind, bus::Depot>> news{
      {Kind::kChanges, depot_of(1, BusState::kReady)},          // a repeated event
      {Kind::kWholeList, depot_of(1, BusState::kReady)},        // the whole list anew
      {Kind::kChanges, depot_of(1, BusState::kReady, 150)},     // a new process
      {Kind::kChanges, depot_of(1, BusState::kReady, 150, 9)},  // elsewhere
  };
  for (const auto& [kind, told] : news)
    CHECK(h.over(list(kind, {told})).depots[0].state == BusState::kDraining);
  CHECK(h.over(list(Kind::kChanges, {depot_of(1, BusState::kGone)})).depots[0].state == BusState::kGone);
  CHECK(h.over(list(Kind::kChanges, {depot_of(1, BusState::kReady, 150)})).depots[0].state ==
        BusState::kDraining);

  change = h.attach(1, 200);  // twice out, once back
  REQUIRE((change && change->depots.size() == 1));
  CHECK((change->depots[0].state == BusState::kReady && change->depots[0].started_ms == 200));
  CHECK(h.attach(1, 201)->kind == Kind::kNothing);
  CHECK(h.over(list(Kind::kChanges, {depot_of(1, BusState::kReady, 150)})).depots[0].started_ms == 200);
  CHECK(h.over(list(Kind::kChanges, {depot_of(1, BusState::kReady, 300)})).depots[0].started_ms == 300);
  CHECK(h.attach(2, 201)->kind == Kind::kNothing);  // was never out: nothing of it is forgotten
  CHECK(h.over(list(Kind::kChanges, {depot_of(2, BusState::kReady)})).depots[0].started_ms == 0);
}

TEST_CASE("an attach does not bring back what the bus drains, and a gone depot can be let go") {
  for (const BusState state : {BusState::kDraining, BusState::kGone}) {
    holds::Holds h;
    h.over(list(Kind::kWholeList, {depot_of(1, BusState::kReady)}));
    h.detach(1, 100);
    h.over(list(Kind::kChanges, {depot_of(1, state)}));
    const auto change = h.attach(1, 200);
    REQUIRE((change && change->depots.size() == 1));
    CHECK(change->depots[0].state == state);
  }
  holds::Holds h;  // a whole list that no longer names it
  h.over(list(Kind::kWholeList, {depot_of(1, BusState::kReady)}));
  h.detach(1, 100);
  h.over(list(Kind::kWholeList, {depot_of(2, BusState::kReady)}));
  CHECK(h.attach(1, 200)->depots[0].state == BusState::kGone);
}

TEST_CASE("a clock set back does not make the later call the older one") {
  holds::Holds h;
  h.over(list(Kind::kWholeList, {depot_of(1, BusState::kReady)}));
  h.detach(1, 1000);
  CHECK(h.attach(1, 10)->depots[0].state == BusState::kReady);
  CHECK(h.detach(1, 11)->depots[0].state == BusState::kDraining);
}

// Two processes of one doorman hear calls and lists in any order and tell one another their marks. The model:
// the last call about each depot, and the bus's last word at each process.
TEST_CASE("generated calls and lists agree with a plain model, also over two processes") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  for (int round = 0; round < 200; ++round) {
    holds::Holds process[2];
    std::map<std::uint32_t, bus::Depot> told[2], shown[2];
    std::map<std::uint32_t, std::pair<bool, std::int64_t>> word;  // held, since
    std::int64_t now = 1000;
    const auto show = [&](int p, const bus::Event& e) {
      if (e.kind == Kind::kWholeList)
        for (auto& [id, d] : shown[p]) d.state = BusState::kGone;
      for (const bus::Depot& d : e.depots) shown[p][d.id] = d;
    };
    for (int step = 0; step < 60; ++step) {
      now += 1 + pick(50);
      const int p = pick(2);
      const auto id = static_cast<std::uint32_t>(pick(5));
      if (pick(3) == 0) {
        const Kind kind = pick(4) == 0 ? Kind::kWholeList : Kind::kChanges;
        bus::Event e = list(kind, {});
        if (kind == Kind::kWholeList)
          for (auto& [of, d] : told[p]) d.state = BusState::kGone;
        for (int i = 1 + pick(3); i > 0; --i) {
          const auto d =
              depot_of(static_cast<std::uint32_t>(pick(5)), static_cast<BusState>(pick(3)), pick(2) * now);
          if (std::any_of(e.depots.begin(), e.depots.end(), [&](const auto& x) { return x.id == d.id; }))
            continue;
          e.depots.push_back(d);
          told[p][d.id] = d;
        }
        show(p, process[p].over(e));
      } else {
        const bool out = pick(2) == 0;
        const auto change = out ? process[p].detach(id, now) : process[p].attach(id, now);
        const bool had = word.contains(id);
        const bool known = told[p].contains(id) || (!out && had);
        REQUIRE(change.has_value() == known);
        if (known) show(p, *change);
        if (known && (out ? !had || !word[id].first : had && word[id].first)) word[id] = {out, now};
        // Before a call is answered, the other is told.
        show(1 - p, process[1 - p].merge(process[p].marks()));
      }
      for (int q = 0; q < 2; ++q) {
        for (const auto& [of, d] : told[q]) {
          const auto w = word.find(of);
          const bool held = w != word.end() && w->second.first;
          const bus::Depot& s = shown[q].at(of);
          REQUIRE(s.state == (held && d.state == BusState::kReady ? BusState::kDraining : d.state));
          if (!held)
            REQUIRE(s.started_ms ==
                    std::max(d.started_ms, w == word.end() ? std::int64_t{0} : w->second.second));
        }
      }
    }
    REQUIRE(process[0].marks() == process[1].marks());
  }
}

namespace {

using lifecycle::Duty;
using lifecycle::kMs;
using lifecycle::Life;

// ready, accept, close_idle, refuse, may_end, must_end as letters; '-' where not.
std::string letters(const Duty& d) {
  std::string out;
  for (const auto& [on, c] : {std::pair{d.ready, 'r'},
                              {d.accept, 'a'},
                              {d.close_idle, 'i'},
                              {d.refuse, 'x'},
                              {d.may_end, 'e'},
                              {d.must_end, '!'}})
    out.push_back(on ? c : '-');
  return out + (d.half ? "h" : "");
}
struct Step {
  std::int64_t ms;
  const char* what;  // empty: nothing happens, only time passes
  const char* then;
};

void play(bool shared, const std::vector<Step>& steps) {
  Life life(0, shared);
  for (const Step& s : steps) {
    INFO(s.ms << " ms " << s.what);
    const lifecycle::Time now = s.ms * kMs;
    const std::string what = s.what;
    if (what == "listed") life.listed();
    if (what == "handed") life.handed_over();
    if (what == "caught") life.caught_up();
    if (what == "before") life.predecessor(true);
    if (what == "alone") life.predecessor(false);
    if (what == "after") life.successor(true);
    if (what == "lost") life.successor(false);
    if (what == "on") life.duck(now, true);
    if (what == "off") life.duck(now, false);
    if (what == "term") life.term(now);
    if (what == "said") life.announced(now);
    if (what == "short") life.longest_deadline(2'000 * kMs);
    if (what == "long") life.longest_deadline(5'000 * kMs);
    const Duty duty = life.duty(now);
    CHECK(letters(duty) == s.then);
    // What it says of its next change is true: nothing changes by itself before.
    if (duty.changes != lifecycle::kNever) {
      REQUIRE(duty.changes > now);
      Duty before = life.duty(duty.changes - 1);
      CHECK(letters(before) == letters(duty));
    } else {
      CHECK(letters(life.duty(now + 3'600'000 * kMs)) == letters(duty));
    }
  }
}

}  // namespace

// Guards against news of discovery that is taken torn, or with figures that cannot be (review/5).
TEST_CASE("what a process heard from discovery is read back whole, and not at all where it is damaged") {
  handover::DiscoverySnapshot snapshot;
  snapshot.number = 41;
  bus::Depot depot;
  depot.id = 0x11;
  depot.address = 0x7f000001;
  depot.port = 7001;
  depot.state = bus::State::kDraining;
  depot.zone = 1;
  depot.kind = 2;
  depot.cell = 3;
  depot.weight = 0.25;
  depot.started_ms = 1'764'576'000'123;
  snapshot.servers = {depot};
  snapshot.purges = {{true, 17, 5'000}, {false, 0x7f3a9c21e0b4d655, 6'000}};
  const std::string bytes = handover::encode_discovery(snapshot, "n0");
  std::string why;
  const auto back = handover::decode_discovery(bytes, "n0", why);
  REQUIRE(back);
  CHECK(back->number == 41);
  CHECK(back->purges == snapshot.purges);
  REQUIRE(back->servers.size() == 1);
  const bus::Depot& d = back->servers[0];
  CHECK((d.id == depot.id && d.address == depot.address && d.port == depot.port && d.state == depot.state));
  CHECK((d.zone == 1 && d.kind == 2 && d.cell == 3 && d.weight == 0.25 && d.started_ms == depot.started_ms));
  CHECK_FALSE(handover::decode_discovery(bytes, "n1", why));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(handover::decode_discovery(std::string_view(bytes).substr(0, size), "n0", why));
  const std::string body = bytes.substr(bytes.find('\n') + 1);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{{"number 41", "number x"},
                                                                                 {"number 41\n", ""},
                                                                                 {" 1 1 2 3 ", " 3 1 2 3 "},
                                                                                 {" 7001 ", " 70010 "},
                                                                                 {"s-00000011", "11"},
                                                                                 {"0.250000", "nan"},
                                                                                 {"group 11", "group -1"},
                                                                                 {"object", "thing"}}) {
    INFO(from << " to " << to);
    std::string other = body;
    REQUIRE(other.find(from) != std::string::npos);
    other.replace(other.find(from), from.size(), to);
    CHECK_FALSE(
        handover::decode_discovery(handover::sealed("anisewick-discovery", 1, "n0", other), "n0", why));
  }
}

TEST_CASE("of purges the latest counts, and one that is settled is forgotten") {
  handover::PurgeLog log;
  log.add({true, 17, 1'000}, 1'000, 7'000);
  log.add({true, 17, 500}, 1'100, 7'000);
  log.add({false, 17, 2'000}, 2'000, 7'000);
  CHECK(log.purges() == std::vector<handover::Purge>{{false, 17, 2'000}, {true, 17, 1'000}});
  log.add({true, 18, 8'500}, 8'500, 7'000);
  CHECK(log.purges() == std::vector<handover::Purge>{{false, 17, 2'000}, {true, 18, 8'500}});
  for (std::uint64_t n = 0; n < 10'000; ++n) log.add({false, n, 8'600}, 8'600, 7'000);
  CHECK(log.purges().size() <= 4'096);
}

TEST_CASE("the life cycle by tables") {
  SECTION("start on a socket of its own") {
    play(false, {{0, "", "-a----"}, {1, "handed", "-a----"}, {2, "listed", "ra----"}, {9'000, "", "ra----"}});
  }
  SECTION("start on a shared socket: nobody is taken before it is ready") {
    play(true, {{0, "handed", "------"}, {2, "listed", "ra----"}});
  }
  SECTION("one that takes over waits for the bus, but not for ever, and has half until the other settled") {
    play(true, {{0, "before", "------h"},
                {1, "handed", "------h"},
                {2, "listed", "------h"},
                {50, "caught", "ra----h"},
                {51, "said", "ra----h"},
                {2'050, "", "ra----h"},
                {2'051, "", "ra----"}});
    play(true, {{0, "before", "------h"},
                {1, "handed", "------h"},
                {2, "listed", "------h"},
                {1'499, "", "------h"},
                {1'500, "", "ra----h"}});
    play(true, {{0, "before", "------h"},
                {1, "handed", "------h"},
                {2, "listed", "------h"},
                {90, "alone", "ra----"}});
  }
  SECTION("a drain: no at once, idle connections end later, then requests are refused; off is off") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {100, "on", "-a----"},
                 {499, "", "-a----"},
                 {500, "", "-ai---"},
                 {600, "on", "-ai---"},
                 {1'900, "", "-aix--"},
                 {5'000, "off", "ra----"},
                 {5'010, "on", "-a----"},
                 {5'020, "off", "ra----"},
                 {5'030, "off", "ra----"}});
  }
  SECTION("SIGTERM: no at once, it serves on for a second, then ends idle connections and itself") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {100, "term", "-a----"},
                 {1'099, "", "-a----"},
                 {1'100, "", "-ai-e-"},
                 {1'200, "term", "-ai-e-"},
                 {3'700, "", "-aixe!"}});
  }
  SECTION("SIGTERM before there is a list") {
    play(false, {{0, "handed", "-a----"}, {100, "term", "-a----"}, {1'100, "", "-ai-e-"}});
  }
  SECTION("the longest deadline moves the end, as 3 s if it is longer") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {5, "long", "ra----"},
                 {100, "term", "-a----"},
                 {3'699, "", "-ai-e-"},
                 {3'700, "", "-aixe!"}});
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {5, "short", "ra----"},
                 {100, "term", "-a----"},
                 {2'699, "", "-ai-e-"},
                 {2'700, "", "-aixe!"}});
  }
  SECTION("SIGTERM in a drain") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {100, "on", "-a----"},
                 {200, "term", "-a----"},
                 {500, "", "-ai---"},
                 {1'200, "", "-ai-e-"},
                 {1'900, "", "-aixe-"}});
  }
  SECTION("a successor: it stands by, takes up again if that one is lost, ends when told") {
    play(true, {{0, "handed", "------"},
                {1, "listed", "ra----"},
                {100, "after", "r-i---h"},
                {200, "lost", "ra----"},
                {300, "after", "r-i---h"},
                {400, "term", "--i-e-h"},
                {900, "lost", "-a----"},
                {1'400, "", "-ai-e-"}});
    play(true, {{0, "handed", "------"},
                {1, "listed", "ra----"},
                {100, "after", "r-i---h"},
                {200, "term", "--i-e-h"},
                {3'599, "", "--i-e-h"},
                {3'600, "", "--ixe-h"},
                {3'800, "", "--ixe!h"}});
  }
  SECTION("an upgrade in a drain") {
    play(true, {{0, "handed", "------"},
                {1, "listed", "ra----"},
                {10, "on", "-a----"},
                {20, "after", "------h"},
                {410, "", "--i---h"},
                {500, "term", "--i-e-h"}});
  }
}

TEST_CASE("the operators' calls by a table") {
  using door::Call;
  using What = Call::What;
  const std::vector<std::tuple<std::string, std::string, int, What, std::uint32_t>> rows{
      {"GET", "/_ready", 0, What::kReady, 0},
      {"POST", "/_depots/detach/s-0000000a", 0, What::kDetach, 10},
      {"POST", "/_depots/attach/s-ffffffff", 0, What::kAttach, 0xffffffffu},
      {"POST", "/_lameduck/on", 0, What::kDuckOn, 0},
      {"POST", "/_lameduck/off", 0, What::kDuckOff, 0},
      {"POST", "/_ready", 405, What::kReady, 0},
      {"HEAD", "/_ready", 405, What::kReady, 0},
      {"GET", "/_depots/detach/s-0000000a", 405, What::kDetach, 0},
      {"PUT", "/_lameduck/on", 405, What::kDuckOn, 0},
      {"POST", "/_depots/detach/", 400, What::kDetach, 0},
      {"POST", "/_depots/detach/10", 400, What::kDetach, 0},
      {"POST", "/_depots/detach/s-0000000a/", 400, What::kDetach, 0},
      {"GET", "/", 404, What::kReady, 0},
      {"GET", "/_ready/", 404, What::kReady, 0},
      {"POST", "/_depots/detach", 404, What::kReady, 0},
  };
  for (const auto& [method, path, status, what, id] : rows) {
    INFO(method << " " << path);
    const auto routed = door::route(method, path);
    CHECK(routed.status == status);
    if (status == 0) CHECK((routed.call.what == what && routed.call.depot == id));
    CHECK((status == 405) == !routed.allow.empty());
  }
}

TEST_CASE("a call's bytes are read split anywhere, and bad ones are turned down") {
  using State = door::CallReader::State;
  const std::vector<std::tuple<std::string, State, int, std::string>> rows{
      {"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n", State::kCall, 0, "/_ready"},
      {"GET /_ready?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", State::kCall, 0, "/_ready"},
      {"GET http://h/_ready HTTP/1.1\r\nHost: x\r\n\r\n", State::kCall, 0, "/_ready"},
      {"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 0\r\n\r\n", State::kCall, 0, "/_lameduck/on"},
      {"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", State::kCall, 0, "/_lameduck/on"},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", State::kCall, 0, "/a"},
      {"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", State::kMore, 0, ""},
      {"GET /_ready HTTP/1.1\r\nHost", State::kMore, 0, ""},
      {"GET /_ready HTTP/1.1\r\n\r\nGET /_ready HTTP/1.1\r\n\r\n", State::kCall, 0, "/_ready"},
      {"nonsense\r\n\r\n", State::kBad, 400, ""},
      {std::string("\x01\x01\x00\x01", 4), State::kBad, 400, ""},
      {"GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n\r\n", State::kBad, 404, ""},
      {"GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n", State::kBad, 431, ""},
      {"POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'a'), State::kBad, 413, ""},
      {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", State::kBad, 400, ""},
  };
  for (const auto& [bytes, state, status, path] : rows) {
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
      INFO(bytes.substr(0, 60) << " in pieces of " << piece);
      door::CallReader reader;
      State now = State::kMore;
      for (std::size_t at = 0; at < bytes.size() && now == State::kMore; at += piece)
        now = reader.feed(std::string_view(bytes).substr(at, piece));
      CHECK(now == state);
      if (state == State::kBad) CHECK(reader.status() == status);
      if (state == State::kCall) CHECK(reader.path() == path);
    }
  }
}

// The model: a name keeps its slot while it is in force, no two names in force share one, and what a request
// holds does not change.
TEST_CASE("generated generations agree with a plain model") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  generations::Classes classes;
  std::vector<std::pair<generations::Terms, Time>> open;  // and the deadline it had
  std::map<std::string, int> slots;
  Time next = 1;
  for (int round = 0; round < 400; ++round) {
    std::vector<std::string> names;
    std::vector<ClassSettings> terms;
    for (int i = 0; i < 600 && names.size() < generations::Classes::kMost; ++i) {
      if (random() % 100 >= static_cast<unsigned>(round % 60)) continue;
      names.push_back("c" + std::to_string(i));
      terms.emplace_back();
      terms.back().deadline = next++;
    }
    classes.adopt(names, terms);
    std::set<int> taken;
    std::map<std::string, int> now;
    for (std::size_t i = 0; i < names.size(); ++i) {
      const generations::Class* c = classes.find(names[i]);
      REQUIRE((c != nullptr && c->terms->deadline == terms[i].deadline));
      REQUIRE(taken.insert(c->slot).second);
      REQUIRE((!slots.contains(names[i]) || slots[names[i]] == c->slot));
      REQUIRE(classes.by_slot().at(static_cast<std::size_t>(c->slot)).deadline == terms[i].deadline);
      now[names[i]] = c->slot;
      if (random() % 50 == 0) open.emplace_back(c->terms, c->terms->deadline);
    }
    slots = now;
    CHECK(classes.find("nobody") == nullptr);
    REQUIRE(classes.by_slot().size() <= generations::Classes::kMost);
  }
  for (const auto& [held, deadline] : open) CHECK(held->deadline == deadline);
}

namespace {

handover::State state_of(std::mt19937& random) {
  const auto pick = [&](unsigned n) { return random() % n; };
  handover::State s;
  s.name = "n 1";
  s.drain = {pick(2) == 0, static_cast<std::int64_t>(pick(4))};
  std::map<std::uint32_t, holds::Mark> marks;
  for (unsigned i = pick(5); i > 0; --i) {
    const std::uint32_t id = pick(4);
    marks[id] = {id, pick(2) == 0, static_cast<std::int64_t>(pick(4))};
  }
  for (const auto& [id, m] : marks) s.marks.push_back(m);
  for (std::uint64_t i = 0; i < 3; ++i) {
    if (pick(2) == 0) s.runners.push_back({i + 7, static_cast<std::int64_t>(i * 5), pick(2) == 0});
  }
  return s;
}

// A folder of its own, gone with it.
struct Folder {
  Folder() {
    char name[] = "/tmp/anisewick-test-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string text() const {
    std::ifstream file(path + "/anisewick.state");
    std::stringstream all;
    all << file.rdbuf();
    return all.str();
  }
  void write(const std::string& text) const { std::ofstream(path + "/anisewick.state") << text; }
  std::string path;
};

}  // namespace

TEST_CASE("a state is read as it was written, and one that was harmed anywhere is not read") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  for (int round = 0; round < 100; ++round) {
    const handover::State s = state_of(random);
    const std::string bytes = handover::encode(s);
    std::string why;
    const auto read = handover::decode(bytes, s.name, why);
    REQUIRE((read && *read == s));
    CHECK_FALSE(handover::decode(bytes, "n2", why));
    CHECK(why == "it is another doorman's");
    for (std::size_t n = 0; n < bytes.size(); ++n)
      REQUIRE_FALSE(handover::decode(bytes.substr(0, n), s.name, why));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      std::string harmed = bytes;
      harmed[n] = static_cast<char>(harmed[n] ^ (1 << random() % 7));
      const auto other = handover::decode(harmed, s.name, why);
      REQUIRE((!other || *other == s));  // a digit of the sum may be written in another case
    }
    CHECK_FALSE(handover::decode(bytes + "x", s.name, why));
  }
  std::string why, next = handover::encode({.name = "n", .marks = {}, .drain = {}, .runners = {}});
  next.replace(next.find(" 1 "), 3, " 2 ");
  CHECK_FALSE(handover::decode(next, "n", why));
  CHECK(why == "it is of another version");
}

TEST_CASE("states join to the same whatever the order, and the later word counts") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  for (int round = 0; round < 500; ++round) {
    const auto a = state_of(random), b = state_of(random), c = state_of(random);
    using handover::merged;
    REQUIRE(merged(a, b) == merged(b, a));
    REQUIRE(merged(merged(a, b), c) == merged(a, merged(b, c)));
    REQUIRE(merged(a, a) == merged(a, merged(a, a)));
    for (const holds::Mark& m : merged(a, b).marks) {
      for (const handover::State* s : {&a, &b}) {
        for (const holds::Mark& x : s->marks) REQUIRE((x.depot != m.depot || x.at_ms <= m.at_ms));
      }
    }
  }
}

TEST_CASE("who takes over from whom, by a table") {
  using handover::Runner;
  const Runner old{1, 10, true}, self{2, 20, true}, fresh{3, 30, false}, next{4, 30, true}, twin{9, 20, true};
  const auto of = [](std::vector<Runner> runners) {
    return handover::others({.name = "n", .marks = {}, .drain = {}, .runners = std::move(runners)}, 2);
  };
  CHECK(of({self}) == handover::Others{false, false, false});
  CHECK(of({old, self}) == handover::Others{true, false, false});
  CHECK(of({self, fresh}) == handover::Others{false, false, true});
  CHECK(of({self, next}) == handover::Others{false, true, false});
  CHECK(of({old, self, fresh}) == handover::Others{true, false, true});
  CHECK(of({self, twin}) == handover::Others{false, true, false});
  CHECK(of({{1, 10, false}, self}) == handover::Others{false, false, false});  // never took work
  CHECK(of({old}) == handover::Others{});
}

TEST_CASE("two processes share a folder: calls, who runs, and what is set aside") {
  Folder folder;
  std::vector<std::string> said;
  const auto say = [&](const std::string& line) { said.push_back(line); };
  auto first = std::make_unique<handover::Folder>(folder.path, "n1", 1, 10, say);
  CHECK(first->publish({}, {}, true));
  auto second = std::make_unique<handover::Folder>(folder.path, "n1", 2, 20, say);
  CHECK(second->publish({{5, true, 100}}, {true, 90}, false));
  CHECK(second->look().runners.size() == 2);
  CHECK_FALSE(second->changed());
  REQUIRE(first->changed());
  CHECK(first->look().marks == std::vector<holds::Mark>{{5, true, 100}});
  CHECK(first->look().drain == handover::Drain{true, 90});
  CHECK(handover::others(first->look(), 1) == handover::Others{false, false, true});
  CHECK(handover::others(second->look(), 2) == handover::Others{true, false, false});
  CHECK_FALSE(first->changed());

  SECTION("one that ends is noticed, also without a word") {
    second.reset();
    REQUIRE(first->changed());
    CHECK(first->look().runners.size() == 1);
    CHECK(first->look().marks.size() == 1);  // what it was told stays
    CHECK_FALSE(first->changed());
  }
  SECTION("harmed files are set aside, and what is known is written again") {
    const std::string good = folder.text();
    for (const std::string& bad :
         {std::string("nonsense"), good.substr(0, good.size() / 2), std::string(),
          handover::encode({.name = "n7", .marks = {}, .drain = {}, .runners = {}})}) {
      said.clear();
      folder.write(bad);
      REQUIRE(first->changed());
      CHECK(first->look().marks.size() == 1);
      REQUIRE(said.size() == 1);
      CHECK(said[0].find("is set aside") != std::string::npos);
      CHECK(folder.text() == good);
      second->look();
      first->look();
      CHECK_FALSE(first->changed());
    }
  }
  SECTION("a file that was taken away is written again") {
    std::filesystem::remove(folder.path + "/anisewick.state");
    REQUIRE(first->changed());
    first->look();
    CHECK(folder.text().find("mark s-00000005 1 100") != std::string::npos);
  }
  SECTION("a folder that cannot be written holds no call up, and is tried again") {
    const std::string aside = folder.path + "-aside";
    std::filesystem::rename(folder.path, aside);
    CHECK_FALSE(first->publish({{6, true, 200}}, {}, true));
    CHECK_FALSE(first->publish({{6, true, 200}}, {}, true));
    CHECK(said.size() == 1);
    CHECK(first->changed());
    std::filesystem::rename(aside, folder.path);
    CHECK(first->look().marks.size() == 2);
    CHECK(second->look().marks.size() == 2);
    CHECK_FALSE(first->changed());
  }
  SECTION("a larger value is left for the next") {
    using Part = handover::Folder::Part;
    using Left = std::vector<std::string>;
    CHECK(second->left_by_others(Part::kLearned, 100).empty());
    CHECK(first->leave(Part::kLearned, "what was learned"));
    CHECK(second->left_by_others(Part::kLearned, 3).empty());
    CHECK(second->left_by_others(Part::kDiscovery, 100).empty());
    CHECK(second->left_by_others(Part::kLearned, 100) == Left{"what was learned"});
    CHECK(first->left_by_others(Part::kLearned, 100).empty());
    // Each value is given once.
    CHECK(second->left_by_others(Part::kLearned, 100).empty());
    CHECK(first->leave(Part::kLearned, "what was learned since"));
    CHECK(second->left_by_others(Part::kLearned, 100) == Left{"what was learned since"});
    CHECK(first->leave(Part::kDiscovery, "what was heard"));
    CHECK(second->left_by_others(Part::kDiscovery, 100) == Left{"what was heard"});
    CHECK(first->leave(Part::kLearned, "what was learned at last"));
    const std::string of_killed = folder.path + "/anisewick.00000000000000aa.";
    std::ofstream(of_killed + "left") << "of one that was killed";
    std::ofstream(of_killed + "draft") << "and half";
    std::ofstream(folder.path + "/anisewick.00000000000000bb.draft") << "of one that starts just now";
    for (const char* what : {"left", "draft"}) {
      std::filesystem::last_write_time(of_killed + what,
                                       std::filesystem::file_time_type::clock::now() - std::chrono::hours(1));
    }
    first->clear(Part::kLearned);
    CHECK(second->left_by_others(Part::kLearned, 100).empty());
    const handover::Folder third(folder.path, "n1", 3, 30, say);
    CHECK_FALSE(std::filesystem::exists(of_killed + "left"));
    CHECK_FALSE(std::filesystem::exists(of_killed + "draft"));
    CHECK(std::filesystem::exists(folder.path + "/anisewick.00000000000000bb.draft"));
    CHECK(std::filesystem::exists(folder.path + "/anisewick.state"));
  }
}

TEST_CASE("what was learned is read as it was written, and figures that cannot be are not taken") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937_64 random(seed);
  const auto real = [&] { return static_cast<double>(random() % 1'000'000) / 7919.0; };
  const auto whole = [&] { return static_cast<std::int64_t>(random() >> 2); };
  std::string bytes, why;
  for (int round = 0; round < 50; ++round) {
    Learned l;
    l.links_late = real();
    l.retries = real();
    l.origin = {real(), real(), real(), real(), whole(), whole(), whole(), whole()};
    for (int i = 0; i < 20; ++i) {
      Learned::Of of;
      of.process = whole();
      of.what.asked = {real(), {real(), random() % 2 == 0}, whole(), random() % 2 == 0};
      of.what.first_byte = {real(), true};
      of.what.crowd.limit = real();
      of.what.rate = real();
      of.what.sent.add(10, 100, 1.5);
      of.what.sent.add(500, 100, 2.25);  // the first is forgotten
      l.servers["s-" + std::to_string(i)] = of;
      l.objects.push_back({random(), static_cast<std::uint32_t>(random() | 1), random() % 2 == 0});
    }
    bytes = handover::encode_learned(l, "n1", 77);
    const auto read = handover::decode_learned(bytes, "n1", why);
    REQUIRE(read);
    CHECK(read->at_ms == 77);
    CHECK(read->learned.servers.at("s-3").what.sent.sum == 2.25);
    REQUIRE(handover::encode_learned(read->learned, "n1", 77) == bytes);
    CHECK_FALSE(handover::decode_learned(bytes, "n2", why));
    for (int i = 0; i < 40; ++i)
      REQUIRE_FALSE(handover::decode_learned(bytes.substr(0, random() % bytes.size()), "n1", why));
  }
  const std::string fine = bytes.substr(bytes.find('\n') + 1);
  const std::vector<std::pair<std::string, std::string>> bad{
      {"all 77 ", "all -77 "},          {"all 77 ", "all nan "},
      {"all 77 ", "all 77 1e300 "},     {"object ", "object zz "},
      {"server ", "severe "},           {"server s-0", "server s-1"},
      {"\nobject ", "\n\nobject "},     {"all ", ""},
      {"sent s-0 500", "sent s-77 500"}};
  for (const auto& [from, to] : bad) {
    std::string body = fine;
    REQUIRE(body.find(from) != std::string::npos);
    body.replace(body.find(from), from.size(), to);
    INFO(from << " as " << to);
    CHECK_FALSE(handover::decode_learned(handover::sealed("anisewick-learned", 1, "n1", body), "n1", why));
    CHECK(why == "it has figures that cannot be");
  }
}

// Writers are killed at any moment of their writing; whoever reads finds a whole state, each time.
TEST_CASE("a writer killed at any moment leaves a state that can be read") {
  const std::uint32_t seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  Folder folder;
  std::vector<std::string> said;
  handover::Folder reader(folder.path, "n1", 1, 10, [&](const std::string& line) { said.push_back(line); });
  reader.publish({{7, true, 5}}, {}, true);
  for (int round = 0; round < 60; ++round) {
    const auto incarnation = static_cast<std::uint64_t>(round + 2);
    const pid_t writer = ::fork();
    if (writer == 0) {
      handover::Folder own(folder.path, "n1", incarnation, 20 + round, [](const std::string&) {});
      for (std::int64_t n = 0;; ++n) {
        std::vector<holds::Mark> marks;
        for (depot::Id id = 100; id < 300; ++id) marks.push_back({id, n % 2 == 0, 1000 * round + n});
        own.publish(marks, {n % 2 == 0, 1000 * round + n}, true);
        own.leave(handover::Folder::Part::kLearned, std::string(4000, 'x'));
      }
    }
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 20'000));
    ::kill(writer, SIGKILL);
    ::waitpid(writer, nullptr, 0);
    const handover::State& state = reader.look();
    REQUIRE(state.runners == std::vector<handover::Runner>{{1, 10, true}});
    REQUIRE(std::find(state.marks.begin(), state.marks.end(), holds::Mark{7, true, 5}) != state.marks.end());
    REQUIRE(said.empty());
  }
}

// Guards against two processes that each begin the same request (issue 38).
TEST_CASE("a claim binds both processes until it is released or old") {
  const Folder folder;
  const std::string path = folder.path + "/runs";
  handover::RunLedger first(path), second(path), alone("");
  REQUIRE((first.shared() && second.shared() && !alone.shared()));
  CHECK(first.claim(7, 1'000));
  CHECK_FALSE(first.claim(7, 1'001));
  CHECK_FALSE(second.claim(7, 1'060));
  CHECK(alone.claim(7, 1'000));
  CHECK(second.claim(8, 1'000));
  second.release(7);
  CHECK(first.claim(7, 1'010));
  CHECK(second.claim(7, 1'010 + handover::RunLedger::kKeptSeconds + 1));
  CHECK_FALSE(handover::RunLedger(folder.path + "/none/runs").shared());
  // Far more than there is room for: each is claimed once, and the latest are known.
  for (std::uint64_t n = 0; n < 100'000; ++n) {
    CHECK(alone.claim(1'000 + n, 2'000));
    if (n % 100 == 0) CHECK_FALSE(alone.claim(1'000 + n, 2'000));
  }
}
