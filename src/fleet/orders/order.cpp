#include "fleet/orders/order.hpp"

#include <algorithm>
#include <utility>

#include "fleet/talk/values.hpp"

namespace anisewick::orders {
namespace {

constexpr unsigned kShards = 16;
// In a message, at the most; all that is told at once must fit into one datagram.
constexpr std::size_t kEntryBytes = 30, kCallBytes = 20, kMostBytes = 1100;

std::string key(unsigned shard) { return std::string("holds.") + "0123456789abcdef"[shard]; }

}  // namespace

bool Entry::settles(const CallId& id) const {
  return std::any_of(calls.begin(), calls.end(),
                     [&](const CallId& c) { return c.origin == id.origin && c.serial >= id.serial; });
}

std::vector<Entry> Order::take(std::uint64_t from, std::uint64_t to, std::vector<Entry> entries, bool& gap) {
  gap = from > upto_;
  if (gap || to <= upto_) return {};
  std::erase_if(entries, [&](const Entry& e) { return e.number <= upto_ || e.number > to; });
  std::sort(entries.begin(), entries.end(),
            [](const Entry& a, const Entry& b) { return a.number < b.number; });
  for (const Entry& e : entries) {
    const auto [it, fresh] = entries_.try_emplace(e.depot, e);
    if (!fresh) {
      by_number_.erase(it->second.number);
      it->second = e;
    }
    by_number_[e.number] = e.depot;
  }
  upto_ = to;
  return entries;
}

std::vector<Entry> Order::since(std::uint64_t from, std::size_t most, std::uint64_t& to) const {
  std::vector<Entry> out;
  to = upto_;
  std::size_t bytes = 0;
  for (auto it = by_number_.upper_bound(from); it != by_number_.end(); ++it) {
    const Entry& e = entries_.at(it->second);
    bytes += kEntryBytes + kCallBytes * e.calls.size();
    if (out.size() == most || (bytes > kMostBytes && !out.empty())) {
      to = out.back().number;
      break;
    }
    out.push_back(e);
  }
  return out;
}

const Entry* Order::of(depot::Id depot) const {
  const auto it = entries_.find(depot);
  return it == entries_.end() ? nullptr : &it->second;
}

std::string encode(const Shard& shard) {
  wire::Shard s;
  s.set_term(shard.term);
  for (const Entry& e : shard.entries) talk::to(e, *s.add_entries());
  return s.SerializeAsString();
}

std::optional<Shard> shard_from(const std::string& value) {
  wire::Shard s;
  Shard shard;
  if (!s.ParseFromString(value) || !talk::all_from(s.entries(), shard.entries)) return std::nullopt;
  shard.term = s.term();
  return shard;
}

std::string key_of(depot::Id depot) { return key((depot * 2654435761u) >> 28 & (kShards - 1)); }

std::vector<std::string> shard_keys() {
  std::vector<std::string> keys;
  for (unsigned i = 0; i < kShards; ++i) keys.push_back(key(i));
  return keys;
}

}  // namespace anisewick::orders
