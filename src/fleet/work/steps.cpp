#include "fleet/work/steps.hpp"

#include <algorithm>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::work {

using agreement::Mistake;
using agreement::mistaken;
using What = agreement::Proposer::Result::What;

namespace {

constexpr std::int64_t kFreshMs = 3'000;  // what was said longer ago is not taken for what is
constexpr std::int64_t kLaterMs = 5'000;  // a machine that somebody needs is not announced again before
constexpr std::size_t kMostSeen = 64;     // pictures whose time is kept
constexpr std::size_t kMostEnded = 16;    // processes of one name
constexpr double kLeastFills = 0.02;      // a share of fills this small is warm in any case

bool in_use(State s) { return s == State::kAnnounced || s == State::kAsked || s == State::kDraining; }

}  // namespace

void Steps::took(std::uint64_t term, std::int64_t now_ms) {
  lost();
  term_ = term;
  to_fence_.insert(kNowKey);
  for (std::size_t s = 0; s < kSlots; ++s) to_fence_.insert(board_key(s));
  trouble_until_ms_ = now_ms;
}

void Steps::lost() {
  term_ = 0;
  to_fence_.clear();
  asked_.clear();
  now_ = {};
  seen_ms_.clear();
  heard_.clear();
  roll_.clear();
  roll_for_ = rolling_for_ = 0;
  rolls_left_.clear();
  later_.clear();
  cold_.clear();
  plans_.clear();
  wanted_back_.clear();
  trouble_.clear();
}

void Steps::heard(const std::string& name, const Word& word, std::int64_t now_ms) {
  if (term_ == 0) return;
  Heard& h = heard_[name];
  // Of one process a lower number is an older message; what an ended one said comes too late.
  if (h.word.session == word.session && word.number < h.word.number) return;
  if (h.ended.contains(word.session)) return;
  if (h.at_ms != 0 && h.word.session != word.session) {
    if (h.ended.size() >= kMostEnded) h.ended.clear();
    h.ended.insert(h.word.session);
  }
  h.word = word;
  h.at_ms = now_ms;
  for (const Line& l : word.lines) {
    const Active* a = now_.of(l.machine);
    if (a == nullptr || a->state != State::kWarming || word.number < a->number) continue;
    cold_[l.machine].try_emplace(name, l.answers, l.fills);
  }
}

agreement::Proposer::Change Steps::fence(const std::string& key) const {
  if (key == kNowKey) {
    return [term = term_](const std::string& value) -> std::optional<std::string> {
      auto now = now_from(value);
      if (!now || now->term >= term) return std::nullopt;
      now->term = term;
      return encode(*now);
    };
  }
  return [term = term_](const std::string& value) -> std::optional<std::string> {
    auto board = board_from(value);
    if (!board || board->term >= term) return std::nullopt;
    board->term = term;
    return encode(*board);
  };
}

std::vector<Ask> Steps::next(std::int64_t now_ms, std::int64_t unix_ms) {
  std::vector<Ask> out;
  if (term_ == 0) return out;
  library_.want(now_ms + 1'000);
  for (const std::string& key : to_fence_) {
    if (asked_.insert(key).second) out.push_back({key, fence(key)});
  }
  if (!to_fence_.empty()) return out;
  rolls(out);
  boards(out, now_ms, unix_ms);
  if (asked_.contains(kNowKey)) return out;
  Now next = now_;
  ++next.number;
  next.term = term_;
  const bool moved = advance(next, now_ms, unix_ms);
  const std::size_t before = next.active.size();
  announce(next, now_ms, unix_ms);
  if (!moved && next.active.size() == before) return out;
  asked_.insert(kNowKey);
  // Told by what it finds whether it was done in a lost round.
  out.push_back({kNowKey,
                 [term = term_, number = now_.number,
                  bytes = encode(next)](const std::string& value) -> std::optional<std::string> {
                   const auto stands = now_from(value);
                   if (!stands || stands->number != number) return std::nullopt;
                   if (stands->term > term && !mistaken(Mistake::kWorkNotFenced)) return std::nullopt;
                   return bytes;
                 }});
  return out;
}

bool Steps::settled(const agreement::Proposer::Result& r, std::int64_t now_ms, std::uint64_t& higher) {
  if (term_ == 0 || asked_.erase(r.key) == 0 || r.what == What::kUnknown) return true;
  if (r.key.starts_with("work.roll.")) {
    const auto roll = roll_from(r.value);
    if (!roll || rolls_left_.erase(r.key) == 0) return true;
    rolling_.insert(roll->begin(), roll->end());
    if (rolls_left_.empty()) {
      roll_ = std::exchange(rolling_, {});
      roll_for_ = std::exchange(rolling_for_, 0);
      std::erase_if(heard_, [&](const auto& kv) { return !roll_.contains(kv.first); });
    }
    return true;
  }
  const auto now = r.key == kNowKey ? now_from(r.value) : std::nullopt;
  const auto board = r.key == kNowKey ? std::nullopt : board_from(r.value);
  if (!now && !board) return true;
  const std::uint64_t term = now ? now->term : board->term;
  if (term > term_) {
    higher = term;
    return false;
  }
  to_fence_.erase(r.key);
  if (!now) return true;
  for (const Active& a : now->active) {
    const Active* was = now_.of(a.machine);
    if (was == nullptr || was->state != a.state) changes_.push_back({a.machine, word(a.state), {}});
    if (was != nullptr && was->state != a.state && a.state == State::kWarming) cold_.erase(a.machine);
  }
  for (const Active& a : now_.active) {
    if (now->of(a.machine) == nullptr) {
      const Board& b = library_.board(a.slot);
      const State end = a.place < b.states.size() ? b.states[a.place] : State::kWaiting;
      changes_.push_back({a.machine, word(end), {}});
    }
  }
  if (now_.active.empty() || now_.number == 0) busy_since_ms_ = now_ms;
  now_ = *now;
  // The earliest moment at which it is known to stand: whoever asks after it finds it or a later one.
  seen_ms_.emplace(now_.number, now_ms);
  while (seen_ms_.size() > kMostSeen) seen_ms_.erase(seen_ms_.begin());
  return true;
}

void Steps::rolls(std::vector<Ask>& out) {
  if (mistaken(Mistake::kRollUnread) && roll_for_ != 0) roll_for_ = now_.number;
  std::uint64_t newest = 0;
  for (const Active& a : now_.active) {
    if (in_use(a.state)) newest = std::max(newest, a.number);
  }
  if (newest > roll_for_ && rolling_for_ == 0) {
    rolling_for_ = now_.number;
    rolling_.clear();
    for (std::size_t r = 0; r < kRolls; ++r) rolls_left_.insert(roll_key(r));
  }
  for (const std::string& key : rolls_left_) {
    if (!asked_.insert(key).second) continue;
    out.push_back({key, [](const std::string&) -> std::optional<std::string> { return std::nullopt; }, true});
  }
}

// ---- What is known of the doormans.

bool Steps::fresh(const std::string& name, std::int64_t now_ms) const {
  const auto it = heard_.find(name);
  return it != heard_.end() && now_ms - it->second.at_ms <= kFreshMs;
}

bool Steps::behind(const std::string& name) const {
  const auto it = heard_.find(name);
  return it == heard_.end() || it->second.word.number < now_.number;
}

// Every permit from before that picture is over, and what was sent by one has ended.
bool Steps::lapsed(std::uint64_t number, std::int64_t now_ms) const {
  auto it = seen_ms_.lower_bound(number);
  if (it == seen_ms_.end()) return false;
  const std::int64_t permit = times_.permit_ms + 2 * times_.permit_ms * times_.drift_ppm / 1'000'000 + 1;
  return now_ms >= it->second + permit + times_.longest_ms;
}

std::vector<std::string> Steps::unheeded(std::uint64_t number, std::int64_t now_ms, bool lapse) const {
  std::vector<std::string> out;
  for (const std::string& name : roll_) {
    const auto it = heard_.find(name);
    if (it != heard_.end() && it->second.word.number >= number) continue;
    if (lapse && lapsed(number, now_ms)) continue;
    if (mistaken(Mistake::kSilenceConfirms) && !fresh(name, now_ms)) continue;
    out.push_back(name);
  }
  return out;
}

bool Steps::open_somewhere(const Active& a, std::int64_t now_ms) const {
  if (mistaken(Mistake::kOpenIgnored)) return false;
  for (const std::string& name : roll_) {
    const auto it = heard_.find(name);
    if (it == heard_.end() || it->second.word.number < a.number) continue;
    const Line* l = it->second.word.of(a.machine);
    // Who has fallen silent since can have nothing open for ever.
    if (l != nullptr && l->open > 0 && (fresh(name, now_ms) || !lapsed(a.number, now_ms))) return true;
  }
  return false;
}

bool Steps::needed(const Active& a) const {
  for (const auto& [name, h] : heard_) {
    if (h.word.number < a.number) continue;
    if (const Line* l = h.word.of(a.machine); l != nullptr && l->needed) return true;
  }
  return false;
}

std::int64_t Steps::born(const std::string& machine) const {
  std::int64_t latest = 0;
  for (const auto& [name, h] : heard_) {
    if (const Line* l = h.word.of(machine); l != nullptr) latest = std::max(latest, l->born_ms);
  }
  return latest;
}

bool Steps::confirmed(const Active& a, std::int64_t now_ms) const {
  if (a.kind == Kind::kDoorman) {
    const auto it = heard_.find(a.machine);
    return it != heard_.end() && it->second.word.number >= a.number && it->second.word.session == a.session &&
           it->second.word.idle;
  }
  return roll_for_ >= a.number && unheeded(a.number, now_ms, true).empty() && !open_somewhere(a, now_ms);
}

bool Steps::returned(const Active& a, const Job& job) const {
  if (library_.board(a.slot).returned.contains(a.place)) return true;
  if (a.kind == Kind::kDoorman) {
    const auto it = heard_.find(a.machine);
    return it != heard_.end() && it->second.word.session != a.session && it->second.word.number >= a.number &&
           it->second.word.up;
  }
  for (const auto& [name, h] : heard_) {
    const Line* l = h.word.of(a.machine);
    if (l == nullptr || h.word.number < a.number) continue;
    if (l->born_ms > a.born_ms) return true;
    if (l->gone && job.action == Action::kReplace) return true;
  }
  return false;
}

bool Steps::warm(const Active& a, const Job& job, std::int64_t unix_ms) {
  if (a.kind == Kind::kDoorman) return true;
  if (unix_ms >= a.since_ms + job.warm_within_ms) return true;
  std::uint64_t answers = 0, fills = 0;
  for (const auto& [name, from] : cold_[a.machine]) {
    const auto it = heard_.find(name);
    const Line* l = it == heard_.end() ? nullptr : it->second.word.of(a.machine);
    if (l == nullptr || l->answers < from.first || l->fills < from.second) continue;
    answers += l->answers - from.first;
    fills += l->fills - from.second;
  }
  if (answers < job.warm_answers) return false;
  const double share = static_cast<double>(fills) / static_cast<double>(answers);
  if (share <= std::max(kLeastFills, job.warm_fills * a.usual / 1000.0)) return true;
  cold_.erase(a.machine);  // counted anew: what it was at first does not stay
  return false;
}

bool Steps::overruled(const Active& a) const {
  if (a.kind == Kind::kDoorman) return false;
  const auto [held, number] = sees_.staff(a.machine);
  return !held && number > a.orders;
}

std::set<std::string> Steps::in_other_jobs(std::size_t slot) const {
  std::set<std::string> out;
  const Board& own = library_.board(slot);
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& b = library_.board(s);
    const Job* job = library_.job(s);
    if (s == slot || job == nullptr || b.phase < Phase::kRunning || b.phase == Phase::kEnded) continue;
    if (std::pair(b.since_ms, b.job) > std::pair(own.since_ms, own.job)) continue;  // it came later
    for (std::size_t p = 0; p < job->wanted && p < b.states.size(); ++p) {
      if (!final(b.states[p])) out.insert(job->id(p));
    }
  }
  return out;
}

bool Steps::away(const Machine& m, std::int64_t now_ms) const {
  if (m.kind == Kind::kDoorman) {
    if (fresh(m.id, now_ms)) return !heard_.at(m.id).word.up;
    // While nothing is in progress doormans say nothing; silence counts from when they should have.
    return now_ms - busy_since_ms_ > kFreshMs;
  }
  return !sees_.ready(m.id) || sees_.staff(m.id).first || !ill(m.id, now_ms).empty();
}

std::vector<std::string> Steps::ill(const std::string& depot, std::int64_t now_ms) const {
  std::vector<std::string> by;
  std::vector<std::uint32_t> rows;
  std::size_t speak = 0;
  for (const auto& [name, h] : heard_) {
    if (!fresh(name, now_ms)) continue;
    ++speak;
    for (const auto& [id, in_a_row] : h.word.ill) {
      if (id != depot) continue;
      by.push_back(name);
      rows.push_back(in_a_row);
    }
  }
  if (!work::ill(speak, rows)) by.clear();
  return by;
}

// The term that is broken, and by whom, some of them.
std::string Steps::trouble_of(const Job& job, Term term, const Facts& facts, std::int64_t now_ms) const {
  std::string out = std::string(word(term)) + " of " + job.name + " with";
  std::size_t named = 0;
  for (const Machine& m : facts.machines) {
    if (!m.away || now_.of(m.id) != nullptr || ++named > 4) continue;
    out += " " + m.id + (ill(m.id, now_ms).empty() ? " away" : " ill");
  }
  return named == 0 ? out + " what is out" : out;
}

std::string Steps::trouble(std::int64_t now_ms) const {
  return now_ms < trouble_until_ms_ ? trouble_ : std::string();
}

Facts Steps::facts_now(std::size_t slot, const Job& job, const Now& now, std::int64_t now_ms) const {
  Facts facts = job.facts;
  const Board& b = library_.board(slot);
  for (std::size_t i = 0; i < facts.machines.size(); ++i) {
    Machine& m = facts.machines[i];
    const Active* a = now.of(m.id);
    const auto later = later_.find(m.id);
    m.away = a != nullptr ? a->slot != slot || a->state == State::kFailed : away(m, now_ms);
    m.wanted = i < job.wanted && i < b.states.size() && b.states[i] == State::kWaiting && a == nullptr &&
               !m.away && (later == later_.end() || now_ms >= later->second);
  }
  return facts;
}

// ---- What is to change.

void Steps::boards(std::vector<Ask>& out, std::int64_t now_ms, std::int64_t unix_ms) {
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& b = library_.board(s);
    const Job* job = library_.job(s);
    const std::string key = board_key(s);
    if (b.phase < Phase::kRunning || b.phase == Phase::kEnded || job == nullptr || asked_.contains(key))
      continue;
    Board n = b;
    n.states.resize(job->wanted, State::kWaiting);
    const auto phase = [&](Phase to, const std::string& why) {
      n.phase = to;
      n.why = why;
    };
    if (n.phase == Phase::kRunning && job->latest_ms != 0 && unix_ms >= job->latest_ms) {
      phase(Phase::kStopping, "its latest time has passed");
    }
    if (n.after != 0 && !follow(s, *job, n)) continue;
    if (n.phase != Phase::kStopping && followed(b.job)) phase(Phase::kStopping, "its file was changed");
    const std::set<std::string> others = in_other_jobs(s);
    bool open = n.after != 0;
    for (std::size_t p = 0; p < job->wanted; ++p) {
      const std::string& id = job->id(p);
      const Active* a = now_.of(id);
      if (a != nullptr && a->slot != s) a = nullptr;
      State& state = n.states[p];
      if (n.after != 0) break;
      if (a != nullptr) {
        if (overruled(*a)) {
          state = State::kSkipped;
        } else if (a->state == State::kFailed && state == State::kWaiting) {
          state = State::kFailed;
          if (job->halt_on_failure && n.phase == Phase::kRunning) {
            phase(Phase::kPaused, id + " has not come back in time");
          }
        } else if (a->state == State::kOut && job->action == Action::kLeaveOut) {
          if (sees_.staff(id).first) {
            state = State::kDone;
          } else if (later_.try_emplace("hold " + id, now_ms).second) {
            holds_.push_back(id);
          }
        } else if (a->state == State::kWarming && warm(*a, *job, unix_ms)) {
          state = State::kDone;
        }
        if (!final(state) || a != nullptr) open = true;
        continue;
      }
      if (state == State::kWaiting) {
        if (n.phase == Phase::kStopping) {
          state = State::kStopped;
        } else if (others.contains(id)) {
          state = State::kSkipped;
          n.why = id + " is in another job";
        } else if (job->facts.machines[p].kind != Kind::kDoorman && sees_.staff(id).first) {
          state = State::kSkipped;
          n.why = id + " is held by staff";
        }
      }
      if (state == State::kWaiting) open = true;
    }
    if (!open) phase(Phase::kEnded, n.why);
    if (n.phase != b.phase) n.since_ms = n.phase == Phase::kEnded ? unix_ms : n.since_ms;
    if (n.states == b.states && n.phase == b.phase && n.why == b.why && n.after == b.after) continue;
    n.term = term_;
    ++n.version;
    asked_.insert(key);
    out.push_back({key,
                   [term = term_, version = b.version,
                    bytes = encode(n)](const std::string& value) -> std::optional<std::string> {
                     const auto stands = board_from(value);
                     if (!stands || stands->version != version || stands->term > term) return std::nullopt;
                     return bytes;
                   }});
  }
}

bool Steps::followed(std::uint64_t job) const {
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& b = library_.board(s);
    if (b.after == job && b.phase >= Phase::kRunning && b.phase != Phase::kEnded) return true;
  }
  return false;
}

// A changed file takes over once all that was in progress by the one before has come to its end: what is done
// is done, and the rest begins anew. False: nothing is to be changed yet.
bool Steps::follow(std::size_t slot, const Job& job, Board& n) const {
  if (n.phase == Phase::kStopping) {
    n.after = 0;
    return true;
  }
  const auto before = library_.slot_by(n.after);
  if (!before) {
    n.after = 0;
    n.phase = Phase::kPaused;
    n.why = "what it follows is no longer known: look at its machines, then resume or stop it";
    return true;
  }
  const Board& b = library_.board(*before);
  if (b.phase != Phase::kEnded) return false;
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& o = library_.board(s);
    if (s == slot || s == *before || o.name != n.name || o.after != 0 || o.phase < Phase::kRunning ||
        o.phase == Phase::kEnded) {
      continue;
    }
    n.after = 0;
    n.phase = Phase::kStopping;
    n.why = "another change of it came first";
    return true;
  }
  const Job* was = library_.job(*before);
  if (was == nullptr) return false;
  for (std::size_t p = 0; p < job.wanted; ++p) {
    for (std::size_t q = 0; q < was->wanted && q < b.states.size(); ++q) {
      if (was->id(q) == job.id(p) && b.states[q] == State::kDone) n.states[p] = State::kDone;
    }
  }
  n.after = 0;
  n.why = "its changed file is in force";
  return true;
}

bool Steps::advance(Now& next, std::int64_t now_ms, std::int64_t unix_ms) {
  bool moved = false;
  // Trouble: with those that are asked, less would be borne than the job says. They are put back.
  std::set<std::size_t> trouble;
  const std::string unrest = sees_.unrest();
  if (!unrest.empty()) trouble_until_ms_ = now_ms + times_.calm_ms, trouble_ = unrest;
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Job* job = library_.job(s);
    if (job == nullptr) continue;
    const Facts facts = facts_now(s, *job, now_, now_ms);
    std::vector<std::size_t> out;
    bool any = false;
    for (std::size_t i = 0; i < facts.machines.size(); ++i) {
      const Active* a = now_.of(facts.machines[i].id);
      if (a == nullptr || a->slot != s || a->state == State::kFailed) continue;
      out.push_back(i);
      any = any || in_use(a->state);
    }
    const std::vector<Term> terms = forbids(facts, job->terms, out);
    if (terms.empty() && unrest.empty()) {
      wanted_back_.erase(s);
      continue;
    }
    if (unrest.empty()) trouble_ = trouble_of(*job, terms.front(), facts, now_ms);
    // What is out already cannot be taken back, only asked for.
    if (wanted_back_.insert(s).second) {
      for (const std::size_t i : out) {
        const Active* a = now_.of(facts.machines[i].id);
        if (a->state == State::kOut) changes_.push_back({a->machine, "wanted back", trouble_});
      }
    }
    trouble_until_ms_ = now_ms + times_.calm_ms;
    if (any) trouble.insert(s);
  }
  for (auto it = next.active.begin(); it != next.active.end();) {
    Active& a = *it;
    const Board& b = library_.board(a.slot);
    const Job* job = library_.job(a.slot);
    if (job == nullptr || a.place >= b.states.size()) {
      ++it;
      continue;
    }
    const auto to = [&](State state) {
      a.state = state;
      a.number = next.number;
      a.since_ms = unix_ms;
      moved = true;
    };
    bool remove = final(b.states[a.place]);
    if (!remove && in_use(a.state)) {
      if (b.phase != Phase::kRunning || trouble.contains(a.slot)) remove = true;
      if (needed(a)) {
        remove = true;
        later_[a.machine] = now_ms + kLaterMs;
      }
    }
    if (remove) {
      it = next.active.erase(it);
      moved = true;
      continue;
    }
    switch (a.state) {
      case State::kAnnounced: {
        // All of the round at once, once each doorman that could send has heeded that it comes.
        const bool doorman = a.kind == Kind::kDoorman;
        const bool heeded = roll_for_ >= a.number && unheeded(a.number, now_ms, false).empty();
        const auto own = heard_.find(a.machine);
        if (doorman && (own == heard_.end() || own->second.word.number < a.number)) break;
        if (!doorman && !heeded && !mistaken(Mistake::kAskedUnheeded)) break;
        if (doorman && job->facts.machines[a.place].voter) {
          const auto& all = job->facts.machines;
          const bool away = std::any_of(all.begin(), all.end(), [&](const Machine& m) {
            return m.voter && m.id != a.machine && (!fresh(m.id, now_ms) || !heard_.at(m.id).word.up);
          });
          if (away) break;
        }
        if (doorman) a.session = own->second.word.session;
        std::uint64_t answers = 0, fills = 0;
        for (const auto& [name, h] : heard_) {
          if (const Line* l = h.word.of(a.machine); l != nullptr) answers += l->answers, fills += l->fills;
        }
        a.usual = answers == 0 ? 1000 : static_cast<std::uint32_t>(1000 * fills / answers);
        to(State::kAsked);
        break;
      }
      case State::kAsked:
      case State::kDraining:
        if (confirmed(a, now_ms)) {
          a.born_ms = born(a.machine);
          to(State::kOut);
        } else if (a.state == State::kAsked && roll_for_ >= a.number &&
                   unheeded(a.number, now_ms, true).empty()) {
          // The number stays: it is the one that was to be heeded.
          a.state = State::kDraining;
          moved = true;
        }
        break;
      case State::kOut:
      case State::kFailed:
        if (job->action == Action::kLeaveOut) break;
        if (returned(a, *job)) {
          to(State::kBack);
        } else if (a.state == State::kOut && unix_ms >= a.since_ms + job->back_within_ms) {
          to(State::kFailed);
        }
        break;
      case State::kBack:
        if (unheeded(a.number, now_ms, false).empty() || lapsed(a.number, now_ms)) to(State::kWarming);
        break;
      default:
        break;
    }
    ++it;
  }
  return moved;
}

void Steps::announce(Now& next, std::int64_t now_ms, std::int64_t unix_ms) {
  if (now_ms < trouble_until_ms_) return;
  std::vector<std::size_t> slots;
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Job* job = library_.job(s);
    const Board& b = library_.board(s);
    if (job == nullptr || b.phase != Phase::kRunning || b.states.size() != job->wanted || b.after != 0)
      continue;
    if (unix_ms < job->earliest_ms) continue;
    const bool busy = std::any_of(next.active.begin(), next.active.end(), [&](const Active& a) {
      // One that has failed counts until its board says so, which may halt the job.
      return a.slot == s && (a.state != State::kFailed || b.states[a.place] == State::kWaiting);
    });
    if (!busy) slots.push_back(s);
  }
  std::sort(slots.begin(), slots.end(), [&](std::size_t a, std::size_t b) {
    return std::pair(-library_.job(a)->urgency, library_.board(a).since_ms) <
           std::pair(-library_.job(b)->urgency, library_.board(b).since_ms);
  });
  for (const std::size_t s : slots) {
    const Job& job = *library_.job(s);
    const Facts facts = facts_now(s, job, next, now_ms);
    const std::set<std::string> others = in_other_jobs(s);
    auto& before = plans_[s];
    const Plan p = plan(facts, job.terms, before);
    before.clear();
    for (const auto& round : p.rounds) {
      before.emplace_back();
      for (const std::size_t i : round) before.back().push_back(facts.machines[i].id);
    }
    if (p.rounds.empty()) continue;
    if (!before.empty()) before.erase(before.begin());
    for (const std::size_t i : p.rounds.front()) {
      const Machine& m = facts.machines[i];
      if (next.active.size() >= kMostActive || next.of(m.id) != nullptr || others.contains(m.id)) continue;
      Active a;
      a.slot = s;
      a.place = i;
      a.machine = m.id;
      a.kind = m.kind;
      a.number = next.number;
      a.since_ms = unix_ms;
      a.orders = sees_.orders();
      next.active.push_back(std::move(a));
      if (encode(next).size() > agreement::kMostValue) {
        next.active.pop_back();
        break;
      }
    }
  }
}

std::string Steps::waits_for(std::size_t slot, std::size_t place, std::int64_t now_ms,
                             std::int64_t unix_ms) const {
  const Job* job = library_.job(slot);
  const Board& b = library_.board(slot);
  if (job == nullptr || place >= job->wanted || b.phase != Phase::kRunning) return {};
  if (unix_ms < job->earliest_ms) return "its earliest time";
  if (const std::string why = trouble(now_ms); !why.empty()) return "calm: " + why;
  const Machine& m = job->facts.machines[place];
  if (const auto by = ill(m.id, now_ms); !by.empty()) return "its return: no answer of it at " + by.front();
  if (away(m, now_ms)) return "its return: it is away by itself";
  if (const auto it = later_.find(m.id); it != later_.end() && now_ms < it->second) {
    return "others of its kind: there is too little else where it is needed";
  }
  return "its round";
}

std::string Steps::waits_for(const Active& a, std::int64_t now_ms) const {
  const auto names = [](const std::vector<std::string>& all) {
    std::string out;
    for (std::size_t i = 0; i < all.size() && i < 5; ++i) out += (i == 0 ? "" : ", ") + all[i];
    return all.size() > 5 ? out + " and " + std::to_string(all.size() - 5) + " more" : out;
  };
  switch (a.state) {
    case State::kAnnounced:
    case State::kAsked: {
      const auto missing = unheeded(a.number, now_ms, a.state == State::kAsked);
      if (!missing.empty()) return "unconfirmed: " + names(missing);
      return roll_for_ < a.number ? "the list of doormans" : "";
    }
    case State::kDraining: {
      std::vector<std::string> open;
      for (const auto& [name, h] : heard_) {
        const Line* l = h.word.of(a.machine);
        if (l != nullptr && l->open > 0) open.push_back(name);
      }
      return "open at " + names(open);
    }
    case State::kOut:
      return wanted_back_.contains(a.slot) ? "its return, which is urgent: " + trouble_ : "its return";
    case State::kFailed:
      return "its return, which is overdue";
    case State::kWarming:
      return "fewer fills";
    default:
      return "";
  }
}

}  // namespace anisewick::work
