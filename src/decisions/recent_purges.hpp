// The purges that may still bind: for so long after one, copies older than it may be left somewhere. No I/O,
// no clock; times are nanoseconds on the caller's clock.
// Source: the platform's wire page, rule 5.
#ifndef ANISEWICK_DECISIONS_RECENT_PURGES_HPP_
#define ANISEWICK_DECISIONS_RECENT_PURGES_HPP_

#include <cstdint>
#include <map>

#include "anisewick/control.hpp"

namespace anisewick {

class RecentPurges {
 public:
  void add(const Purge& purge, Time at);
  // What was purged before that binds nobody any more.
  void forget(Time before);
  // When this object or its group was last purged; 0: not lately.
  Time last(std::uint64_t object, int group) const;

 private:
  std::map<std::uint64_t, Time> objects_;
  std::map<int, Time> groups_;
};

}  // namespace anisewick

#endif  // ANISEWICK_DECISIONS_RECENT_PURGES_HPP_
