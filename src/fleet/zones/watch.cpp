#include "fleet/zones/watch.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anisewick::zones {
namespace {
double fading(std::int64_t ms) { return std::exp2(-static_cast<double>(ms) / 1000.0); }
constexpr double kLeast = 0.1;  // attempts of late that are worth telling
}  // namespace

std::optional<evidence::Tally> Watch::add(const evidence::Tally& tally, std::int64_t seen_ms) {
  const evidence::Tally was = std::exchange(last_, tally);
  if (!std::exchange(known_, true)) return std::nullopt;
  evidence::Tally t;
  bool fell = tally.fills < was.fills;
  for (std::size_t k = 0; k < evidence::kKinds; ++k) {
    fell = fell || tally.n[k] < was.n[k];
    t.n[k] = tally.n[k] - was.n[k];
  }
  if (fell) return std::nullopt;
  t.fills = tally.fills - was.fills;
  alarm_.add(t.well(), t.bad());
  // What was seen longer ago weighs less, however late it is heard.
  const double faded = fading(std::max<std::int64_t>(0, seen_ms - recent_ms_));
  for (std::size_t k = 0; k < evidence::kKinds; ++k)
    recent_[k] = recent_[k] * faded + static_cast<double>(t.n[k]);
  recent_ms_ = std::max(recent_ms_, seen_ms);
  return t;
}

double Watch::lately(std::int64_t now_ms) const {
  double sum = 0;
  for (const double n : recent_) sum += n;
  return sum * fading(now_ms - recent_ms_);
}

double Watch::lately_failed(std::int64_t now_ms) const {
  double sum = 0;
  for (std::size_t k = 0; k < evidence::kKinds; ++k)
    sum += evidence::failed(static_cast<evidence::Kind>(k)) ? recent_[k] : 0.0;
  return sum * fading(now_ms - recent_ms_);
}

std::optional<Felt> Watch::felt(std::int64_t now_ms) const {
  if (!known_ || (alarm_.sum() <= 0.0 && lately(now_ms) < kLeast)) return std::nullopt;
  Felt f{alarm_.down_sum(), alarm_.grey_sum(), recent_};
  for (double& n : f.recent) n *= fading(std::max<std::int64_t>(0, now_ms - recent_ms_));
  return f;
}

void Watch::resume(const Felt& felt, std::int64_t seen_ms) {
  alarm_.resume(felt.down, felt.grey);
  recent_ = felt.recent;
  recent_ms_ = seen_ms;
}

}  // namespace anisewick::zones
