// What a process has heard from discovery, as it leaves it for another process of the same proxy: discovery
// may be away when that one starts, or tell it later. No I/O, no clock. Plain values; one owner, one thread.
// Source: the platform's page on upgrades ("the two processes count as a single doorman") and its rules on
// drains and purges.
#ifndef ANISEWICK_HANDOVER_DISCOVERY_HPP_
#define ANISEWICK_HANDOVER_DISCOVERY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bus/bus.hpp"

namespace anisewick::handover {

constexpr std::size_t kMostDiscovery = 2u << 20;  // bytes of an encoded snapshot

// Of an object with all its parts, or of a whole group.
struct Purge {
  bool whole_group = false;
  std::uint64_t key = 0;   // the object or the group
  std::int64_t at_ms = 0;  // monotonic time of the purge, which the processes of a machine share
  bool operator==(const Purge&) const = default;
};

struct DiscoverySnapshot {
  std::uint64_t number = 0;  // of the last event that is in it
  std::vector<bus::Depot> servers;
  std::vector<Purge> purges;  // those that may still matter
};

std::string encode_discovery(const DiscoverySnapshot& snapshot, std::string_view name);
// None: `why` says in a few words what is wrong with it. `name` is that of the proxy that reads.
std::optional<DiscoverySnapshot> decode_discovery(std::string_view bytes, std::string_view name,
                                                  std::string& why);

// The purges that were heard lately: of each object and group the latest. Bounded; the oldest go first.
class PurgeLog {
 public:
  // Times are monotonic milliseconds. What is older than `keep_ms` is forgotten.
  void add(const Purge& purge, std::int64_t now_ms, std::int64_t keep_ms);
  std::vector<Purge> purges() const;

 private:
  std::map<std::pair<bool, std::uint64_t>, std::int64_t> at_ms_;
};

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_DISCOVERY_HPP_
