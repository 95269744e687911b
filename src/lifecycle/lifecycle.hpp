// What a doorman is there for at any moment: starting, serving, in a drain, standing by for its successor,
// ending. No I/O, no clock: times are nanoseconds on one clock of the caller's, which never goes back. One
// owner, one thread.
#ifndef ANISEWICK_LIFECYCLE_HPP_
#define ANISEWICK_LIFECYCLE_HPP_

#include <cstdint>
#include <limits>
#include <optional>

namespace anisewick::lifecycle {

using Time = std::int64_t;  // nanoseconds
constexpr Time kMs = 1'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();

// The front goes on opening connections for 0.2 s after it has heard no, and asks every 0.1 s: a connection
// closed earlier than this would only come back.
constexpr Time kFrontHears = 400 * kMs;
// From here on requests on connections that never fall idle are refused, so that they do: 4 s after the call
// none may be held with a request of the last 2 s.
constexpr Time kRefuseAfter = 1'800 * kMs;
// After SIGTERM clients keep coming for a while; only then is the end of all that is open the end of the
// work.
constexpr Time kServeOn = 1'000 * kMs;
// SIGKILL comes so long after SIGTERM: 0.7 s beyond the longest deadline, which counts as 3 s if it is
// longer. What is still open shortly before is given up with an answer; what comes in the last while is
// refused, for its answer would hardly come in time.
constexpr Time kMostDeadline = 3'000 * kMs;
constexpr Time kKillAfter = 700 * kMs, kKillMargin = 100 * kMs, kLastWhile = 200 * kMs;
// How long one that takes over waits for news of the event bus that it cannot reach.
constexpr Time kLeftPatience = 400 * kMs;  // and for what the one before has learned
constexpr Time kBusPatience = 1'500 * kMs;

// After that long what the one before has left to do no longer counts against the whole.
constexpr Time kSettled = 2'000 * kMs;

// How long a member of a fleet waits to hear what the fleet has settled. Requests do not wait for it.
constexpr Time kFleetPatience = 2'000 * kMs;

enum class Phase { kStarting, kServing, kDuck, kStandby, kEnding };

struct Duty {
  bool ready = false;       // what the front and the operators are told
  bool accept = false;      // take new connections
  bool close_idle = false;  // end connections on which nothing is open
  bool refuse = false;      // refuse what comes on connections that stay
  bool may_end = false;     // the process ends once nothing is open
  bool must_end = false;    // it ends now
  bool half = false;        // of what a doorman may use: the other half is another process's
  Time changes = kNever;    // when this changes by itself
  bool operator==(const Duty&) const = default;
};

class Life {
 public:
  // `shared`: the listening socket is held by others, so that a second process may serve on it.
  explicit Life(Time now, bool shared) : started_(now), shared_(shared) {}

  void listed() { listed_ = true; }            // there is a list of depots
  void caught_up() { caught_up_ = true; }      // the event bus has told what it had
  void handed_over() { handed_over_ = true; }  // what a process before this one left is in
  void in_fleet() { fleet_heard_ = false; }    // a yes waits for the fleet's word, but not for ever
  void fleet_heard() { fleet_heard_ = true; }
  void predecessor(bool there) { predecessor_ = there; }
  // Another process of this doorman says ready, and was started later.
  void successor(bool ready) { successor_ = ready; }
  // Once, when it is known to the others that this one takes work.
  void announced(Time now) { announced_at_ = now; }
  void longest_deadline(Time t) { longest_ = t; }
  // True: that changed something.
  bool duck(Time now, bool on);
  bool duck_now() const { return duck_at_.has_value(); }
  void term(Time now) {
    if (!term_at_) term_at_ = now;
  }

  Phase phase(Time now) const;
  Duty duty(Time now) const;

 private:
  bool awake(Time now) const;

  const Time started_;
  const bool shared_;
  bool listed_ = false, caught_up_ = false, handed_over_ = false, predecessor_ = false, successor_ = false;
  bool fleet_heard_ = true;
  std::optional<Time> duck_at_, term_at_, announced_at_;
  Time longest_ = kMostDeadline;
};

}  // namespace anisewick::lifecycle

#endif  // ANISEWICK_LIFECYCLE_HPP_
