// A hundred doormen who share nothing before one location's depots, in simulated time: what must hold in each
// scene, and how much each costs as it is now, so that a change for the worse shows without the bench. Seeds
// are fixed.
#include "standin/crowd.hpp"

#include <catch2/catch.hpp>

using namespace anisewick;
using standin::CrowdOptions;
using standin::Scene;

namespace {

struct Sum {
  double good = 0, refused = 0, most = 0, origin = 0;
  std::uint64_t after_told = 0, before_told = 0;
};

Sum play(Scene scene, double rate) {
  Sum s;
  constexpr std::uint64_t n = 8;
  for (std::uint64_t seed = 1; seed <= n; ++seed) {
    CrowdOptions o;
    o.scene = scene;
    o.seed = seed;
    o.rate = rate;
    const auto r = standin::crowd(o);
    INFO(standin::word(scene) << ", seed " << seed << ", " << rate << " requests a second a doorman");
    CHECK(r.requests > 1'000);
    CHECK(r.unanswered == 0);
    CHECK(r.early_twice == 0);  // one attempt at a time
    CHECK(r.most_attempts <= 4);
    s.good += r.good / static_cast<double>(n);
    s.refused += r.refused / static_cast<double>(n);
    s.most = std::max(s.most, r.most_of_bearable);
    s.origin = std::max(s.origin, r.origin_most);
    s.after_told += r.falls_after_told;
    s.before_told += r.falls_before_told;
  }
  return s;
}

}  // namespace

TEST_CASE("In quiet all is answered in time, and nothing is turned away") {
  const Sum s = play(Scene::kQuiet, 8.0);
  CHECK(s.good > 0.999);
  CHECK(s.refused == 0.0);
}

TEST_CASE("Cold caches get no more from all doormen in sum than they bear, once the list tells of them") {
  for (const Scene scene : {Scene::kTold, Scene::kUntold}) {
    const Sum s = play(scene, 8.0);
    INFO(standin::word(scene));
    CHECK(s.after_told == 0);
    CHECK(s.most <= 1.0);
    CHECK(s.good > 0.995);
    CHECK(s.refused < 0.005);
    // Before that nobody knows: then each is asked as ever, and falls.
    if (scene == Scene::kUntold) CHECK(s.before_told > 0);
  }
}

TEST_CASE("Twenty and thirty instances keep a cold server's budget in sum, by whatever count they are told") {
  const bool zone_counts_told = GENERATE(true, false);
  const std::size_t instances = GENERATE(20, 30);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CrowdOptions o;
    o.scene = Scene::kTold;
    o.seed = seed;
    o.doormen = instances;
    o.caches = 6;
    o.rate = 24.0;  // each its part of what these caches bear when they are warm, so that the budget binds
    o.zone_counts_told = zone_counts_told;
    const auto r = standin::crowd(o);
    INFO(instances << " instances, seed " << seed << (zone_counts_told ? ", told by zone" : ", told in all"));
    CHECK(r.requests > 1'000);
    CHECK(r.falls_after_told == 0);
    CHECK(r.most_of_bearable > 0.0);  // the cold ones are asked
    CHECK(r.most_of_bearable <= 1.0);
  }
}

TEST_CASE(
    "The largest requests get two thirds of what all get answered in quiet, and half in every trouble") {
  for (std::size_t n = 0; n < standin::kScenes; ++n) {
    const auto scene = static_cast<Scene>(n);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      CrowdOptions o;
      o.scene = scene;
      o.seed = seed;
      o.doormen = 30;
      o.caches = 8;
      o.sizes_vary = true;
      const auto r = standin::crowd(o);
      INFO(standin::word(scene) << ", seed " << seed << ": " << r.largest_answered << " of " << r.answered);
      CHECK(r.answered > 0.5);
      CHECK(r.largest_answered >= (scene == Scene::kQuiet ? 2.0 / 3.0 : 0.5) * r.answered);
    }
  }
}

TEST_CASE("Answers that get lost and caches that stand still cost their own requests, and few others") {
  const Sum lost = play(Scene::kLost, 8.0), pauses = play(Scene::kPauses, 8.0);
  CHECK(lost.good > 0.97);  // one in fifty has to be asked again
  CHECK(lost.refused < 0.005);
  CHECK(pauses.good > 0.99);
  CHECK(pauses.refused < 0.002);
}

TEST_CASE(
    "A slow origin and a purge of half of all objects: the origin is paced, and what that refuses is "
    "bounded") {
  const Sum slow = play(Scene::kOrigin, 8.0), purge = play(Scene::kPurge, 8.0),
            weak = play(Scene::kWeak, 8.0);
  CHECK(slow.good > 0.99);
  CHECK(slow.refused < 0.005);
  // Unpaced, all doormen ask for every void object at once: over 320 fills in the first second.
  CHECK(purge.origin < 260.0);
  // What pacing costs where the origin would bear it all, and what it saves where it does not: unpaced, 0.69
  // in time.
  CHECK(purge.refused < 0.17);
  CHECK(purge.good + purge.refused > 0.99);
  CHECK(weak.good > 0.75);
}
