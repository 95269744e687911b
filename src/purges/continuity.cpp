#include "purges/continuity.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace anisewick::purges {
namespace {

using Kind = bus::Event::Kind;

// A list can be the same in every life of the bus, unless it names a start that happened in one of them. The
// first event is the whole list as it stands, and proves nothing.
bool tells_time(const bus::Event& event) {
  if (event.kind == Kind::kObjectPurge || event.kind == Kind::kGroupPurge) return event.purged_ms > 0;
  return event.kind == Kind::kChanges && event.number > 1 &&
         std::any_of(event.depots.begin(), event.depots.end(),
                     [](const bus::Depot& d) { return d.started_ms > 0; });
}

}  // namespace

std::uint64_t digest_of(const bus::Event& event) {
  const std::string frame = bus::frame_bytes(event);
  return XXH3_64bits(frame.data(), frame.size());
}

Continuity::Continuity(Witness witness, bool any, std::int64_t away_ms)
    : witness_(witness), any_(any), away_ms_(away_ms) {}

void Continuity::begun() {
  proven_ = seen_ = hole_ = false;
  candidate_ = {};
  next_ = 0;
}

std::uint64_t Continuity::ask_from(bool whole) const {
  return whole || witness_.number == 0 ? 0 : witness_.number - 1;
}

Continuity::Verdict Continuity::heard(const bus::Event& event) {
  if (event.kind == Kind::kNothing) {
    // All has been told. Where there was nothing stored there is nothing to vouch for.
    Verdict verdict{false, !proven_ && any_ && !(seen_ && !hole_), true};
    if (!proven_ && !seen_) witness_ = candidate_;  // from here on this numbering counts
    proven_ = ever_ = any_ = true;
    lost_.reset();
    return verdict;
  }
  if (next_ != 0 && event.number < next_) return {false, false, proven_};  // told twice
  const bool hole = next_ != 0 && event.number > next_;
  next_ = event.number + 1;
  if (!proven_) hole_ = hole_ || hole;
  const Witness here{event.number, digest_of(event)};
  // The number alone may be reached by another numbering: only the same event at the same place will do.
  if (!proven_ && witness_.number != 0 && here == witness_) seen_ = true;
  if (tells_time(event)) (proven_ || seen_ ? witness_ : candidate_) = here;
  return {true, proven_ && hole, proven_};
}

void Continuity::lost(std::int64_t now_ms) {
  if (!proven_) return;
  lost_ = now_ms;
  proven_ = false;
  // Its numbering stays the known one, unless another connection begins.
  seen_ = true;
  hole_ = false;
}

Continuity::State Continuity::state(std::int64_t now_ms) const {
  const bool lately = ever_ && lost_ && now_ms - *lost_ <= away_ms_;
  return proven_ || lately ? State::kProven : State::kUnproven;
}

}  // namespace anisewick::purges
