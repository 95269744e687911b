// How many bytes an answer will have. A request tells the size of its object in KB as the decisions count it;
// the bytes on the socket are in proportion, and the proportion is learned from answers. Source: PROTOCOL,
// `X-Heap-Kb` ("the bytes on the socket are fewer, in proportion"; at most 240,000).
#ifndef ANISEWICK_NET_ANSWER_SIZES_HPP_
#define ANISEWICK_NET_ANSWER_SIZES_HPP_

#include <algorithm>
#include <cstddef>

namespace anisewick::net {

class AnswerSizes {
 public:
  static constexpr std::size_t kMostBytes = 240'000;     // of an object
  static constexpr double kUnknownBytesPerKb = 1'024.0;  // until the proportion is known: there are fewer
  static constexpr double kForget = 0.9995;              // of it, with each answer that stays below

  // The proportion that the settings tell; 0: none.
  void usual(double bytes_per_kb) { bytes_per_kb_ = std::max(bytes_per_kb_, bytes_per_kb); }
  // Bytes to reserve for the answer to a request for an object of `size_kb`.
  std::size_t expected(double size_kb) const {
    const double bytes_per_kb = bytes_per_kb_ > 0.0 ? bytes_per_kb_ : kUnknownBytesPerKb;
    return static_cast<std::size_t>(std::min(static_cast<double>(kMostBytes), size_kb * bytes_per_kb));
  }
  // An object of `size_kb` came as so many bytes.
  void learn(double size_kb, std::size_t bytes) {
    if (size_kb <= 0.0) return;
    bytes_per_kb_ = std::max(static_cast<double>(bytes) / size_kb, kForget * bytes_per_kb_);
  }

 private:
  double bytes_per_kb_ = 0.0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_ANSWER_SIZES_HPP_
