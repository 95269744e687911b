#include "purges/ledger.hpp"

#include <algorithm>

namespace anisewick::purges {

void Ledger::add(const Entry& entry) {
  switch (entry.kind) {
    case Entry::Kind::kObject: {
      if (objects_.size() >= most_objects_ && !objects_.contains(entry.what)) make_room();
      Purge& purge = objects_[entry.what];
      purge.at_ms = std::max(purge.at_ms, entry.at_ms);
      purge.sequence = std::max(purge.sequence, entry.sequence);
      break;
    }
    case Entry::Kind::kGroup: {
      if (entry.what >=
          groups_.size()) {  // no group that an object can be of; what has none told falls to it
        any_group_ms_ = std::max(any_group_ms_, entry.at_ms);
        break;
      }
      std::int64_t& group = groups_[static_cast<std::size_t>(entry.what)];
      group = std::max(group, entry.at_ms);
      any_group_ms_ = std::max(any_group_ms_, entry.at_ms);
      break;
    }
    case Entry::Kind::kFloor:
      floor_ms_ = std::max(floor_ms_, entry.at_ms);
      break;
    case Entry::Kind::kGap:
      gap_ms_ = std::max(gap_ms_, entry.at_ms);
      gap_sequence_ = std::max(gap_sequence_, entry.what);
      break;
    case Entry::Kind::kHeard:
      break;
  }
}

bool Ledger::covers(const Entry& purge) const {
  if (purge.at_ms <= floor_ms_) return true;
  if (purge.kind == Entry::Kind::kGroup) {
    return purge.what < groups_.size() ? groups_[static_cast<std::size_t>(purge.what)] >= purge.at_ms
                                       : any_group_ms_ >= purge.at_ms;
  }
  const auto it = objects_.find(purge.what);
  return purge.kind == Entry::Kind::kObject && it != objects_.end() && it->second.at_ms >= purge.at_ms;
}

std::int64_t Ledger::least_birth(std::uint64_t object, int group) const {
  std::int64_t least = floor_ms_;
  const bool known = group >= 0 && group < static_cast<int>(groups_.size());
  least = std::max(least, known ? groups_[static_cast<std::size_t>(group)] : any_group_ms_);
  if (const auto it = objects_.find(object); it != objects_.end()) least = std::max(least, it->second.at_ms);
  return least;
}

bool Ledger::voids(const copies::About& about) const {
  // Within the millisecond of the purge nothing tells which came first.
  const std::int64_t least = least_birth(about.key.object, about.group);
  return least > 0 && about.born_ms <= least;
}

void Ledger::forget(std::uint64_t oldest_sequence, std::int64_t before_ms) {
  absl::erase_if(objects_, [&](const auto& kv) {
    return kv.second.sequence < oldest_sequence && kv.second.at_ms < before_ms;
  });
}

void Ledger::make_room() {
  std::vector<std::int64_t> times;
  times.reserve(objects_.size());
  for (const auto& [object, purge] : objects_) times.push_back(purge.at_ms);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const std::int64_t until = *middle;
  floor_ms_ = std::max(floor_ms_, until);
  absl::erase_if(objects_, [&](const auto& kv) { return kv.second.at_ms <= until; });
}

std::vector<Entry> Ledger::entries() const {
  std::vector<Entry> out;
  const auto put = [&](Entry::Kind kind, std::uint64_t what, std::int64_t at, std::uint64_t sequence) {
    out.push_back({kind, what, at, 0, 0, sequence});
  };
  if (floor_ms_ > 0) put(Entry::Kind::kFloor, 0, floor_ms_, 0);
  if (gap_sequence_ > 0) put(Entry::Kind::kGap, gap_sequence_, gap_ms_, 0);
  for (std::size_t g = 0; g < groups_.size(); ++g) {
    if (groups_[g] > 0) put(Entry::Kind::kGroup, g, groups_[g], 0);
  }
  if (any_group_ms_ > *std::max_element(groups_.begin(), groups_.end())) {
    put(Entry::Kind::kGroup, groups_.size(), any_group_ms_, 0);
  }
  for (const auto& [object, purge] : objects_) {
    put(Entry::Kind::kObject, object, purge.at_ms, purge.sequence);
  }
  return out;
}

}  // namespace anisewick::purges
