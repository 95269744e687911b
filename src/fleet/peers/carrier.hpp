// Datagrams between members, sealed, over UDP on the doorman's one loop. Owned by the program, one thread.
// Nothing here waits: what cannot be sent now is counted and dropped, since all that is said is said again.
// What cannot be read, is not sealed by the fleet's key, comes a second time or too fast is counted and
// dropped.
#ifndef ANISEWICK_FLEET_PEERS_CARRIER_HPP_
#define ANISEWICK_FLEET_PEERS_CARRIER_HPP_

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/membership/swim.hpp"
#include "fleet/peers/seal.hpp"
#include "fleet/talk/talk.hpp"
#include "links/asio.hpp"

namespace anisewick::peers {

class Carrier {
 public:
  struct Limits {
    double per_peer = 1000.0, burst = 500.0;  // datagrams a second and at once, by source address
    double in_all = 20'000.0;                 // a second, before any is looked into
    std::size_t peers = 4096;                 // addresses told apart; those beyond share one measure
    std::int64_t window_ms = 30'000;          // of the seal
    std::int64_t reopen_ms = 50;              // first pause before the socket is opened again; doubles to 5 s
  };
  struct Counters {
    std::uint64_t sent = 0, sent_bytes = 0, unsent = 0;  // unsent: the socket was full or refused
    std::uint64_t received = 0, too_fast = 0, unsealed = 0, replayed = 0, malformed = 0, other_version = 0;
    std::uint64_t reopened = 0;
  };
  using Address = membership::Address;

  // `unix_ms`: for the seal's window. The calls come from the loop.
  Carrier(asio::io_context& io, std::vector<Key> keys, std::uint64_t session, const Limits& limits,
          std::function<std::int64_t()> unix_ms);
  void on_membership(std::function<void(const membership::Message&, const Address&)> f) {
    swim_ = std::move(f);
  }
  void on_packet(std::function<void(const talk::Packet&, const Address&)> f) { packet_ = std::move(f); }

  // An error: this address cannot be had now; it is tried again all the same.
  links::Error open(const asio::ip::udp::endpoint& at);
  void send(const Address& to, const membership::Message& message);
  void send(const Address& to, const talk::Packet& packet);
  void close();
  bool receiving() const { return socket_.is_open(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Bucket {
    double tokens = 0.0;
    std::chrono::steady_clock::time_point at{};
  };
  void send(const Address& to, const std::string& payload);
  void receive();
  void came(std::size_t size);
  void again();
  bool take(Bucket& bucket, double rate, double burst);

  asio::io_context& io_;
  Seal seal_;
  const Limits limits_;
  const std::function<std::int64_t()> unix_ms_;
  std::function<void(const membership::Message&, const Address&)> swim_;
  std::function<void(const talk::Packet&, const Address&)> packet_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint at_, from_;
  asio::steady_timer timer_;
  std::array<char, 2048> in_;
  std::unordered_map<std::uint64_t, Bucket> buckets_;
  Bucket all_, others_;
  std::mt19937_64 random_;
  std::int64_t pause_ms_ = 0;
  bool closed_ = false;
  Counters counters_;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_FLEET_PEERS_CARRIER_HPP_
