// Which part lies where: the disk tier's index in memory. No I/O; one thread at a time.
//
// Entries of 48 bytes lie in slabs that are never moved; a hash set holds their 4-byte slots, and a list
// through the entries of each segment says what goes when that segment goes. Room for `most` parts in the
// hash set is taken at once, so that it never has to be rebuilt in the middle of serving. At most 64 bytes a
// part in all when full.
#ifndef ANISEWICK_DISK_INDEX_HPP_
#define ANISEWICK_DISK_INDEX_HPP_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "disk/format.hpp"

namespace anisewick::disk {

class Index {
 public:
  using Slot = std::uint32_t;
  static constexpr Slot kNone = 0xffffffff;

  explicit Index(std::size_t most);
  Index(const Index&) = delete;

  // Takes the place of an older record of the same part; one that stands earlier in the log than what is held
  // changes nothing. False: no room, or it stands earlier.
  bool put(const Row& row);
  Slot find(const copies::Key& key) const;
  Row row(Slot slot) const;
  void remove(Slot slot);

  // How often it was asked for since it was written, at most 15.
  int asked(Slot slot) const { return entry(slot).asked; }
  void ask(Slot slot);
  void rank(Slot slot, int rank) { entry(slot).rank = static_cast<std::uint8_t>(rank); }
  // Its source said that it still holds: from then on this is its birth.
  void confirm(Slot slot, std::int64_t born_ms);

  struct Segment {
    std::uint64_t id = 0;
    std::uint64_t live_bytes = 0;  // as they lie on disk
    std::uint64_t hot_bytes = 0;   // of those that were asked for
    std::uint32_t parts = 0;
    Slot first = kNone;
  };
  // By id; nullptr: it holds nothing.
  const Segment* segment(std::uint64_t id) const;
  std::vector<Row> rows_of(std::uint64_t segment) const;
  std::vector<Slot> slots_of(std::uint64_t segment) const;
  // Drops the segment with all in it.
  void drop(std::uint64_t segment);

  std::size_t size() const { return size_; }
  std::size_t most() const { return most_; }
  std::size_t bytes() const;

 private:
  struct Entry {
    std::uint64_t object;
    std::int64_t born_ms;
    std::uint32_t part;
    std::uint32_t segment;  // place in segments_
    std::uint32_t offset;
    std::uint32_t size : 24;
    std::uint32_t rank : 2;
    std::uint32_t asked : 4;
    Slot next, before;  // in the segment's list; `next` links the free ones
    std::uint16_t group;
    std::uint8_t tag_bytes;
  };
  static_assert(sizeof(Entry) <= 48);
  static constexpr std::size_t kSlab = 4096;

  Entry& entry(Slot slot) { return slabs_[slot / kSlab][slot % kSlab]; }
  const Entry& entry(Slot slot) const { return slabs_[slot / kSlab][slot % kSlab]; }

  struct Hash {
    using is_transparent = void;
    const Index* index;
    std::size_t operator()(const copies::Key& key) const { return copies::KeyHash{}(key); }
    std::size_t operator()(Slot slot) const {
      const Entry& e = index->entry(slot);
      return copies::KeyHash{}({e.object, e.part});
    }
  };
  struct Same {
    using is_transparent = void;
    const Index* index;
    copies::Key key(Slot slot) const { return {index->entry(slot).object, index->entry(slot).part}; }
    bool operator()(Slot a, Slot b) const { return a == b || key(a) == key(b); }
    bool operator()(Slot a, const copies::Key& b) const { return key(a) == b; }
    bool operator()(const copies::Key& a, Slot b) const { return a == key(b); }
  };

  std::uint32_t segment_place(std::uint64_t id);
  void link(Slot slot, std::uint32_t place);
  void unlink(Slot slot);
  static std::size_t length(const Entry& e);

  std::size_t most_;
  std::vector<std::unique_ptr<Entry[]>> slabs_;
  Slot free_ = kNone;
  Slot used_ = 0;  // slots ever taken
  // In many sets, so that one that tidies up after removals holds the loop for well under a millisecond.
  static constexpr int kShardBits = 6;
  using Set = absl::flat_hash_set<Slot, Hash, Same>;
  Set& shard(const copies::Key& key) { return sets_[copies::mix(key) >> (64 - kShardBits)]; }
  const Set& shard(const copies::Key& key) const { return sets_[copies::mix(key) >> (64 - kShardBits)]; }

  std::vector<Set> sets_;
  std::size_t size_ = 0;
  std::vector<Segment> segments_;  // id 0: free
  absl::flat_hash_map<std::uint64_t, std::uint32_t> places_;
  std::vector<std::uint32_t> free_places_;
};

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_INDEX_HPP_
