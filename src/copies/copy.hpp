// A copy of one part of an object, as every tier of a cache box speaks of it.
#ifndef ANISEWICK_COPIES_COPY_HPP_
#define ANISEWICK_COPIES_COPY_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "depot/request.hpp"

namespace anisewick::copies {

struct Key {
  std::uint64_t object = 0;
  std::uint32_t part = 0;
  friend bool operator==(const Key&, const Key&) = default;
};
// Spreads object and part over 64 bits, the same on every machine (a finaliser after SplitMix64).
constexpr std::uint64_t mix(const Key& key) {
  std::uint64_t x = key.object + 0x9e3779b97f4a7c15ULL * (key.part + 1ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
struct KeyHash {
  std::size_t operator()(const Key& key) const { return static_cast<std::size_t>(mix(key)); }
};

// What is told of a copy beside its bytes.
struct About {
  Key key;
  int group = depot::kUnknownGroup;  // 0 to 255
  int rank = 0;                      // 0 to 3
  std::string tag;                   // at most depot::kMostTag bytes
  std::int64_t born_ms = 0;          // Unix time at which the origin gave it out
};

// Shared by all who send or keep them, whatever they lie in. Never null in a Copy.
using Bytes = std::shared_ptr<const std::string_view>;
inline Bytes bytes_of(std::string text) {
  struct Held {
    explicit Held(std::string t) : text(std::move(t)), view(text) {}
    const std::string text;
    const std::string_view view;
  };
  auto held = std::make_shared<const Held>(std::move(text));
  return {held, &held->view};
}
// `size` bytes at `from` of the buffer, which they keep alive.
inline Bytes bytes_within(std::unique_ptr<char[]> buffer, std::size_t from, std::size_t size) {
  struct Held {
    std::unique_ptr<char[]> buffer;
    std::string_view view;
  };
  const std::string_view view(buffer.get() + from, size);
  auto held = std::make_shared<const Held>(Held{std::move(buffer), view});
  return {held, &held->view};
}

struct Copy {
  About about;
  Bytes bytes;
};

}  // namespace anisewick::copies

#endif  // ANISEWICK_COPIES_COPY_HPP_
