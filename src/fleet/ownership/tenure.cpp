#include "fleet/ownership/tenure.hpp"

#include <algorithm>
#include <utility>

#include "fleet/agreement/mistakes.hpp"
#include "talk.pb.h"

namespace anisewick::ownership {

using agreement::Mistake;
using agreement::mistaken;
using What = agreement::Proposer::Result::What;

std::string encode(const Lease& lease) {
  wire::Lease l;
  l.set_owner(lease.owner);
  l.set_session(lease.session);
  l.set_term(lease.term);
  l.set_renewal(lease.renewal);
  l.set_length_ms(static_cast<std::uint32_t>(lease.length_ms));
  return l.SerializeAsString();
}

std::optional<Lease> lease_from(const std::string& value) {
  wire::Lease l;
  if (!l.ParseFromString(value)) return std::nullopt;
  return Lease{l.owner(), l.session(), l.term(), l.renewal(), l.length_ms()};
}

Tenure::Tenure(std::string self, std::uint64_t session, const Limits& limits, std::uint64_t seed)
    : self_(std::move(self)), session_(session), limits_(limits), random_(seed) {}

std::int64_t Tenure::jitter(std::int64_t most) {
  return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, most)));
}

void Tenure::observe(const Lease& lease, std::int64_t now_ms) {
  if (lease == seen_ && seen_ms_ >= 0) return;
  seen_ = lease;
  seen_ms_ = now_ms;
}

std::int64_t Tenure::over_ms(int rank) const {
  const std::int64_t wait = rank * limits_.rank_ms;
  if (seen_.owner.empty()) return seen_ms_ + wait;
  std::int64_t length = std::max(limits_.lease_ms, seen_.length_ms);
  if (mistaken(Mistake::kRivalTooEarly)) length /= 2;
  if (!mistaken(Mistake::kDriftForgotten)) length += length * limits_.drift_ppm / 1'000'000 + 1;
  return seen_ms_ + length + wait;
}

Tenure::Step Tenure::next(const View& view, std::int64_t now_ms) {
  if (mine_) {
    if (view.give_up) return Step::kRelease;
    if (now_ms < renew_ms_) return Step::kNone;
    renew_ms_ = now_ms + limits_.pause_ms + jitter(limits_.pause_ms);
    return Step::kRenew;
  }
  const bool near = view.rank >= 0 && view.rank < 3;
  if (!view.fit || (!near && !view.look_often)) return Step::kNone;
  if (now_ms < look_ms_) return Step::kNone;
  const int rank = near ? view.rank : 4;
  look_ms_ = now_ms + limits_.lease_ms / (near ? 8 : 4) + jitter(limits_.lease_ms / 16);
  if (seen_ms_ < 0) return Step::kRead;
  if (const std::int64_t over = over_ms(rank); now_ms < over) {
    // The moment at which it is over is not slept through; until then a look now and then.
    look_ms_ = std::min(look_ms_, over);
    return Step::kRead;
  }
  look_ms_ = now_ms + limits_.pause_ms + jitter(4 * limits_.pause_ms);
  return Step::kTake;
}

agreement::Proposer::Change Tenure::change(Step step) {
  const auto to = [this](std::uint64_t term, std::uint64_t renewal) {
    return Lease{self_, session_, term, renewal, limits_.lease_ms};
  };
  switch (step) {
    case Step::kTake: {
      // A number for each try, also for one whose outcome is never known.
      const std::uint64_t renewal = ++renewal_;
      return [to, renewal, seen = seen_, floor = floor_,
              session = session_](const std::string& value) -> std::optional<std::string> {
        const auto now = lease_from(value);
        if (!now) return std::nullopt;
        if (now->session == session && now->renewal == renewal) return std::nullopt;  // done in a lost round
        if (!now->owner.empty() && *now != seen) return std::nullopt;
        const std::uint64_t raise = mistaken(Mistake::kTermNotRaised) && now->term > 0 ? 0 : 1;
        return encode(to(std::max(now->term, floor) + raise, renewal));
      };
    }
    case Step::kRenew: {
      const std::uint64_t renewal = mistaken(Mistake::kRenewalUnseen) ? renewal_ : ++renewal_;
      return [to, renewal, term = term_,
              session = session_](const std::string& value) -> std::optional<std::string> {
        const auto now = lease_from(value);
        if (!now || now->session != session || now->term != term) return std::nullopt;
        return encode(to(term, renewal));
      };
    }
    case Step::kRelease:
      return [term = term_, session = session_](const std::string& value) -> std::optional<std::string> {
        auto now = lease_from(value);
        if (!now || now->session != session || now->term != term) return std::nullopt;
        now->owner.clear();
        return encode(*now);
      };
    default:
      return [](const std::string&) -> std::optional<std::string> { return std::nullopt; };
  }
}

Tenure::Change Tenure::settled(Step step, const agreement::Proposer::Result& r, std::int64_t now_ms) {
  if (r.what == What::kUnknown) return look(now_ms);
  const auto lease = lease_from(r.value);
  if (!lease) return Change::kNone;
  observe(*lease, now_ms);
  const bool mine = lease->session == session_ && lease->owner == self_;
  if (step == Step::kRead || (!mine && !mine_)) return look(now_ms);
  if (!mine) {
    mine_ = false;
    return step == Step::kRelease ? Change::kReleased : Change::kLost;
  }
  if (lease->term < floor_) return Change::kNone;
  // What an earlier try left there has been seen since that try: it counts from there, and is written anew.
  if (lease->renewal != renewal_) return look(now_ms);
  const std::int64_t from = mistaken(Mistake::kLeaseFromAnswer) ? now_ms : r.asked_ms;
  const std::int64_t less =
      mistaken(Mistake::kDriftForgotten) ? 0 : limits_.lease_ms * limits_.drift_ppm / 1'000'000 + 1;
  valid_until_ms_ = std::max(mine_ ? valid_until_ms_ : 0, from + limits_.lease_ms - less);
  renew_ms_ = from + limits_.lease_ms / 3 - jitter(limits_.lease_ms / 12);
  if (now_ms >= valid_until_ms_) {  // it came too late to be of use
    const bool was = std::exchange(mine_, false);
    return was ? Change::kLost : Change::kNone;
  }
  term_ = lease->term;
  return std::exchange(mine_, true) ? Change::kNone : Change::kTook;
}

Tenure::Change Tenure::refused(std::uint64_t term) {
  floor_ = std::max(floor_, term);
  if (!mine_ || term_ >= term) return Change::kNone;
  mine_ = false;
  return Change::kLost;
}

void Tenure::vacant(std::uint64_t term, std::int64_t now_ms) {
  if (mine_ || term < seen_.term) return;
  seen_.owner.clear();
  seen_.term = term;
  seen_ms_ = now_ms;
  look_ms_ = now_ms;
}

Tenure::Change Tenure::look(std::int64_t now_ms) {
  if (!mine_ || now_ms < valid_until_ms_) return Change::kNone;
  mine_ = false;
  return Change::kLost;
}

}  // namespace anisewick::ownership
