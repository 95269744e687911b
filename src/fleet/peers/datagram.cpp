#include "fleet/peers/datagram.hpp"

#include <cstdint>
#include <utility>

namespace anisewick::peers {
namespace {

using membership::Address;
using membership::kMostName;
using membership::Message;
using membership::News;
using membership::Peer;

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
void put(std::string& out, const std::string& name) {
  put(out, name.size(), 1);
  out.append(name);
}
void put(std::string& out, const Address& a) {
  put(out, a.ip, 4);
  put(out, a.port, 2);
}
void put(std::string& out, const Peer& p) {
  put(out, p.name);
  put(out, p.gossip);
  put(out, p.snapshots);
  put(out, p.incarnation, 8);
  put(out, p.up_s, 4);
  put(out, p.zone);
  put(out, p.draining ? 1 : 0, 1);
}

// Takes values off the front; after the first that is not there all are 0 and `bad` is set.
struct Taker {
  std::string_view rest;
  bool bad = false;

  std::uint64_t number(std::size_t bytes) {
    if (bad || rest.size() < bytes) {
      bad = true;
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(rest[i]);
    rest.remove_prefix(bytes);
    return value;
  }
  std::string name() {
    const auto size = static_cast<std::size_t>(number(1));
    if (bad || size > kMostName || rest.size() < size) {
      bad = true;
      return {};
    }
    std::string out(rest.substr(0, size));
    rest.remove_prefix(size);
    return out;
  }
  Address address() {
    Address a;
    a.ip = static_cast<std::uint32_t>(number(4));
    a.port = static_cast<std::uint16_t>(number(2));
    return a;
  }
  Peer peer() {
    Peer p;
    p.name = name();
    p.gossip = address();
    p.snapshots = address();
    p.incarnation = number(8);
    p.up_s = static_cast<std::uint32_t>(number(4));
    p.zone = name();
    const std::uint64_t draining = number(1);
    p.draining = draining == 1;
    bad = bad || draining > 1;
    bad = bad || p.name.empty();
    return p;
  }
};

}  // namespace

std::string datagram_of(const Message& m) {
  std::string out;
  put(out, static_cast<std::uint64_t>(m.kind), 1);
  put(out, m.sequence, 4);
  put(out, m.from);
  put(out, m.target);
  put(out, m.target_name);
  const std::size_t count_at = out.size();
  put(out, 0, 1);
  std::uint8_t count = 0;
  for (const News& n : m.news) {
    std::string one;
    put(one, n.peer);
    put(one, static_cast<std::uint64_t>(n.state), 1);
    put(one, n.by);
    if (out.size() + one.size() > kMostDatagram || count == 0xff) break;
    out += one;
    ++count;
  }
  out[count_at] = static_cast<char>(count);
  return out;
}

std::optional<Message> message_from(std::string_view datagram) {
  if (datagram.size() > kMostDatagram) return std::nullopt;
  Taker take{datagram};
  Message m;
  const std::uint64_t kind = take.number(1);
  m.sequence = static_cast<std::uint32_t>(take.number(4));
  m.from = take.peer();
  m.target = take.address();
  m.target_name = take.name();
  const std::uint64_t count = take.number(1);
  if (take.bad || kind < 1 || kind > 3) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  for (std::uint64_t i = 0; i < count && !take.bad; ++i) {
    News n;
    n.peer = take.peer();
    const std::uint64_t state = take.number(1);
    n.by = take.name();
    if (state > 3) return std::nullopt;
    n.state = static_cast<membership::State>(state);
    m.news.push_back(std::move(n));
  }
  if (take.bad || !take.rest.empty()) return std::nullopt;
  return m;
}

}  // namespace anisewick::peers
