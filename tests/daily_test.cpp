// The decisions of daily running: holds over the bus's list, the life cycle, the operators' calls.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <tuple>

#include "door/calls.hpp"
#include "generations/generations.hpp"
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
  return out;
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

TEST_CASE("the life cycle by tables") {
  SECTION("start on a socket of its own") {
    play(false, {{0, "", "-a----"}, {1, "handed", "-a----"}, {2, "listed", "ra----"}, {9'000, "", "ra----"}});
  }
  SECTION("start on a shared socket: nobody is taken before it is ready") {
    play(true, {{0, "handed", "------"}, {2, "listed", "ra----"}});
  }
  SECTION("one that takes over waits for the bus, but not for ever") {
    play(true, {{0, "before", "------"},
                {1, "handed", "------"},
                {2, "listed", "------"},
                {50, "caught", "ra----"}});
    play(true,
         {{0, "before", "------"}, {1, "handed", "------"}, {2, "listed", "------"}, {1'500, "", "ra----"}});
    play(
        true,
        {{0, "before", "------"}, {1, "handed", "------"}, {2, "listed", "------"}, {90, "alone", "ra----"}});
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
  SECTION("SIGTERM: it serves on for a second, then ends once nothing is open, or before it is killed") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {100, "term", "ra----"},
                 {1'099, "", "ra----"},
                 {1'100, "", "----e-"},
                 {1'200, "term", "----e-"},
                 {3'650, "", "----e!"}});
  }
  SECTION("the longest deadline moves the end") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {5, "long", "ra----"},
                 {100, "term", "ra----"},
                 {3'650, "", "----e-"},
                 {5'650, "", "----e!"}});
  }
  SECTION("SIGTERM in a drain") {
    play(false, {{0, "handed", "-a----"},
                 {1, "listed", "ra----"},
                 {100, "on", "-a----"},
                 {200, "term", "-a----"},
                 {500, "", "-ai---"},
                 {1'200, "", "--i-e-"},
                 {1'900, "", "--ixe-"}});
  }
  SECTION("a successor: it stands by, takes up again if that one is lost, ends when told") {
    play(true, {{0, "handed", "------"},
                {1, "listed", "ra----"},
                {100, "after", "r-i---"},
                {200, "lost", "ra----"},
                {300, "after", "r-i---"},
                {400, "term", "--i-e-"},
                {900, "lost", "ra----"},
                {1'400, "", "----e-"}});
  }
  SECTION("an upgrade in a drain") {
    play(true, {{0, "handed", "------"},
                {1, "listed", "ra----"},
                {10, "on", "-a----"},
                {20, "after", "------"},
                {410, "", "--i---"},
                {500, "term", "--i-e-"}});
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
