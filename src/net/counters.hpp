// What the doorman has done since its start.
#ifndef ANISEWICK_NET_COUNTERS_HPP_
#define ANISEWICK_NET_COUNTERS_HPP_

#include <cstdint>
#include <map>
#include <ostream>
#include <string_view>

#include "links/counters.hpp"

namespace anisewick::net {

struct Counters : links::Counters {
  // From clients.
  std::uint64_t connections = 0, taken = 0, malformed = 0, health = 0, invalid = 0, left = 0, turned_away = 0;
  // To clients.
  std::uint64_t served = 0, same = 0, refused = 0, failed = 0;
  std::map<std::string_view, std::uint64_t> given_up;  // by the decisions, by the word for why
  // To depots, and how it ended.
  std::uint64_t done = 0, kept = 0, lacks = 0, full = 0, broke = 0, over = 0, late = 0, unreached = 0,
                reset = 0;
  // From the event bus, and new configurations.
  std::uint64_t lists = 0, purges = 0, reloads = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Counters& c) {
  out << "clients: connections=" << c.connections << " taken=" << c.taken << " left=" << c.left
      << " malformed=" << c.malformed << " invalid=" << c.invalid << " turned_away=" << c.turned_away
      << " health=" << c.health << "; answered: served=" << c.served << " same=" << c.same
      << " refused=" << c.refused << " failed=" << c.failed << "; depots: sent=" << c.sent
      << " done=" << c.done << " kept=" << c.kept << " lacks=" << c.lacks << " full=" << c.full
      << " broke=" << c.broke << " over=" << c.over << " late=" << c.late << " unreached=" << c.unreached
      << " reset=" << c.reset << " late_answers=" << c.late_answers << " links=" << c.links
      << "; bus: lists=" << c.lists << " purges=" << c.purges << " lost=" << c.bus_lost
      << " reloads=" << c.reloads << "; given up:";
  for (const auto& [why, n] : c.given_up) out << ' ' << why << '=' << n;
  return out;
}

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_COUNTERS_HPP_
