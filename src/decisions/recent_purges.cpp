#include "decisions/recent_purges.hpp"

#include <algorithm>

namespace anisewick {

void RecentPurges::add(const Purge& purge, Time at) {
  Time& known = purge.whole_group ? groups_[purge.group] : objects_[purge.object];
  known = std::max(known, at);
}

void RecentPurges::forget(Time before) {
  const auto old = [&](const auto& purged) { return purged.second < before; };
  std::erase_if(objects_, old);
  std::erase_if(groups_, old);
}

Time RecentPurges::last(std::uint64_t object, int group) const {
  const auto of_object = objects_.find(object);
  const auto of_group = groups_.find(group);
  return std::max(of_object == objects_.end() ? Time{0} : of_object->second,
                  of_group == groups_.end() ? Time{0} : of_group->second);
}

}  // namespace anisewick
