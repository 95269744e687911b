// How much of the origin is asked for while it is weak or many copies have become void. A front of many sees
// few of its answers: so what it usually gave is the measure, a purge of a group a sign before any answer is
// late, and what it is asked for grows again with time as well as with answers. No I/O, no clock; times are
// nanoseconds on the caller's clock and never go back.
#ifndef ANISEWICK_DECISIONS_ORIGIN_THROTTLE_HPP_
#define ANISEWICK_DECISIONS_ORIGIN_THROTTLE_HPP_

#include "anisewick/control.hpp"
#include "anisewick/learned.hpp"

namespace anisewick {

constexpr double kWeakShare = 0.3;  // of answers that come late, from which on their source counts as weak

struct OriginThrottle : Pace {
  // An answer to what was sent then has come; `gave`: in time. `first`, in all of these: of the tokens that
  // pacing begins with, a share drawn by the caller.
  void ended(Time now, Time sent, bool gave, double first);
  // A group has been purged a moment ago: many copies will be asked for at once.
  void purged(Time now, double first);
  bool paced(Time now);
  // Whether it may be asked for one more.
  bool take(Time now);

 private:
  void advance(Time now);
  void pace(Time now, double to, double first);
};

}  // namespace anisewick

#endif  // ANISEWICK_DECISIONS_ORIGIN_THROTTLE_HPP_
