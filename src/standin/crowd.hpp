// A hundred doormen who share nothing, each with the module's own decisions, before one location's caches,
// two parents and an origin, in simulated time. Depots are a plain model: what they hold, what a fill takes,
// how much a cold one bears, answers that get lost, pauses. The same seed gives the same run. Each scene
// shows one cause of what the users' days lose, without the bench.
#ifndef ANISEWICK_STANDIN_CROWD_HPP_
#define ANISEWICK_STANDIN_CROWD_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::standin {

enum class Scene {
  kQuiet,
  kTold,    // caches are replaced, and the list says so at once
  kUntold,  // and the list says so two seconds later
  kLost,    // one answer in fifty never comes, at depots that are well
  kPauses,  // one cache in eight stands still for 400 ms each 3 s
  kOrigin,  // the origin takes ten times as long for six seconds
  kPurge,   // half of all objects are void at once, and the origin bears what is asked of it
  kWeak     // the same, and it bears a hundred and fifty answers a second; asked for more, it gives fewer
};
constexpr std::size_t kScenes = 8;
const char* word(Scene scene);

struct CrowdOptions {
  Scene scene = Scene::kQuiet;
  std::uint64_t seed = 1;
  std::size_t doormen = 100, caches = 24;
  double rate = 8.0;  // requests a second of one doorman
  std::size_t objects = 3'000;
  std::size_t replaced = 2;      // caches, of kTold and kUntold
  bool sizes_vary = false;       // from 20 to 1,200 KB by object, and sending takes its time; else 40 KB
  bool zone_counts_told = true;  // false: the settings give the number of all instances only
};
struct CrowdResult {
  std::uint64_t requests = 0, unanswered = 0;
  std::uint64_t early_twice = 0;  // a second attempt while the first was out
  int most_attempts = 0;          // of one request
  // From the fault on, for ten seconds.
  double good = 0.0, refused = 0.0;  // shares of the requests: answered within 300 ms, turned away
  // Shares of the requests, and of those for the tenth of the objects that is the largest, that were answered
  // in time or late.
  double answered = 0.0, largest_answered = 0.0;
  std::vector<std::pair<std::string, double>> why;  // of what was turned away, shares of the requests
  // Falls of replaced caches: those that got more than they bear, before the list told of them and after; and
  // the most that one got in a window after that, of what it bears then.
  std::uint64_t falls_before_told = 0, falls_after_told = 0;
  double most_of_bearable = 0.0;
  double origin_most = 0.0;  // fills of the origin in its worst second
};
CrowdResult crowd(const CrowdOptions& options);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_CROWD_HPP_
