#include "fleet/member/mover.hpp"

#include <algorithm>
#include <utility>

#include "fleet/agreement/mistakes.hpp"
#include "fleet/talk/values.hpp"

namespace anisewick::member {

using agreement::Mistake;
using agreement::mistaken;
using agreement::Seat;
using agreement::Voters;
using What = agreement::Proposer::Result::What;

std::string encode(const Voters& voters) {
  wire::Voters out;
  talk::to(voters, out);
  return out.SerializeAsString();
}

std::optional<Voters> voters_from(const std::string& value) {
  wire::Voters in;
  return in.ParseFromString(value) ? std::optional(talk::from(in)) : std::nullopt;
}

std::vector<Mover::Ask> Mover::next(const Voters& now, const std::vector<std::string>& keys) {
  std::vector<Ask> out;
  if (now.epoch == 0) return out;
  const auto ask = [&](const std::string& key, agreement::Proposer::Change change, bool copy) {
    if (asked_.insert(key).second) out.push_back({key, std::move(change), copy});
  };
  if (now.next.empty()) {
    if (!seat_ || in_.empty()) return out;
    const auto old =
        std::find_if(now.now.begin(), now.now.end(), [&](const Seat& s) { return s.name == out_; });
    const bool in_already = std::any_of(now.now.begin(), now.now.end(), [&](const Seat& s) {
      return s.id == *seat_ || (s.name == in_ && s.name != out_);
    });
    if (old == now.now.end() || in_already) {  // done, by us or by somebody before
      stop();
      return out;
    }
    Voters joint = now;
    joint.epoch = now.epoch + 1;
    joint.next = now.now;
    joint.next[static_cast<std::size_t>(old - now.now.begin())] = {in_, *seat_};
    ask(
        kVoters,
        [joint, epoch = now.epoch](const std::string& value) -> std::optional<std::string> {
          const auto there = voters_from(value);
          if (!there || there->epoch > epoch) return std::nullopt;  // another change came first
          return encode(joint);
        },
        false);
    return out;
  }
  if (epoch_ != now.epoch) {
    copied_.clear();
    epoch_ = now.epoch;
  }
  bool all = true;
  for (const std::string& key : keys) {
    if (copied_.contains(key) || mistaken(Mistake::kNoCopy)) continue;
    all = false;
    ask(
        key, [](const std::string&) { return std::nullopt; }, true);
  }
  if (!all) return out;
  Voters stable;
  stable.epoch = now.epoch + 1;
  stable.now = now.next;
  ask(
      kVoters,
      [stable, epoch = now.epoch](const std::string& value) -> std::optional<std::string> {
        const auto there = voters_from(value);
        if (!there || there->epoch > epoch) return std::nullopt;
        return encode(stable);
      },
      false);
  return out;
}

std::optional<Voters> Mover::settled(const agreement::Proposer::Result& r, const Voters& now) {
  if (asked_.erase(r.key) == 0 || r.what == What::kUnknown) return std::nullopt;
  if (r.key != kVoters) {
    copied_.insert(r.key);
    return std::nullopt;
  }
  const auto there = voters_from(r.value);
  if (!there || there->epoch <= now.epoch) return std::nullopt;
  return there;
}

void Mover::stop() {
  out_.clear();
  in_.clear();
  seat_.reset();
  asked_.clear();
  copied_.clear();
}

}  // namespace anisewick::member
