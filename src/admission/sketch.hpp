// How often keys were seen lately: a count-min sketch whose counts are halved as it fills. No I/O, no clock.
#ifndef ANISEWICK_ADMISSION_SKETCH_HPP_
#define ANISEWICK_ADMISSION_SKETCH_HPP_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace anisewick::admission {

class Sketch {
 public:
  // About `keys` keys are told apart; takes four bytes for each, rounded up to a power of two.
  explicit Sketch(std::size_t keys)
      : mask_(std::bit_ceil(std::max<std::size_t>(keys, 64)) - 1), counts_(4 * (mask_ + 1)) {}

  // `hash` is spread over 64 bits. Counts end at 15; only the least of the four rows is raised, which keeps
  // collisions from adding up.
  void add(std::uint64_t hash) {
    const auto at = places(hash);
    const std::uint8_t least = get(at);
    if (least < 15) {
      for (const std::size_t i : at) {
        if (counts_[i] == least) ++counts_[i];
      }
    }
    if (++added_ >= 10 * (mask_ + 1)) halve();
  }
  int count(std::uint64_t hash) const { return get(places(hash)); }
  std::size_t bytes() const { return counts_.size(); }

 private:
  std::array<std::size_t, 4> places(std::uint64_t hash) const {
    const std::uint64_t step = (hash >> 32) | 1;
    std::array<std::size_t, 4> at{};
    for (std::size_t row = 0; row < 4; ++row) {
      at[row] = row * (mask_ + 1) + ((hash + row * step * 0x9e3779b1ULL) & mask_);
    }
    return at;
  }
  std::uint8_t get(const std::array<std::size_t, 4>& at) const {
    return std::min({counts_[at[0]], counts_[at[1]], counts_[at[2]], counts_[at[3]]});
  }
  void halve() {
    for (std::uint8_t& c : counts_) c = static_cast<std::uint8_t>(c >> 1);
    added_ /= 2;
  }

  std::size_t mask_;
  std::size_t added_ = 0;
  std::vector<std::uint8_t> counts_;
};

}  // namespace anisewick::admission

#endif  // ANISEWICK_ADMISSION_SKETCH_HPP_
