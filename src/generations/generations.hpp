// The classes of requests by generation: each request keeps the terms that it began with. No I/O, no clock.
// One owner, one thread.
#ifndef ANISEWICK_GENERATIONS_GENERATIONS_HPP_
#define ANISEWICK_GENERATIONS_GENERATIONS_HPP_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "anisewick/control.hpp"

namespace anisewick::generations {

// The terms of a class in one generation: its effect, times, worth and attempts. Shared by the requests of
// that generation and never changed.
using Terms = std::shared_ptr<const ClassSettings>;

struct Class {
  std::string name;
  int slot = 0;  // where the decision module counts for this name: the same in every generation
  Terms terms;
};

class Classes {
 public:
  // As many names as have slots of their own. Beyond them a new name takes the slot of one that was dropped,
  // the longest ago first.
  static constexpr std::size_t kMost = 256;

  // From here on. `names` are distinct and at most kMost; `terms` go with them, place by place.
  void adopt(const std::vector<std::string>& names, const std::vector<ClassSettings>& terms);
  // Of the generation in force; none: nobody may name it. Good until the next `adopt`.
  const Class* find(std::string_view name) const;
  // The last terms of every slot, those of dropped classes too, as the module is to be told.
  std::vector<ClassSettings> by_slot() const;
  unsigned generation() const { return generation_; }

 private:
  struct Slot {
    std::string name;
    Terms terms;
    unsigned dropped = 0;  // in which generation; 0: it is in force
  };
  int slot_for(const std::string& name);

  unsigned generation_ = 0;
  std::vector<Slot> slots_;
  std::vector<Class> in_force_;
};

}  // namespace anisewick::generations

#endif  // ANISEWICK_GENERATIONS_GENERATIONS_HPP_
