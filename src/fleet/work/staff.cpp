#include "fleet/work/staff.hpp"

#include <algorithm>

namespace anisewick::work {

using What = Wish::What;
using Result = agreement::Proposer::Result;

const char* word(What what) {
  static const char* const kWords[] = {"?", "take", "stop", "pause", "resume", "back", "gone", "change"};
  return kWords[static_cast<std::size_t>(what)];
}

bool Staff::wish(Wish w) {
  const bool waits = std::any_of(wishes_.begin(), wishes_.end(), [&](const Wish& o) {
    return o.what == w.what && o.job == w.job && o.machine == w.machine && o.digest == w.digest;
  });
  if (waits) return true;
  if (wishes_.size() >= kMostWishes) return false;
  wishes_.push_back(std::move(w));
  return true;
}

void Staff::done(const std::string& what) {
  said_.push_back({wishes_.front(), what});
  wishes_.pop_front();
  began_ms_ = -1;
  passed_ = false;
  written_.clear();
}

std::vector<Ask> Staff::next(const Now& now, std::int64_t now_ms, std::int64_t unix_ms) {
  if (wishes_.empty()) return {};
  if (began_ms_ < 0) began_ms_ = now_ms;
  library_.want(now_ms + 1'000);
  const Wish& w = wishes_.front();
  if (w.what == What::kGone) {
    const std::string key = roll_key(w.machine);
    if (!asked_.insert(key).second) return {};
    return {{key, [name = w.machine](const std::string& value) -> std::optional<std::string> {
               auto roll = roll_from(value);
               if (!roll || roll->erase(name) == 0) return std::nullopt;
               return encode(*roll);
             }}};
  }
  // What stood there before the call counts for nothing.
  if (library_.read_ms() < began_ms_) return {};
  const bool file = w.what == What::kTake || w.what == What::kChange;
  return file ? take(unix_ms) : change(now, unix_ms);
}

// As it was read; another's change in between leaves it, and is seen by the next read.
Ask Staff::change_of(std::size_t slot, const Board& to) {
  const std::string key = board_key(slot);
  asked_.insert(key);
  return {key, [to](const std::string& value) -> std::optional<std::string> {
            const auto stands = board_from(value);
            if (!stands || stands->version + 1 != to.version) return std::nullopt;
            Board next = to;
            next.term = stands->term;  // the owner's, which may have changed
            return encode(next);
          }};
}

std::optional<Board> Staff::claim(const Wish& w, std::size_t& slot, std::string& why,
                                  std::int64_t unix_ms) const {
  Board b;
  const auto there = library_.slot_of(w.job);
  const bool change = w.what == What::kChange;
  if (there) {
    const Board& t = library_.board(*there);
    const bool same = t.digest == w.digest;
    if (t.phase != Phase::kEnded && !change) {
      why = same ? "it is under way already"
                 : "another job of that name is under way: stop it, rename this, or change it with SIGHUP";
    } else if (t.phase == Phase::kEnded && !change && same) {
      why = "it has been done: give it another name to do it again";
    } else if (change && same) {
      why = "it has not changed";
    } else if (change && (t.after != 0 || t.phase == Phase::kClaimed)) {
      why = "it is being changed already: send SIGHUP again later";
    }
    if (change && t.phase != Phase::kEnded) {
      b.after = t.job;
      b.since_ms = t.since_ms;  // its place among the jobs stays
    }
  }
  if (change && b.after == 0) why = "no job of that name is under way: take it";
  if (!why.empty()) return std::nullopt;
  std::set<std::uint64_t> followed;
  for (std::size_t s = 0; s < kSlots; ++s) followed.insert(library_.board(s).after);
  std::optional<std::size_t> place;
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& o = library_.board(s);
    if (o.phase != Phase::kNone && (o.phase != Phase::kEnded || followed.contains(o.job))) continue;
    if (!place || std::pair(o.phase, o.since_ms) <
                      std::pair(library_.board(*place).phase, library_.board(*place).since_ms)) {
      place = s;
    }
  }
  if (!place) {
    why = "eight jobs are under way: ask again when one has ended";
    return std::nullopt;
  }
  slot = *place;
  b.version = library_.board(slot).version + 1;
  b.job = w.id;
  b.digest = w.digest;
  b.name = w.job;
  b.phase = Phase::kClaimed;
  b.parts = (w.file.size() + kPartBytes - 1) / kPartBytes;
  if (b.since_ms == 0) b.since_ms = unix_ms;
  return b;
}

std::vector<Ask> Staff::take(std::int64_t unix_ms) {
  const Wish& w = wishes_.front();
  if (!passed_) {
    // Ours, from before a restart, or by an answer that was lost.
    for (std::size_t s = 0; s < kSlots && !passed_; ++s) {
      if (library_.board(s).job != w.id) continue;
      if (library_.board(s).phase != Phase::kClaimed) return done("it is under way"), std::vector<Ask>{};
      slot_ = s;
      passed_ = true;
    }
  }
  if (!passed_) {
    std::string why;
    std::size_t slot = 0;
    const auto board = claim(w, slot, why, unix_ms);
    if (!board) return done(why), std::vector<Ask>{};
    if (asked_.contains(board_key(slot))) return {};
    return {change_of(slot, *board)};
  }
  const Board& b = library_.board(slot_);
  if (b.job != w.id) return done("it was stopped before it began"), std::vector<Ask>{};
  std::vector<Ask> out;
  for (std::size_t p = 0; p < b.parts; ++p) {
    if (written_.contains(p) || !asked_.insert(part_key(slot_, p)).second) continue;
    const std::string bytes = encode(Part{w.id, w.file.substr(p * kPartBytes, kPartBytes)});
    out.push_back({part_key(slot_, p), [bytes](const std::string& value) -> std::optional<std::string> {
                     if (value == bytes) return std::nullopt;
                     return bytes;
                   }});
  }
  if (written_.size() < b.parts || asked_.contains(board_key(slot_))) return out;
  if (b.phase != Phase::kClaimed) return done("it is under way"), std::vector<Ask>{};
  const auto job = job_from(w.file);
  if (!job) return done("its file cannot be read"), std::vector<Ask>{};
  Board next = b;
  ++next.version;
  next.phase = Phase::kRunning;
  next.states.assign(job->wanted, State::kWaiting);
  out.push_back(change_of(slot_, next));
  return out;
}

std::vector<Ask> Staff::change(const Now& now, std::int64_t unix_ms) {
  const Wish& w = wishes_.front();
  auto slot = library_.slot_of(w.job);
  if (!slot) return done("nobody has heard of it"), std::vector<Ask>{};
  // What is out of a job that was changed is still on the board that it was taken out by.
  const Active* a = w.what == What::kBack ? now.of(w.machine) : nullptr;
  if (a != nullptr && library_.board(a->slot).name == w.job) slot = a->slot;
  if (asked_.contains(board_key(*slot))) return {};
  Board b = library_.board(*slot);
  if (b.phase == Phase::kEnded) return done("it has ended"), std::vector<Ask>{};
  const auto phase = [&](Phase to, const char* why) {
    b.phase = to;
    b.why = why;
  };
  if (w.what == What::kStop) {
    if (b.phase == Phase::kStopping) return done("it is stopping"), std::vector<Ask>{};
    // One that was never written whole has nothing to bring back.
    phase(b.phase == Phase::kClaimed ? Phase::kEnded : Phase::kStopping, "staff say so");
  } else if (w.what == What::kPause || w.what == What::kResume) {
    const bool pause = w.what == What::kPause;
    const Phase from = pause ? Phase::kRunning : Phase::kPaused,
                to = pause ? Phase::kPaused : Phase::kRunning;
    if (b.phase == to) return done(pause ? "it is paused" : "it goes on"), std::vector<Ask>{};
    if (b.phase != from) return done(std::string("it is ") + word(b.phase)), std::vector<Ask>{};
    phase(to, "staff say so");
  } else {
    if (a == nullptr || a->slot != *slot) return done("it is not in progress"), std::vector<Ask>{};
    if (!left_alone(a->state)) return done(std::string("it is ") + word(a->state)), std::vector<Ask>{};
    if (!b.returned.insert(a->place).second) return done("it is taken for back"), std::vector<Ask>{};
  }
  (void)unix_ms;
  ++b.version;
  return {change_of(*slot, b)};
}

void Staff::settled(const Result& r) {
  if (asked_.erase(r.key) == 0 || r.what == Result::What::kUnknown || wishes_.empty()) return;
  const Wish& w = wishes_.front();
  if (w.what == What::kGone && r.key == roll_key(w.machine)) return done("its name is off the list");
  if ((w.what == What::kTake || w.what == What::kChange) && r.key.starts_with(board_key(slot_) + ".")) {
    const auto part = part_from(r.value);
    if (part && part->job == w.id) written_.insert(static_cast<std::size_t>(r.key.back() - '0'));
  }
  // What became of a board is seen in the library: the next look finds it done, or tries again.
}

}  // namespace anisewick::work
