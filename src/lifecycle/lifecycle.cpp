#include "lifecycle/lifecycle.hpp"

#include <algorithm>

namespace anisewick::lifecycle {

bool Life::duck(Time now, bool on) {
  if (on == duck_at_.has_value()) return false;
  duck_at_ = on ? std::optional<Time>(now) : std::nullopt;
  return true;
}

// All is in that a request's decisions need. One that takes over from another also waits for the bus, which
// tells what came since the configuration was written; but not for ever for a bus that is away.
bool Life::awake(Time now) const {
  if (!listed_ || (!handed_over_ && now - started_ < kLeftPatience)) return false;
  if (!fleet_heard_ && now - started_ < kFleetPatience) return false;
  return !predecessor_ || caught_up_ || now - started_ >= kBusPatience;
}

Phase Life::phase(Time now) const {
  if (term_at_) return Phase::kEnding;
  if (!awake(now)) return Phase::kStarting;
  if (duck_at_) return Phase::kDuck;
  return successor_ ? Phase::kStandby : Phase::kServing;
}

Duty Life::duty(Time now) const {
  Duty duty;
  // Whatever changes by itself: the first moment that is still ahead.
  const auto from = [&](Time at) {
    if (now >= at) return true;
    duty.changes = std::min(duty.changes, at);
    return false;
  };
  duty.half = successor_ || (predecessor_ && (!announced_at_ || !from(*announced_at_ + kSettled)));
  // Connections end as they fall idle. To refuse what finds little open on one, so that it does, was tried:
  // those refused came again on the same connection, and twice as many were.
  const auto empty = [&](Time at, Time all_at) {
    duty.close_idle = from(at);
    duty.refuse = from(all_at);
  };
  switch (phase(now)) {
    case Phase::kStarting:
      // On a socket of one's own those who come early find out by asking; a shared one is left to the others.
      duty.accept = !shared_;
      if (listed_) from(started_ + (handed_over_ ? kBusPatience : kLeftPatience));
      if (!fleet_heard_) from(started_ + kFleetPatience);
      if (listed_ && now - started_ >= kLeftPatience) from(started_ + kBusPatience);
      break;
    case Phase::kServing:
      duty.ready = duty.accept = true;
      break;
    case Phase::kStandby:
      duty.ready = true;
      duty.close_idle = true;
      break;
    case Phase::kDuck:
      duty.accept = !successor_;
      empty(*duck_at_ + kFrontHears, *duck_at_ + kRefuseAfter);
      break;
    case Phase::kEnding: {
      const Time end = *term_at_ + std::min(longest_, kMostDeadline) + kKillAfter - kKillMargin;
      duty.must_end = from(end);
      if (successor_) {
        duty.may_end = true;
        empty(*term_at_, end - kLastWhile);
      } else {
        // Who asks now is told no: a front that has not taken us in yet must not do so any more. All who come
        // are served to the end, also a request that crossed our closing of its connection and comes again.
        duty.accept = true;
        duty.may_end = from(*term_at_ + kServeOn);
        // One that was told to empty goes on emptying.
        if (duck_at_) empty(*duck_at_ + kFrontHears, *duck_at_ + kRefuseAfter);
        duty.close_idle = duty.close_idle || duty.may_end;
      }
      duty.refuse = duty.refuse || duty.must_end;
      break;
    }
  }
  return duty;
}

}  // namespace anisewick::lifecycle
