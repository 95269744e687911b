#include "fleet/orders/settler.hpp"

#include <algorithm>
#include <utility>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::orders {

using agreement::Mistake;
using agreement::mistaken;
using What = agreement::Proposer::Result::What;

void Settler::took(std::uint64_t term) {
  lost();
  term_ = term;
  for (const std::string& key : shard_keys()) to_fence_.insert(key);
}

void Settler::lost() {
  // Whose calls they are asks the next owner.
  *this = Settler();
}

bool Settler::offer(const Call& call) {
  if (term_ == 0 || calls_.size() >= kMostWaiting || !known_.insert(call.id).second) return false;
  calls_.push_back(call);
  return true;
}

agreement::Proposer::Change Settler::fence() const {
  return [term = term_](const std::string& value) -> std::optional<std::string> {
    auto shard = shard_from(value);
    if (!shard || shard->term >= term || mistaken(Mistake::kNoFence)) return std::nullopt;
    shard->term = term;
    return encode(*shard);
  };
}

agreement::Proposer::Change Settler::settle(const Call& call, std::uint64_t number,
                                            const std::function<bool(depot::Id)>& gone,
                                            const Durable& durable) const {
  return [term = term_, call, number, gone, durable](const std::string& value) -> std::optional<std::string> {
    auto shard = shard_from(value);
    if (!shard || shard->term > term) return std::nullopt;
    shard->term = term;
    auto& all = shard->entries;
    auto it = std::find_if(all.begin(), all.end(), [&](const Entry& e) { return e.depot == call.depot; });
    if (it == all.end()) it = all.insert(all.end(), Entry{call.depot, false, 0, 0, {}});
    if (it->settles(call.id) && !mistaken(Mistake::kCallTwice)) return std::nullopt;
    // A call that is forgotten while its origin may still bring it again would be settled twice.
    const auto over = [&](const CallId& c, const Entry& e) {
      const auto known = durable.find(c.origin);
      return (known != durable.end() && known->second >= e.number) || mistaken(Mistake::kCallForgotten);
    };
    std::erase_if(it->calls, [&](const CallId& c) { return c.origin == call.id.origin; });
    while (it->calls.size() >= kMostCalls) {
      const auto old =
          std::find_if(it->calls.begin(), it->calls.end(), [&](const CallId& c) { return over(c, *it); });
      if (old == it->calls.end()) break;
      it->calls.erase(old);
    }
    if (it->calls.size() >= kHardCalls) return std::nullopt;  // not now
    it->held = call.held;
    it->number = number;
    it->at_ms = call.at_ms;
    it->calls.push_back(call.id);
    std::string out = encode(*shard);
    if (out.size() > agreement::kMostValue) {
      std::erase_if(all, [&](const Entry& e) {
        return !e.held && e.depot != call.depot && gone(e.depot) &&
               std::all_of(e.calls.begin(), e.calls.end(), [&](const CallId& c) { return over(c, e); });
      });
      out = encode(*shard);
    }
    return out.size() > agreement::kMostValue ? std::nullopt : std::optional(std::move(out));
  };
}

std::vector<Settler::Ask> Settler::next(const std::function<bool(depot::Id)>& gone, const Durable& durable) {
  std::vector<Ask> out;
  if (term_ == 0) return out;
  for (const std::string& key : to_fence_) {
    if (asked_.insert(key).second) out.push_back({key, fence()});
  }
  if (!to_fence_.empty() || calls_.empty()) return out;
  const Call& call = calls_.front();
  if (const std::string key = key_of(call.depot); asked_.insert(key).second) {
    out.push_back({key, settle(call, last_ + 1, gone, durable)});
  }
  return out;
}

bool Settler::settled(const agreement::Proposer::Result& r, std::uint64_t& higher) {
  if (term_ == 0 || asked_.erase(r.key) == 0 || r.what == What::kUnknown) return true;
  const auto shard = shard_from(r.value);
  if (!shard) return true;
  if (shard->term > term_) {
    higher = shard->term;
    return false;
  }
  if (to_fence_.erase(r.key) > 0) {
    read_.insert(read_.end(), shard->entries.begin(), shard->entries.end());
    if (!to_fence_.empty()) return true;
    for (const Entry& e : read_) last_ = std::max(last_, e.number);
    advances_.push_back({0, last_, std::exchange(read_, {})});
    return true;
  }
  if (calls_.empty() || key_of(calls_.front().depot) != r.key) return true;
  const Call call = calls_.front();
  const auto& all = shard->entries;
  const auto it = std::find_if(all.begin(), all.end(), [&](const Entry& e) { return e.depot == call.depot; });
  const bool there = it != all.end() && it->settles(call.id);
  calls_.pop_front();
  known_.erase(call.id);
  if (!there && it != all.end() && it->calls.size() >= kHardCalls) return true;  // it comes again
  if (!there) {
    answers_.push_back({call.id, Verdict::kFull});
    return true;
  }
  answers_.push_back({call.id, Verdict::kSettled});
  if (it->number != last_ + 1) return true;  // it had been settled before
  ++last_;
  advances_.push_back({last_ - 1, last_, {*it}});
  return true;
}

}  // namespace anisewick::orders
