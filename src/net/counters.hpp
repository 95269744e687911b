// What the doorman has done since its start.
#ifndef ANISEWICK_NET_COUNTERS_HPP_
#define ANISEWICK_NET_COUNTERS_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string_view>

#include "links/counters.hpp"

namespace anisewick::net {

class RequestLog;

// Why a client connection ended: the first cause, from then on it took no more requests.
enum class ConnectionEnd : std::uint8_t {
  kClientClosed,  // the client closed its half, or all of it
  kBroken,        // a read or a write failed
  kIdle,          // nothing was asked for longer than clients keep a connection
  kNeverAsked,    // no request came on it
  kNotKept,       // the client asked to end it with an answer
  kSlowRequest,   // a request stood still in part, or took too long in all
  kStalled,       // the client did not take what it was sent
  kMalformed,     // no FastCGI, or more in part than memory allows
  kMemory,        // what it sent in part, or did not take, held too much
  kRoom,          // another client waited for its place
  kDrain,         // it rested while the process is in a drain or about to end
  kCount
};
constexpr std::array<std::string_view, static_cast<std::size_t>(ConnectionEnd::kCount)> kConnectionEndWords{
    "client_closed", "broken",    "idle",   "never_asked", "not_kept", "slow_request",
    "stalled",       "malformed", "memory", "room",        "drain"};
static_assert(!kConnectionEndWords.back().empty(), "a word for each");

struct Counters : links::Counters {
  // From clients.
  std::uint64_t connections = 0, taken = 0, malformed = 0, health = 0, invalid = 0, left = 0, turned_away = 0;
  std::uint64_t cancelled = 0;  // of those that left: by a cancel, on a connection that goes on
  std::uint64_t gone = 0;       // read from a client that had left by then, and not begun
  std::array<std::uint64_t, kConnectionEndWords.size()> connection_ends{};
  // To clients.
  std::uint64_t served = 0, same = 0, refused = 0, failed = 0;
  std::map<std::string_view, std::uint64_t> given_up;  // by the decisions, by the word for why
  std::map<std::string_view, std::uint64_t> retried;   // by how the attempt before had ended
  // To depots, and how it ended.
  std::uint64_t done = 0, kept = 0, lacks = 0, full = 0, broke = 0, over = 0, late = 0, unreached = 0,
                reset = 0;
  // From the event bus, and new configurations.
  std::uint64_t lists = 0, purges = 0, reloads = 0;
  RequestLog* log = nullptr;  // none: transitions are not logged
};

inline std::ostream& operator<<(std::ostream& out, const Counters& c) {
  out << "clients: connections=" << c.connections << " taken=" << c.taken << " left=" << c.left
      << " malformed=" << c.malformed << " invalid=" << c.invalid << " turned_away=" << c.turned_away
      << " health=" << c.health << "; answered: served=" << c.served << " same=" << c.same
      << " refused=" << c.refused << " failed=" << c.failed << "; depots: sent=" << c.sent
      << " done=" << c.done << " kept=" << c.kept << " lacks=" << c.lacks << " full=" << c.full
      << " broke=" << c.broke << " over=" << c.over << " late=" << c.late << " unreached=" << c.unreached
      << " reset=" << c.reset << " late_answers=" << c.late_answers
      << " contradicting_answers=" << c.contradicting_answers << " links=" << c.links
      << "; bus: lists=" << c.lists << " purges=" << c.purges << " lost=" << c.bus_lost
      << " reloads=" << c.reloads << "; given up:";
  for (const auto& [why, n] : c.given_up) out << ' ' << why << '=' << n;
  out << "; retried after:";
  for (const auto& [end, n] : c.retried) out << ' ' << end << '=' << n;
  out << "; connects failed here=" << c.connects_failed_here << "; clients left: cancelled=" << c.cancelled
      << " gone=" << c.gone << "; connections ended:";
  for (std::size_t i = 0; i < c.connection_ends.size(); ++i) {
    if (c.connection_ends[i] > 0) out << ' ' << kConnectionEndWords[i] << '=' << c.connection_ends[i];
  }
  return out;
}

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_COUNTERS_HPP_
