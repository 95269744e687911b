// Standalone Asio as every file here uses it: error codes, no exceptions across callbacks.
#ifndef ANISEWICK_LINKS_ASIO_HPP_
#define ANISEWICK_LINKS_ASIO_HPP_

#include <asio.hpp>
#include <chrono>
#include <cstdint>

namespace anisewick::links {

using Tcp = asio::ip::tcp;
using Error = asio::error_code;

// The system's Unix clock, in nanoseconds, which may step: for stamps that others read or have written.
inline std::int64_t unix_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Unix nanoseconds by the system's clock of the first call and the time that has passed since. It never
// steps: for deadlines, waits and ages.
inline std::int64_t steady_unix_now() {
  const auto steady = [] {
    return std::chrono::nanoseconds(std::chrono::steady_clock::now().time_since_epoch()).count();
  };
  static const std::int64_t offset = unix_now() - steady();
  return offset + steady();
}

inline Tcp::endpoint endpoint_of(std::uint32_t address, std::uint16_t port) {
  return {asio::ip::address_v4(address), port};
}

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_ASIO_HPP_
