#include "fleet/zones/toll.hpp"

#include <algorithm>
#include <cmath>

namespace anisewick::zones {
namespace {
constexpr double kMemoryMs = 2'000.0, kSmooth = 0.05, kLeastWork = 0.001;
constexpr double kLeastBackMs = 300.0, kMostBackMs = 1'000.0;
}  // namespace

bool Toll::passes(int cls, double worth, double work, double borne, double draw, std::int64_t now_ms) {
  if (!classes_.contains(cls) && classes_.size() >= kMostClasses) return true;
  const auto fade = [&](const Class& c) {
    return std::exp(-static_cast<double>(now_ms - c.at_ms) / kMemoryMs);
  };
  Class& own = classes_[cls];
  work = std::max(work, kLeastWork);
  own.rate = own.rate * fade(own) + work / (kMemoryMs / 1000.0);
  own.at_ms = now_ms;
  const double each = worth / work;
  own.worth = own.worth == 0.0 ? each : own.worth + kSmooth * (each - own.worth);
  if (borne >= 1.0) return true;
  // Classes in the order of their worth share what is borne; the last that fits gets a part of its requests.
  double all = 0.0, before = 0.0;
  for (const auto& [id, c] : classes_) {
    const double rate = c.rate * fade(c);
    all += rate;
    if (id != cls && (c.worth > own.worth || (c.worth == own.worth && id < cls))) before += rate;
  }
  const double room = std::max(0.0, borne * all - before);
  const double part = std::min(1.0, room / std::max(own.rate, 1e-9));
  come_back_ms_ = std::lround(std::clamp(kMostBackMs * (1.0 - part), kLeastBackMs, kMostBackMs));
  return draw < part;
}

}  // namespace anisewick::zones
