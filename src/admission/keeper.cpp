#include "admission/keeper.hpp"

#include <algorithm>

namespace anisewick::admission {

Ranked::Ranked(const Limits& limits)
    : limits_(limits), sketch_(limits.keys), budget_(static_cast<double>(limits.write_burst_bytes)) {
  ghosts_.reserve(limits_.ghosts + 1);
}

void Ranked::asked(const copies::Key& key, std::int64_t) { sketch_.add(copies::mix(key)); }

void Ranked::refill(std::int64_t now_ms) {
  if (filled_ms_ >= 0 && now_ms > filled_ms_) {
    budget_ +=
        static_cast<double>(limits_.write_bytes_per_s) * static_cast<double>(now_ms - filled_ms_) / 1e3;
    budget_ = std::min(budget_, static_cast<double>(limits_.write_burst_bytes));
  }
  filled_ms_ = now_ms;
}

bool Ranked::pay(std::uint32_t bytes, bool first, std::int64_t now_ms) {
  if (limits_.write_bytes_per_s == 0) return true;
  refill(now_ms);
  // What the doorman admitted may spend all; the rest leaves it half.
  const double floor = first ? 0.0 : static_cast<double>(limits_.write_burst_bytes) / 2;
  if (budget_ - bytes < floor) {
    ++over_budget_;
    return false;
  }
  budget_ -= bytes;
  return true;
}

bool Ranked::haunts(std::uint64_t hash) { return ghosts_.erase(hash) > 0; }

void Ranked::pass_over(std::uint64_t hash) {
  ++passed_over_;
  ghosts_[hash] = ++turn_;
  line_.emplace_back(hash, turn_);
  // One line entry stands for each time; only the last one of a ghost lets it go.
  while (line_.size() > limits_.ghosts) {
    const auto it = ghosts_.find(line_.front().first);
    if (it != ghosts_.end() && it->second == line_.front().second) ghosts_.erase(it);
    line_.pop_front();
  }
}

bool Ranked::admit(const Offer& offer, std::int64_t now_ms) {
  if (offer.rank <= 0) return false;
  const std::uint64_t hash = copies::mix(offer.key);
  const bool first = offer.rank >= 2;
  // The doorman's count is over all boxes of the centre and admits what is worth keeping; what it only let be
  // kept must have been asked for here before: one-hit objects never are.
  const int needed = (first ? 1 : 2) + (offer.bytes >= limits_.large_bytes && !first ? 1 : 0);
  const bool often = sketch_.count(hash) >= needed || (!first && needed == 2 && haunts(hash));
  if (often && pay(offer.bytes, first, now_ms)) {
    ghosts_.erase(hash);
    return true;
  }
  pass_over(hash);
  return false;
}

std::size_t Ranked::victim(std::span<const Segment> segments) {
  // The oldest goes if all of it that is asked for can be written again. Else, of the oldest quarter, the one
  // with the least of that: but the oldest is not spared for ever, since what was asked for once may not be
  // again.
  const auto worth = [](const Segment& s) {
    return static_cast<double>(s.hot_bytes) / static_cast<double>(std::max<std::uint64_t>(1, s.bytes));
  };
  const std::size_t old = std::max<std::size_t>(1, segments.size() / 4);
  std::size_t best = 0;
  if (worth(segments[0]) > limits_.again_share && spared_ < old) {
    for (std::size_t i = 1; i < old; ++i) {
      if (worth(segments[i]) < worth(segments[best])) best = i;
    }
  }
  spared_ = best == 0 ? 0 : spared_ + 1;
  return best;
}

bool Ranked::again(const Held& held, const Segment& segment, std::uint64_t kept, std::int64_t now_ms) {
  const bool hot = held.asked >= 2 || (held.asked == 1 && held.rank >= 2);
  if (!hot) return false;
  const double room = limits_.again_share * static_cast<double>(segment.bytes);
  if (static_cast<double>(kept + held.bytes) > room) return false;
  return pay(held.bytes, held.rank >= 2, now_ms);
}

std::size_t Ranked::bytes() const {
  return sketch_.bytes() + limits_.ghosts * (sizeof(line_.front()) + 2 * (2 * sizeof(std::uint64_t) + 1));
}

}  // namespace anisewick::admission
