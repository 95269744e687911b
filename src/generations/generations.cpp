#include "generations/generations.hpp"

#include <algorithm>

namespace anisewick::generations {

void Classes::adopt(const std::vector<std::string>& names, const std::vector<ClassSettings>& terms) {
  ++generation_;
  for (Slot& slot : slots_) {
    const bool named = std::find(names.begin(), names.end(), slot.name) != names.end();
    slot.dropped = named ? 0 : slot.dropped != 0 ? slot.dropped : generation_;
  }
  in_force_.clear();
  for (std::size_t i = 0; i < names.size() && i < terms.size(); ++i) {
    const int at = slot_for(names[i]);
    Slot& slot = slots_[static_cast<std::size_t>(at)];
    slot = {names[i], std::make_shared<const ClassSettings>(terms[i]), 0};
    in_force_.push_back({names[i], at, slot.terms});
  }
}

int Classes::slot_for(const std::string& name) {
  Slot* oldest = nullptr;
  for (Slot& slot : slots_) {
    if (slot.name == name) return static_cast<int>(&slot - slots_.data());
    if (slot.dropped != 0 && (oldest == nullptr || slot.dropped < oldest->dropped)) oldest = &slot;
  }
  if (slots_.size() >= kMost && oldest != nullptr) return static_cast<int>(oldest - slots_.data());
  slots_.emplace_back();
  return static_cast<int>(slots_.size() - 1);
}

const Class* Classes::find(std::string_view name) const {
  const auto it =
      std::find_if(in_force_.begin(), in_force_.end(), [&](const Class& c) { return c.name == name; });
  return it == in_force_.end() ? nullptr : &*it;
}

std::vector<ClassSettings> Classes::by_slot() const {
  std::vector<ClassSettings> all;
  for (const Slot& slot : slots_) all.push_back(*slot.terms);
  return all;
}

}  // namespace anisewick::generations
