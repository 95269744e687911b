// The membership's messages as datagrams. No I/O. Big-endian; at most kMostDatagram bytes, which with the
// seal fit a packet that no usual network splits.
//
// message = kind:1 sequence:4 peer target:6 target_name news:1 (peer state:1 by)*
// peer    = name gossip:6 snapshots:6 incarnation:8 up:4 zone draining:1
// name, by, zone = length:1 bytes, at most kMostName
#ifndef ANISEWICK_FLEET_PEERS_DATAGRAM_HPP_
#define ANISEWICK_FLEET_PEERS_DATAGRAM_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/membership/swim.hpp"

namespace anisewick::peers {

constexpr std::size_t kMostDatagram = 1300;

// What news does not fit is left out, the last first: it is told another time.
std::string datagram_of(const membership::Message& message);
// Nothing: not such a message, whole and to the last byte.
std::optional<membership::Message> message_from(std::string_view datagram);

}  // namespace anisewick::peers

#endif  // ANISEWICK_FLEET_PEERS_DATAGRAM_HPP_
