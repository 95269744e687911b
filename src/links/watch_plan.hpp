// When watches on discovery are opened and left. Several are open at a time: nothing tells a slow watch from
// a dead one but waiting, so one that falls silent is kept while another is tried, and the first that tells
// something is the one that stays. No I/O and no clock; times are given with each call and never go back.
#ifndef ANISEWICK_LINKS_WATCH_PLAN_HPP_
#define ANISEWICK_LINKS_WATCH_PLAN_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace anisewick::links {

class WatchPlan {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;
  using Id = std::uint64_t;

  static constexpr std::size_t kMostWatches = 3;

  // What is due: first what to close, then whether to open one.
  struct Due {
    std::vector<Id> close;
    bool open = false;
    bool fell_silent = false;  // the watch that told something last; once for each silence
  };

  // A connection is begun.
  Id opened(Time now);
  // It is up, and has been asked.
  void up(Id id, Time now);
  // Bytes have come; `midway`: and more belong to them.
  void heard(Id id, bool midway, Time now);
  // A whole frame has come. Returns the other watches, which are of no more use.
  std::vector<Id> told(Id id, Time now);
  // Its connection has failed or is closed.
  void ended(Id id, Time now);

  bool is_current(Id id) const { return current_ == id; }
  Due due(Time now);
  // When `due` has to be asked again, at the latest.
  Time next_look() const;

 private:
  struct Watch {
    Id id = 0;
    bool up = false;
    Time heard{};                     // the last bytes; before, when it came up or was begun
    std::optional<Time> frame_began;  // of the one that has come in part
  };
  Watch* find(Id id);
  // Until when the newest may say nothing before another is tried.
  Time patience_ends(const Watch& newest) const;
  void forget(Id id);

  std::vector<Watch> watches_;  // in the order in which they were begun
  Id last_id_ = 0;
  Id current_ = 0;  // told something last; 0: none that is open has
  bool silence_told_ = false;
  bool again_ = true;  // the newest is gone, and none has told anything since
  Time again_at_{};
  std::chrono::milliseconds silence_ = kFirstSilence;
  std::chrono::milliseconds slowness_ = kFirstSlowness;

  static constexpr std::chrono::milliseconds kFirstSilence{1600};  // something comes every second
  static constexpr std::chrono::milliseconds kMostSilence{6400};
  static constexpr std::chrono::milliseconds kFirstSlowness{12'000};
  static constexpr std::chrono::milliseconds kMostSlowness{96'000};
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_WATCH_PLAN_HPP_
