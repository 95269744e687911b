#include "fleet/membership/asking.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace anisewick::membership {
namespace {

constexpr std::uint32_t kHour = 3600;

}  // namespace

Asking::Next Asking::next(const std::map<std::string, Swim::Member>& members, std::int64_t now_ms) {
  const bool over =
      taken_ >= limits_.want || tries_ >= limits_.tries || now_ms - started_ms_ >= limits_.give_up_ms;
  if (over) return {Next::What::kOver, {}, 0};
  if (!asked_.empty()) return {Next::What::kWait, {}, started_ms_ + limits_.give_up_ms};
  const Swim::Member* best = nullptr;
  std::pair<int, std::uint64_t> best_rank{};
  std::optional<std::int64_t> soonest;  // of those who can be asked again later
  for (const auto& [name, m] : members) {
    if (m.state != State::kAlive) continue;
    // It has gone on since it said so.
    const auto up = static_cast<std::uint32_t>(
        std::min<std::int64_t>(kHour, m.peer.up_s + std::max<std::int64_t>(0, now_ms - m.heard_ms) / 1000));
    if (up < limits_.least_up_s) continue;
    if (const auto t = tried_.find(name); t != tried_.end() && t->second.incarnation == m.peer.incarnation) {
      if (t->second.over) continue;
      if (t->second.again_ms > now_ms) {
        soonest = std::min(soonest.value_or(t->second.again_ms), t->second.again_ms);
        continue;
      }
    }
    const auto lot = lots_.try_emplace(name, random_()).first->second;
    const std::pair<int, std::uint64_t> rank{static_cast<int>(std::bit_width(up)), lot};
    if (best == nullptr || rank > best_rank) {
      best = &m;
      best_rank = rank;
    }
  }
  if (best != nullptr) {
    asked_ = best->peer.name;
    Tried& t = tried_[asked_];
    if (t.incarnation != best->peer.incarnation) t = Tried{best->peer.incarnation, 0, 0, false};
    ++tries_;
    return {Next::What::kAsk, best->peer, 0};
  }
  if (soonest) return {Next::What::kWait, {}, *soonest};
  // Nobody who could be asked: somebody may yet be found, or be up for long enough; but not for ever.
  const std::int64_t until = started_ms_ + limits_.alone_ms;
  if (now_ms >= until) return {Next::What::kOver, {}, 0};
  return {Next::What::kWait, {}, until};
}

void Asking::ended(End end, std::int64_t now_ms) {
  const auto it = tried_.find(std::exchange(asked_, {}));
  if (it == tried_.end()) return;
  Tried& t = it->second;
  if (end == End::kTaken) ++taken_;
  if (end == End::kBusy) --tries_;
  t.over = end == End::kTaken || end == End::kUnfit;
  const std::int64_t step = std::min(limits_.most_pause_ms, limits_.pause_ms << std::min(t.failures, 16));
  ++t.failures;
  t.again_ms =
      now_ms + step / 2 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(step / 2 + 1));
}

}  // namespace anisewick::membership
