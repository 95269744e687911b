#include "fleet/zones/grants.hpp"

#include <algorithm>

namespace anisewick::zones {

void Grants::told(std::uint64_t serial, double part, std::int64_t until_ms) {
  if (!all_.empty() && all_.back().serial == serial) {
    // Told again: whichever arrives, in whatever order, it keeps the smallest that it heard; the largest
    // counts.
    all_.back().part = std::max(all_.back().part, part);
    all_.back().until_ms = std::max(all_.back().until_ms, until_ms);
    return;
  }
  all_.push_back({serial, part, until_ms});
  if (all_.size() <= kMost) return;
  // The two oldest become one that allows what either did.
  const Grant first = all_.front();
  all_.pop_front();
  all_.front().part = std::max(all_.front().part, first.part);
  all_.front().until_ms = std::max(all_.front().until_ms, first.until_ms);
}

void Grants::holds(std::uint64_t serial, double part) {
  if (serial == 0) return;
  while (!all_.empty() && all_.front().serial < serial) all_.pop_front();
  if (!all_.empty() && all_.front().serial == serial) all_.front().part = std::min(all_.front().part, part);
}

void Grants::followed() {
  for (const Grant& g : all_) {
    before_.part = std::max(before_.part, g.part);
    before_.until_ms = std::max(before_.until_ms, g.until_ms);
  }
  all_.clear();
}

double Grants::most(std::int64_t now_ms) const {
  double most = before_.until_ms > now_ms ? before_.part : 0.0;
  for (const Grant& g : all_) {
    if (g.until_ms > now_ms) most = std::max(most, g.part);
  }
  return most;
}

}  // namespace anisewick::zones
