// Staff's word on depots as one order for the whole fleet: numbered entries, of which the last one about a
// depot counts. No I/O, no clock. One owner, one thread.
#ifndef ANISEWICK_FLEET_ORDERS_ORDER_HPP_
#define ANISEWICK_FLEET_ORDERS_ORDER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "depot/depot.hpp"

namespace anisewick::orders {

// A call of staff, told apart for good by the member that took it and a serial number of that member's.
struct CallId {
  std::uint64_t origin = 0;
  std::uint64_t serial = 0;
  friend auto operator<=>(const CallId&, const CallId&) = default;
};
struct Call {
  CallId id;
  depot::Id depot = 0;
  bool held = false;
  std::int64_t at_ms = 0;  // Unix time where it was taken; orders nothing
  bool operator==(const Call&) const = default;
};
struct Entry {
  depot::Id depot = 0;
  bool held = false;
  std::uint64_t number = 0;  // from 1; each number once in a fleet's life
  std::int64_t at_ms = 0;
  // The calls that were settled on this depot, the last of each origin. One is dropped once its origin is
  // known to have the entry on disk: until then it may come again.
  std::vector<CallId> calls;
  bool operator==(const Entry&) const = default;
  bool settles(const CallId& id) const;
};

constexpr std::size_t kMostCalls = 6;   // remembered with an entry where those before are not needed any more
constexpr std::size_t kHardCalls = 12;  // in any case
constexpr std::size_t kMostEntries = 400;  // of all registers together, about

// What one member knows of the order.
class Order {
 public:
  // Entries with a number in (from, to], the last one of each depot. Nothing is taken where something before
  // is missing, or nothing is new; then `gap` or neither. What was taken is to be heeded, in this order.
  std::vector<Entry> take(std::uint64_t from, std::uint64_t to, std::vector<Entry> entries, bool& gap);
  // The entries after `from`, by number, as many as fit; `to`: they tell all up to there.
  std::vector<Entry> since(std::uint64_t from, std::size_t most, std::uint64_t& to) const;

  std::uint64_t upto() const { return upto_; }
  const Entry* of(depot::Id depot) const;
  const std::map<depot::Id, Entry>& entries() const { return entries_; }

 private:
  std::map<depot::Id, Entry> entries_;
  std::map<std::uint64_t, depot::Id> by_number_;
  std::uint64_t upto_ = 0;
};

// One of the registers in which the order stands. Each has the term of who wrote it last: who comes with a
// lower one writes nothing.
struct Shard {
  std::uint64_t term = 0;
  std::vector<Entry> entries;  // one a depot
};
std::string encode(const Shard& shard);
std::optional<Shard> shard_from(const std::string& value);  // an empty value is an empty shard
std::string key_of(depot::Id depot);                        // the register of this depot
std::vector<std::string> shard_keys();

}  // namespace anisewick::orders

#endif  // ANISEWICK_FLEET_ORDERS_ORDER_HPP_
