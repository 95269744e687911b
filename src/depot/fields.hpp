// What both sides of the depots' protocol share: words, notes, and numbers in text. No I/O.
#ifndef ANISEWICK_DEPOT_FIELDS_HPP_
#define ANISEWICK_DEPOT_FIELDS_HPP_

#include <array>
#include <charconv>
#include <cstddef>
#include <string_view>

namespace anisewick::depot {

constexpr std::size_t kMostLine = 4096;
constexpr std::size_t kMostBody = 240'000;  // of an object

// In the order of `Word` and, from 1, of the protocol's notes.
constexpr std::array<std::string_view, 6> kWords{"DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST"};
constexpr std::array<std::string_view, 10> kRemarks{"hit",     "filled",       "via_origin", "joined",
                                                    "stale",   "src_refused",  "src_broke",  "src_lacks",
                                                    "no_slot", "origin_failed"};

// True: all of the text is a number of this type, in this base.
template <typename T>
bool number(std::string_view text, T& value, int base = 10) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return r.ec == std::errc{} && r.ptr == text.data() + text.size();
}
template <>
inline bool number<double>(std::string_view text, double& value, int) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  return r.ec == std::errc{} && r.ptr == text.data() + text.size();
}

// Takes what stands before the first `at` (or all) off the front.
inline std::string_view cut(std::string_view& rest, char at) {
  const std::size_t end = rest.find(at);
  const std::string_view part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

}  // namespace anisewick::depot

#endif  // ANISEWICK_DEPOT_FIELDS_HPP_
