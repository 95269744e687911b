// Which copies are void: the purges heard of, and the gaps in hearing. No I/O, no clock.
// One thread. Times are Unix milliseconds.
//
// A copy is void if a purge of its object or group, or the floor, is not earlier than its birth. A copy whose
// group nobody told falls to every group's purge. A copy that was stored before a gap in hearing, and born
// before that gap's end, is doubtful: a purge of it may have gone unheard, so it is served only after its
// source said that it still holds.
#ifndef ANISEWICK_PURGES_LEDGER_HPP_
#define ANISEWICK_PURGES_LEDGER_HPP_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "copies/copy.hpp"

namespace anisewick::purges {

// One line of the ledger, as it is kept on disk.
struct Entry {
  enum class Kind : std::uint8_t {
    kObject = 1,  // `what` is the object, `at_ms` the time of the purge
    kGroup = 2,   // `what` is the group
    kFloor = 3,   // everything born before `at_ms` is void
    kGap = 4,     // what is in a store before `what` (a sequence) and born before `at_ms` is doubtful
    kHeard = 5    // nothing but the number
  };
  Kind kind = Kind::kHeard;
  std::uint64_t what = 0;
  std::int64_t at_ms = 0;
  // On the event bus; 0 for what did not come from there. The digest is over the event as it came.
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::uint64_t sequence = 0;  // the store's at that time: records at or after it were written later
  friend bool operator==(const Entry&, const Entry&) = default;
};

class Ledger {
 public:
  // `most_objects` bounds the memory: about 40 bytes each. Beyond it the older half of the objects' purges
  // becomes one floor under all births, which loses copies but never serves a void one.
  explicit Ledger(std::size_t most_objects = 65536) : most_objects_(most_objects) {}

  void add(const Entry& entry);

  // True: adding the purge again would change nothing.
  bool covers(const Entry& purge) const;
  bool voids(const copies::About& about) const;
  // A copy of this object must be born after it: a source is asked for none older. 0: any will do.
  std::int64_t least_birth(std::uint64_t object, int group) const;
  // `sequence`: where the copy stands in its store; see Entry::kGap.
  bool doubtful(const copies::About& about, std::uint64_t sequence) const {
    return sequence < gap_sequence_ && about.born_ms < gap_ms_;
  }
  std::int64_t gap_ms() const { return gap_ms_; }

  // Forgets purges of objects that nothing stored can fall to any more: older than `before_ms`, and entered
  // when the store stood before `oldest_sequence`, the first that it still holds.
  void forget(std::uint64_t oldest_sequence, std::int64_t before_ms);
  // The least list of entries that gives this ledger again, without bus numbers.
  std::vector<Entry> entries() const;
  std::size_t objects() const { return objects_.size(); }

 private:
  struct Purge {
    std::int64_t at_ms = 0;
    std::uint64_t sequence = 0;
  };
  void make_room();

  std::size_t most_objects_;
  absl::flat_hash_map<std::uint64_t, Purge> objects_;
  std::array<std::int64_t, 256> groups_{};
  std::int64_t any_group_ms_ = 0;  // the latest of all groups' purges
  std::int64_t floor_ms_ = 0;
  std::int64_t gap_ms_ = 0;
  std::uint64_t gap_sequence_ = 0;
};

}  // namespace anisewick::purges

#endif  // ANISEWICK_PURGES_LEDGER_HPP_
