#include "fleet/peers/carrier.hpp"

#include <algorithm>
#include <utility>

#include "fleet/peers/datagram.hpp"

namespace anisewick::peers {
namespace {

using asio::ip::udp;
using links::Error;

constexpr char kPacketKind = 4;  // after the membership's own: ping, ack, ping for another
constexpr std::int64_t kMostPause = 5000;
constexpr int kTurns = 32;  // datagrams read in one turn of the loop, so that requests have theirs

}  // namespace

Carrier::Carrier(asio::io_context& io, std::vector<Key> keys, std::uint64_t session, const Limits& limits,
                 std::function<std::int64_t()> unix_ms)
    : io_(io),
      seal_(std::move(keys), session, {limits.window_ms, 8192}),
      limits_(limits),
      unix_ms_(std::move(unix_ms)),
      socket_(io),
      timer_(io),
      random_(session),
      pause_ms_(limits.reopen_ms) {}

Error Carrier::open(const udp::endpoint& at) {
  at_ = at;
  Error error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.bind(at, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    again();
    return error;
  }
  pause_ms_ = limits_.reopen_ms;
  receive();
  return error;
}

// Out of descriptors, or an interface that refuses: later, and not all members at the same moment.
void Carrier::again() {
  Error ignored;
  socket_.close(ignored);
  if (closed_) return;
  const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(pause_ms_));
  timer_.expires_after(std::chrono::milliseconds(pause_ms_ / 2 + jitter));
  pause_ms_ = std::min(kMostPause, pause_ms_ * 2);
  timer_.async_wait([this](Error e) {
    if (e || closed_) return;
    ++counters_.reopened;
    open(at_);
  });
}

void Carrier::receive() {
  socket_.async_wait(udp::socket::wait_read, [this](Error error) {
    if (closed_ || error == asio::error::operation_aborted) return;
    if (error) return again();
    for (int turn = 0; turn < kTurns; ++turn) {
      const std::size_t n = socket_.receive_from(asio::buffer(in_), from_, 0, error);
      if (error == asio::error::would_block || error == asio::error::try_again) break;
      // A peer that is not there answers what was sent to it with a refusal, which is told here.
      if (error == asio::error::connection_refused) continue;
      if (error) return again();
      came(n);
      if (closed_) return;
    }
    receive();
  });
}

bool Carrier::take(Bucket& b, double rate, double burst) {
  const auto now = std::chrono::steady_clock::now();
  const double s =
      b.at.time_since_epoch().count() == 0 ? burst : std::chrono::duration<double>(now - b.at).count();
  b.tokens = std::min(burst, b.tokens + s * rate);
  b.at = now;
  if (b.tokens < 1.0) return false;
  b.tokens -= 1.0;
  return true;
}

void Carrier::came(std::size_t size) {
  ++counters_.received;
  const std::uint32_t ip = from_.address().to_v4().to_uint();
  const std::uint64_t key = static_cast<std::uint64_t>(ip) << 16 | from_.port();
  auto it = buckets_.find(key);
  if (it == buckets_.end() && buckets_.size() < limits_.peers) it = buckets_.emplace(key, Bucket{}).first;
  Bucket& peer = it == buckets_.end() ? others_ : it->second;
  if (!take(all_, limits_.in_all, limits_.in_all / 4) || !take(peer, limits_.per_peer, limits_.burst)) {
    ++counters_.too_fast;
    return;
  }
  Seal::Fault fault;
  const auto payload = seal_.open({in_.data(), size}, unix_ms_(), fault);
  if (!payload) {
    ++(fault == Seal::Fault::kReplay || fault == Seal::Fault::kTime ? counters_.replayed
                                                                    : counters_.unsealed);
    return;
  }
  const Address from{ip, from_.port()};
  if (!payload->empty() && payload->front() == kPacketKind) {
    talk::Fault why;
    if (const auto packet = talk::packet_from(payload->substr(1), why)) return packet_(*packet, from);
    ++(why == talk::Fault::kVersion ? counters_.other_version : counters_.malformed);
    return;
  }
  if (const auto message = message_from(*payload)) return swim_(*message, from);
  ++counters_.malformed;
}

void Carrier::send(const Address& to, const std::string& payload) {
  if (!socket_.is_open()) {
    ++counters_.unsent;
    return;
  }
  const std::string bytes = seal_.close(payload, unix_ms_());
  Error error;
  const udp::endpoint there(asio::ip::address_v4(to.ip), to.port);
  socket_.send_to(asio::buffer(bytes), there, 0, error);
  // The refusal may be of an earlier datagram to somebody else: this one deserves its turn.
  if (error == asio::error::connection_refused) socket_.send_to(asio::buffer(bytes), there, 0, error);
  if (error) {
    ++counters_.unsent;
    return;
  }
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
}

void Carrier::send(const Address& to, const membership::Message& message) { send(to, datagram_of(message)); }
void Carrier::send(const Address& to, const talk::Packet& packet) {
  const std::string bytes = talk::bytes_of(packet);
  if (bytes.size() > talk::kMostPacket) {
    ++counters_.unsent;
    return;
  }
  send(to, kPacketKind + bytes);
}

void Carrier::close() {
  closed_ = true;
  Error ignored;
  timer_.cancel();
  socket_.close(ignored);
}

}  // namespace anisewick::peers
