// The first tier: copies in memory, by rank and by last use. No I/O, no clock, one thread.
// Source: the platform's page on fills: the lowest rank goes first, in a rank what was used longest ago; a
// new copy pushes out only its own rank or lower, or it is not kept; a hit sets the rank anew, 0 leaves it.
#ifndef ANISEWICK_SHELF_SHELF_HPP_
#define ANISEWICK_SHELF_SHELF_HPP_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

#include "copies/copy.hpp"

namespace anisewick::shelf {

struct Held {
  copies::Copy copy;
  std::uint64_t sequence = 0;  // where the store stood when it was asked for; see purges::Entry::kGap
};

class Shelf {
 public:
  explicit Shelf(std::size_t bytes) : room_(bytes) {}

  // Takes the place of what is held of this part. False: rank 0, or no room among its own rank and below.
  bool put(Held held);
  // Until the next call that changes the shelf. nullptr: not held.
  const Held* find(const copies::Key& key) const;
  void use(const copies::Key& key, int rank);
  // Its source said that it still holds: born then, and asked for at that sequence.
  void confirm(const copies::Key& key, std::int64_t born_ms, std::uint64_t sequence);
  void remove(const copies::Key& key);

  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return index_.size(); }

 private:
  using List = std::list<Held>;
  static std::size_t cost(const Held& held) { return held.copy.bytes->size() + kOverhead; }
  static constexpr std::size_t kOverhead = 256;  // of an entry beside its bytes

  std::size_t room_, bytes_ = 0;
  std::array<List, 4> ranks_;                // most lately used first
  std::array<std::size_t, 4> rank_bytes_{};  // of each
  absl::flat_hash_map<copies::Key, List::iterator, copies::KeyHash> index_;
};

}  // namespace anisewick::shelf

#endif  // ANISEWICK_SHELF_SHELF_HPP_
