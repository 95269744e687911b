#include "fleet/peers/seal.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace anisewick::peers {
namespace {

constexpr char kVersion = 1;

void put(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}
std::uint64_t get(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char c : bytes.substr(0, 8)) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}
std::array<unsigned char, EVP_MAX_MD_SIZE> mac_of(const Key& key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &size);
  return mac;
}

}  // namespace

Seal::Seal(std::vector<Key> keys, std::uint64_t session, const Limits& limits)
    : keys_(std::move(keys)), session_(session), limits_(limits) {}

const Key* Seal::key(std::uint8_t id) const {
  const auto it = std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) { return k.id == id; });
  return it == keys_.end() ? nullptr : &*it;
}

std::string Seal::close(std::string_view payload, std::int64_t now_ms) {
  std::string out;
  out.reserve(kHead + payload.size() + kMac);
  out.push_back(kVersion);
  out.push_back(static_cast<char>(keys_.front().id));
  put(out, session_);
  put(out, ++number_);
  put(out, static_cast<std::uint64_t>(now_ms));
  out.append(payload);
  const auto mac = mac_of(keys_.front(), out);
  out.append(reinterpret_cast<const char*>(mac.data()), kMac);
  return out;
}

std::optional<std::string_view> Seal::open(std::string_view bytes, std::int64_t now_ms, Fault& fault) {
  const auto refuse = [&](Fault why) {
    fault = why;
    return std::nullopt;
  };
  fault = Fault::kNone;
  if (bytes.size() < kHead + kMac) return refuse(Fault::kShort);
  if (bytes[0] != kVersion) return refuse(Fault::kVersion);
  const Key* with = key(static_cast<std::uint8_t>(bytes[1]));
  if (with == nullptr) return refuse(Fault::kKey);
  const std::string_view body = bytes.substr(0, bytes.size() - kMac);
  const auto mac = mac_of(*with, body);
  // In the same time whatever differs: the time tells nothing of the right one.
  if (CRYPTO_memcmp(mac.data(), bytes.data() + body.size(), kMac) != 0) return refuse(Fault::kMac);
  const std::uint64_t session = get(bytes.substr(2)), number = get(bytes.substr(10));
  const auto time = static_cast<std::int64_t>(get(bytes.substr(18)));
  if (time < now_ms - limits_.window_ms || time > now_ms + limits_.window_ms) return refuse(Fault::kTime);
  if (!seen_.contains(session) && seen_.size() >= limits_.sessions) make_room(now_ms);
  Seen& seen = seen_[session];
  seen.heard_ms = now_ms;
  if (number > seen.highest) {
    const std::uint64_t ahead = number - seen.highest;
    seen.before = (ahead >= 64 ? 0 : seen.before << ahead) | 1;
    seen.highest = number;
  } else {
    const std::uint64_t behind = seen.highest - number;
    // Older than can be told: as good as seen.
    if (behind >= 64 || (seen.before >> behind & 1) != 0) return refuse(Fault::kReplay);
    seen.before |= std::uint64_t{1} << behind;
  }
  return body.substr(kHead);
}

// Sessions out of the window can go: what they sent is refused for its time. If none is, the oldest half.
void Seal::make_room(std::int64_t now_ms) {
  std::erase_if(seen_, [&](const auto& kv) { return kv.second.heard_ms < now_ms - 2 * limits_.window_ms; });
  if (seen_.size() < limits_.sessions) return;
  std::vector<std::int64_t> times;
  for (const auto& [session, seen] : seen_) times.push_back(seen.heard_ms);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(seen_, [until = *middle](const auto& kv) { return kv.second.heard_ms <= until; });
}

}  // namespace anisewick::peers
