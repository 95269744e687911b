// What a process has learned, as it leaves it for the one that takes over. No I/O, no clock.
#ifndef ANISEWICK_HANDOVER_LEARNED_HPP_
#define ANISEWICK_HANDOVER_LEARNED_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "anisewick/learned.hpp"

namespace anisewick::handover {

constexpr std::size_t kMostLearned = 2u << 20;  // bytes

// `at_ms`: Unix time at which it was learned so far.
std::string encode_learned(const Learned& learned, std::string_view name, std::int64_t at_ms);
struct Dated {
  Learned learned;
  std::int64_t at_ms = 0;
};
// None: `why` says in a few words what is wrong with it; figures that cannot be are wrong, too.
std::optional<Dated> decode_learned(std::string_view bytes, std::string_view name, std::string& why);

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_LEARNED_HPP_
