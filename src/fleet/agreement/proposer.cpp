#include "fleet/agreement/proposer.hpp"

#include <algorithm>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::agreement {
namespace {

using Kind = Message::Kind;

bool most_of(const std::vector<Seat>& seats, const std::set<std::uint64_t>& agreed) {
  const auto n = static_cast<std::size_t>(
      std::count_if(seats.begin(), seats.end(), [&](const Seat& s) { return agreed.contains(s.id); }));
  return mistaken(Mistake::kHalfIsMajority) ? 2 * n + 1 >= seats.size() : 2 * n > seats.size();
}

}  // namespace

Proposer::Proposer(std::uint64_t session, const Limits& limits, std::uint64_t seed)
    : session_(session),
      limits_(limits),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

bool Proposer::majority(const std::set<std::uint64_t>& agreed) const {
  if (!most_of(voters_.now, agreed)) return false;
  return voters_.next.empty() || mistaken(Mistake::kOneSideOnly) || most_of(voters_.next, agreed);
}

bool Proposer::know(std::uint64_t fleet, const Voters& voters) {
  if (fleet_ != 0 && fleet != fleet_) return false;
  if (voters.epoch <= voters_.epoch || voters.now.empty()) return true;
  fleet_ = fleet;
  voters_ = voters;
  held_.clear();
  // What is under way begins anew: a majority of the old epoch's is none of this one's.
  for (auto& [key, op] : ops_) {
    op.phase = Phase::kPause;
    op.until_ms = op.began_ms;
  }
  return true;
}

std::uint64_t Proposer::begin(const std::string& key, Change change, std::int64_t now_ms, Mode mode) {
  if (voters_.epoch == 0 || ops_.contains(key)) return 0;
  Op& op = ops_[key];
  op.id = ++ops_begun_;
  op.change = std::move(change);
  op.mode = mode;
  op.began_ms = now_ms;
  if (const auto held = held_.find(key); held != held_.end() && mode == Mode::kChange) {
    const Held h = held->second;
    held_.erase(held);
    if (auto value = op.change(h.value); value && h.epoch == voters_.epoch) {
      ++counters_.fast;
      op.ballot = h.next;
      op.sent = op.changed = true;
      accept(key, op, std::move(*value), now_ms);
      return ops_begun_;
    }
  }
  round(key, op, now_ms, mode == Mode::kRead ? Phase::kPeek : Phase::kPrepare);
  return ops_begun_;
}

void Proposer::round(const std::string& key, Op& op, std::int64_t now_ms, Phase phase) {
  ++counters_.rounds;
  op.phase = phase;
  op.ballot = {++highest_, session_};
  op.agreed.clear();
  op.latest = {};
  op.found.clear();
  op.same = true;
  op.until_ms = now_ms + limits_.round_ms;
  op.gap_ms = limits_.resend_ms;
  op.resend_ms = now_ms + op.gap_ms;
  ask(key, op, false);
}

void Proposer::ask(const std::string& key, Op& op, bool again) {
  Message m;
  m.kind = op.phase == Phase::kPeek      ? Kind::kPeek
           : op.phase == Phase::kPrepare ? Kind::kPrepare
                                         : Kind::kAccept;
  m.fleet = fleet_;
  m.epoch = voters_.epoch;
  m.key = key;
  m.ballot = op.ballot;
  if (op.phase == Phase::kAccept) {
    m.other = op.next;
    m.value = op.value;
  }
  if (mistaken(Mistake::kVoteFromNothing)) m.voters = voters_;
  std::set<Seat> all(voters_.now.begin(), voters_.now.end());
  all.insert(voters_.next.begin(), voters_.next.end());
  for (const Seat& seat : all) {
    if (op.agreed.contains(seat.id)) continue;
    if (again) ++counters_.resent;
    out_.push_back({seat.name, m});
  }
}

void Proposer::install(const std::string& to) {
  Message m;
  m.kind = Kind::kInstall;
  m.fleet = fleet_;
  m.voters = voters_;
  out_.push_back({to, std::move(m)});
}

void Proposer::accept(const std::string& key, Op& op, std::string value, std::int64_t now_ms) {
  op.phase = Phase::kAccept;
  op.value = std::move(value);
  highest_ = std::max(highest_, op.ballot.number) + 1;
  op.next = {highest_, session_};
  op.agreed.clear();
  op.until_ms = now_ms + limits_.round_ms;
  op.gap_ms = limits_.resend_ms;
  op.resend_ms = now_ms + op.gap_ms;
  ask(key, op, false);
}

// A majority has promised: what may have been chosen before must be what stands there now.
void Proposer::promised(const std::string& key, Op& op, std::int64_t now_ms) {
  const std::string now = mistaken(Mistake::kOwnValue) ? std::string() : op.found;
  std::optional<std::string> value = op.change(now);
  if (value && value->size() > kMostValue) value.reset();
  op.changed = value.has_value();
  // One that a whole majority has accepted stands; any other must be made to stand before it is told.
  if (!value && op.same && op.mode != Mode::kCopy) return end(key, Result::What::kLeft, now);
  op.sent = op.sent || op.changed;
  accept(key, op, value ? std::move(*value) : now, now_ms);
}

void Proposer::heard(const std::string& from, const Message& m, std::int64_t now_ms) {
  // One of the voters that never heard of it: a seat that has told of an empty disk and is among them.
  if (fleet_ != 0 && m.kind == Kind::kAbstains && m.fleet == 0) {
    const auto in = [&](const std::vector<Seat>& seats) {
      return std::find(seats.begin(), seats.end(), Seat{from, m.seat}) != seats.end();
    };
    ++counters_.abstained;
    return in(voters_.now) || in(voters_.next) ? install(from) : void();
  }
  if (m.fleet != fleet_ || fleet_ == 0) return;
  highest_ = std::max({highest_, m.ballot.number, m.other.number});
  if (m.voters && m.voters->epoch > voters_.epoch) {
    know(m.fleet, *m.voters);
    return;
  }
  const auto it = ops_.find(m.key);
  if (it == ops_.end() || it->second.phase == Phase::kPause) return;
  Op& op = it->second;
  if (m.ballot != op.ballot) return;  // of an earlier round
  const bool asks = op.phase != Phase::kAccept;
  switch (m.kind) {
    case Kind::kRefused: {
      ++counters_.refused;
      if (m.epoch < voters_.epoch) {  // it missed the change of the voters
        return install(from);
      }
      if (m.epoch != voters_.epoch || m.other <= op.ballot) return;
      return pause(op, now_ms);
    }
    case Kind::kAbstains:
      ++counters_.abstained;
      return;
    case Kind::kSeen:
    case Kind::kPromise: {
      if (!asks || m.kind != (op.phase == Phase::kPeek ? Kind::kSeen : Kind::kPromise) ||
          m.epoch != voters_.epoch || !op.agreed.insert(m.seat).second)
        return;
      if (op.agreed.size() == 1) {
        op.latest = m.other;
        op.found = m.value;
      } else {
        op.same = op.same && m.other == op.latest;
        if (m.other > op.latest && !mistaken(Mistake::kLatestNotTaken)) {
          op.latest = m.other;
          op.found = m.value;
        }
      }
      if (!majority(op.agreed)) return;
      // A peek that finds them at odds reads by ballot.
      if (op.phase == Phase::kPeek && !op.same) return round(it->first, op, now_ms);
      promised(it->first, op, now_ms);
      return;
    }
    case Kind::kAccepted: {
      if (asks || m.epoch != voters_.epoch || !op.agreed.insert(m.seat).second) return;
      if (!majority(op.agreed)) return;
      held_[it->first] = {op.next, op.value, voters_.epoch};
      const std::string value = op.value;
      return end(it->first, op.changed ? Result::What::kChanged : Result::What::kLeft, value);
    }
    default:
      return;
  }
}

void Proposer::pause(Op& op, std::int64_t now_ms) {
  op.phase = Phase::kPause;
  const std::int64_t most = limits_.backoff_ms << std::min(op.lost++, 4);
  op.until_ms = now_ms + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most + 1));
}

void Proposer::end(const std::string& key, Result::What what, const std::string& value) {
  const auto it = ops_.find(key);
  Result r;
  r.what = what;
  r.key = key;
  r.op = it->second.id;
  r.value = value;
  r.sent = it->second.sent;
  r.asked_ms = it->second.began_ms;
  if (what == Result::What::kUnknown) ++counters_.unknown;
  if (mistaken(Mistake::kFastPathAlways) && what != Result::What::kUnknown) {
    held_[key] = {{++highest_, session_}, value, voters_.epoch};
  }
  ops_.erase(it);
  results_.push_back(std::move(r));
}

void Proposer::tick(std::int64_t now_ms) {
  std::vector<std::string> given_up;
  for (auto& [key, op] : ops_) {
    if (now_ms - op.began_ms >= limits_.give_up_ms) {
      given_up.push_back(key);
    } else if (op.phase == Phase::kPause) {
      if (now_ms >= op.until_ms) round(key, op, now_ms);
    } else if (now_ms >= op.until_ms) {
      round(key, op, now_ms);
    } else if (now_ms >= op.resend_ms) {
      op.gap_ms *= 2;
      op.resend_ms = now_ms + op.gap_ms;
      ask(key, op, true);
    }
  }
  for (const std::string& key : given_up) end(key, Result::What::kUnknown, {});
}

bool Proposer::agreed(const std::string& key, std::uint64_t seat) const {
  const auto it = ops_.find(key);
  return it != ops_.end() && it->second.agreed.contains(seat);
}

std::string Proposer::fingerprint() const {
  std::string f = std::to_string(voters_.epoch) + "/" + std::to_string(highest_);
  const auto add = [&](const Ballot& b) {
    f += "," + std::to_string(b.number) + "." + std::to_string(b.proposer);
  };
  for (const auto& [key, op] : ops_) {
    f += "|" + key + std::to_string(op.id) + (op.sent ? "s" : "-") + (op.changed ? "c" : "-") +
         (op.same ? "=" : "-") + std::to_string(static_cast<int>(op.phase));
    add(op.ballot);
    add(op.next);
    add(op.latest);
    f += op.value + "/" + op.found;
  }
  for (const auto& [key, h] : held_) {
    f += "|" + key + h.value;
    add(h.next);
  }
  return f;
}

}  // namespace anisewick::agreement
