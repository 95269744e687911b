// Messages between instances, authenticated with a shared key: HMAC-SHA256 by OpenSSL, cut to 16 bytes, with
// the time, the sender's session and a number, so that what is sent again by somebody else is refused. No
// I/O, no clock; one thread. Times are Unix milliseconds.
//
// sealed = version:1 key:1 session:8 number:8 time:8 payload mac:16, big-endian
#ifndef ANISEWICK_FLEET_PEERS_SEAL_HPP_
#define ANISEWICK_FLEET_PEERS_SEAL_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anisewick::peers {

struct Key {
  std::uint8_t id = 0;
  std::string secret;  // at least 16 bytes
};

class Seal {
 public:
  static constexpr std::size_t kHead = 26, kMac = 16;
  struct Limits {
    std::int64_t window_ms =
        30'000;                   // how far a message's time may be from ours: clocks, and time on the way
    std::size_t sessions = 8192;  // remembered; beyond it those not heard for the longest are forgotten
  };
  enum class Fault { kNone, kShort, kVersion, kKey, kMac, kTime, kReplay };

  // `keys`: the first signs, all are accepted, so that a new one can be given to all before it is first.
  // `session`: random, new at each start.
  Seal(std::vector<Key> keys, std::uint64_t session, const Limits& limits);

  std::string close(std::string_view payload, std::int64_t now_ms);
  // The payload within `bytes`, or nothing and why. Only what holds is remembered against replay.
  std::optional<std::string_view> open(std::string_view bytes, std::int64_t now_ms, Fault& fault);
  // A new list of keys; what is known against replay stays.
  void rotate(std::vector<Key> keys) { keys_ = std::move(keys); }
  std::size_t sessions() const { return seen_.size(); }

 private:
  struct Seen {
    std::uint64_t highest = 0;
    std::uint64_t before = 0;  // of the 64 numbers up to it, which came
    std::int64_t heard_ms = 0;
  };
  const Key* key(std::uint8_t id) const;
  void make_room(std::int64_t now_ms);

  std::vector<Key> keys_;
  std::uint64_t session_;
  Limits limits_;
  std::uint64_t number_ = 0;
  std::unordered_map<std::uint64_t, Seen> seen_;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_FLEET_PEERS_SEAL_HPP_
