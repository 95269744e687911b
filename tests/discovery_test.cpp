// When watches on discovery are opened and left, in simulated time before a bus that is late, dead or
// crowded.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "links/watch_plan.hpp"

using namespace anisewick::links;
using std::chrono::milliseconds;

namespace {

constexpr int kFrameEveryMs = 1000;  // an empty one
constexpr int kLimitMs = 300'000;    // of simulated time

// How the bus treats the connections that are begun from some moment on.
struct Ways {
  int connect_ms = 1;  // until one comes up
  int late_ms = 0;     // what it says goes out so late
  int pieces_ms = 0;   // a list is told first, in pieces for so long
  bool dead = false;   // it takes them and says nothing
};

class SlowBus {
 public:
  // `first`: of the connection that is there at the beginning and told something just then; none: there is
  // no connection yet.
  SlowBus(std::optional<Ways> first, Ways others) : others_(others) {
    if (!first) return;
    const WatchPlan::Id id = begin(*first, 0);
    plan_.up(id, at(0));
    plan_.told(id, at(0));
    watches_.at(id).said_ms = 0;
  }
  // When the next whole frame comes; kLimitMs: not within the time.
  int told_after() {
    for (int now = 0; now < kLimitMs; ++now) {
      step_bus(now);
      if (told_) return now;
      step_plan(now);
    }
    return kLimitMs;
  }
  std::size_t begun() const { return begun_; }
  std::size_t most_open() const { return most_open_; }
  bool fell_silent() const { return fell_silent_; }

 private:
  struct Watch {
    Ways ways;
    int up_at = 0;
    bool up = false;
    int said_ms = -1;
  };
  static WatchPlan::Time at(int ms) { return WatchPlan::Time(milliseconds(3'600'000 + ms)); }
  WatchPlan::Id begin(const Ways& ways, int now) {
    const WatchPlan::Id id = plan_.opened(at(now));
    watches_[id] = {ways, now + ways.connect_ms, false, -1};
    ++begun_;
    most_open_ = std::max(most_open_, watches_.size());
    return id;
  }
  void step_bus(int now) {
    for (auto& [id, watch] : watches_) {
      if (!watch.up && now >= watch.up_at) {
        watch.up = true;
        if (watch.said_ms < 0) plan_.up(id, at(now));
      }
      if (!watch.up || watch.ways.dead) continue;
      const int since_up = now - watch.up_at;
      if (watch.ways.pieces_ms > 0 && since_up < watch.ways.late_ms + watch.ways.pieces_ms) {
        if (since_up >= watch.ways.late_ms && since_up % 400 == 0) plan_.heard(id, true, at(now));
        continue;
      }
      const int whole_ms = watch.ways.late_ms + std::max(watch.ways.pieces_ms, kFrameEveryMs);
      if (since_up < whole_ms) continue;
      plan_.told(id, at(now));
      told_ = true;
      return;
    }
  }
  void step_plan(int now) {
    if (at(now) < plan_.next_look()) return;
    const WatchPlan::Due due = plan_.due(at(now));
    fell_silent_ = fell_silent_ || due.fell_silent;
    for (const WatchPlan::Id id : due.close) watches_.erase(id);
    if (due.open) begin(others_, now);
    most_open_ = std::max(most_open_, watches_.size());
  }

  WatchPlan plan_;
  Ways others_;
  std::map<WatchPlan::Id, Watch> watches_;
  std::size_t begun_ = 0, most_open_ = 0;
  bool told_ = false, fell_silent_ = false;
};

Ways late(int ms) {
  Ways ways;
  ways.late_ms = ms;
  return ways;
}
Ways dead() {
  Ways ways;
  ways.dead = true;
  return ways;
}

constexpr int kNoticeMs = 1600 + kFrameEveryMs;  // of a silence, and the first frame of another watch

}  // namespace

// Guards against a bus that is never heard because it is slower than a fixed patience (review/9).
TEST_CASE("A bus that answers late is heard as soon as it answers the first watch") {
  const int ms = GENERATE(0, 500, 1500, 3700, 8600, 20'000, 60'000);
  const bool dead_before = GENERATE(false, true);
  CAPTURE(ms, dead_before);
  SlowBus bus(dead_before ? std::optional(dead()) : std::nullopt, late(ms));
  const int told = bus.told_after();
  if (ms <= 8600) CHECK(told <= ms + kNoticeMs + 50);
  CHECK(told < kLimitMs);
  CHECK(bus.most_open() <= WatchPlan::kMostWatches);
  CHECK(bus.fell_silent() == dead_before);
}

TEST_CASE("A watch that becomes slow is not left before it tells what it has") {
  const int ms = GENERATE(1700, 3700, 8600);
  CAPTURE(ms);
  SlowBus bus(late(ms), late(ms));
  CHECK(bus.told_after() <= ms + kFrameEveryMs + 50);
}

TEST_CASE("Connections that come up late do, however late, and a bus that is up again is soon heard") {
  const int ms = GENERATE(500, 1000, 1500, 5000, 20'000);
  CAPTURE(ms);
  Ways ways;
  ways.connect_ms = ms;
  SlowBus bus(std::nullopt, ways);
  const int told = bus.told_after();
  if (ms <= 5000) CHECK(told <= ms + kFrameEveryMs + 50);
  CHECK(told < kLimitMs);
  CHECK(bus.most_open() <= WatchPlan::kMostWatches);
}

TEST_CASE("A long list in slow pieces is taken whole, and few others are asked for meanwhile") {
  Ways ways;
  ways.pieces_ms = 20'000;
  SlowBus bus(std::nullopt, ways);
  CHECK(bus.told_after() <= ways.pieces_ms + 50);
  CHECK(bus.begun() <= 6);
}

TEST_CASE("A dead watch is left within its patience, and a slow bus is not crowded by trials") {
  SlowBus alive(dead(), late(0));
  CHECK(alive.told_after() <= kNoticeMs + 50);
  CHECK(alive.fell_silent());
  SlowBus slow(dead(), late(8600));
  CHECK(slow.told_after() <= 8600 + kNoticeMs + 50);
  CHECK(slow.begun() <= 5);
}

TEST_CASE("A watch that fails is tried again at once, and beside one that is silent") {
  WatchPlan plan;
  const WatchPlan::Time start(milliseconds(1'000'000));
  REQUIRE(plan.due(start).open);
  const auto first = plan.opened(start);
  plan.ended(first, start);
  CHECK_FALSE(plan.due(start + milliseconds(19)).open);
  REQUIRE(plan.due(start + milliseconds(20)).open);
  const auto second = plan.opened(start + milliseconds(20));
  plan.up(second, start + milliseconds(21));
  CHECK(plan.told(second, start + milliseconds(30)).empty());
  CHECK(plan.is_current(second));
  const auto silent = start + milliseconds(30 + 1600);
  CHECK_FALSE(plan.due(silent - milliseconds(1)).open);
  const WatchPlan::Due due = plan.due(silent);
  CHECK((due.open && due.fell_silent && due.close.empty()));
  const auto third = plan.opened(silent);
  plan.ended(third, silent);
  CHECK(plan.due(silent + milliseconds(20)).open);
  const auto fourth = plan.opened(silent + milliseconds(20));
  CHECK(plan.told(second, silent + milliseconds(25)) == std::vector<WatchPlan::Id>{fourth});
  CHECK(plan.next_look() == silent + milliseconds(25 + 1600));
}
