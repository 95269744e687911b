#include "fleet/evidence/ills.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anisewick::evidence {

void Ills::ended(depot::Id depot, End end, std::int64_t now_ms) {
  if (end == End::kBroke) return;
  if (end != End::kUnreached && end != End::kReset && end != End::kLate) {
    rows_.erase(depot);
    return;
  }
  if (!rows_.contains(depot) && rows_.size() >= kMost) {
    std::erase_if(rows_, [&](const auto& kv) { return now_ms - kv.second.last_ms > kLastsMs; });
    if (rows_.size() >= kMost) return;
  }
  Row& row = rows_[depot];
  // What failed long before is another trouble.
  if (row.failed > 0 && now_ms - row.last_ms > kLastsMs) row = {};
  if (row.failed++ == 0) row.since_ms = now_ms;
  row.last_ms = now_ms;
}

std::vector<Ills::Ill> Ills::now(std::int64_t now_ms) const {
  std::vector<std::pair<std::int64_t, Ill>> ill;
  for (const auto& [depot, row] : rows_) {
    if (now_ms - row.last_ms <= kLastsMs) ill.push_back({row.since_ms, {depot, row.failed}});
  }
  std::sort(ill.begin(), ill.end(), [](const auto& a, const auto& b) {
    return std::tuple(-static_cast<std::int64_t>(a.second.in_a_row), a.first, a.second.depot) <
           std::tuple(-static_cast<std::int64_t>(b.second.in_a_row), b.first, b.second.depot);
  });
  if (ill.size() > kMostTold) ill.resize(kMostTold);
  std::vector<Ill> out;
  for (const auto& [since, one] : ill) out.push_back(one);
  return out;
}

}  // namespace anisewick::evidence
