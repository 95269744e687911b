// Random legal event sequences with fixed seeds, against an independent check of the rules as far as a front
// can know them: one answer each, no unsafe repeat, no drained server, cold budgets, no copy from before a
// purge.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "anisewick/control.hpp"

namespace anisewick {
namespace {

constexpr Time kMs = 1'000'000;
constexpr Time kSec = 1'000 * kMs;

class World {
 public:
  explicit World(unsigned seed) : rng_(seed) {
    s_.seed = seed;
    for (const Repeat repeat : {Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe}) {
      ClassSettings c;
      c.aim = pick(2) ? 300 * kMs : 0;
      c.aim_stretch = pick(3);
      c.deadline = 4 * kSec;
      c.repeat = repeat;
      c.key_scope = static_cast<KeyScope>(pick(3));
      c.key_ttl = pick(2) ? kSec : 0;
      c.fresh = pick(2) ? 8 * kSec : 0;
      c.grace = pick(2) ? 10 * kSec : 0;
      c.never_kept = pick(6) == 0;
      s_.classes.push_back(c);
    }
    s_.zone = 1;
    s_.zone_hub = pick(4) ? std::vector<int>{0, 0} : std::vector<int>{};
    s_.zone_fronts = {0, 1 + pick(2)};
    s_.fronts = s_.zone_fronts[1] + pick(2);
    s_.parent_kind = pick(5) ? 1 : -1;
    s_.origin_kind = 2;
    s_.client_kb_per_s = pick(4) ? 1000.0 : 0.0;
    s_.direct = pick(2);
    s_.joins = pick(2);
    s_.push = pick(3) != 0;
    s_.second_copies = pick(2);
    s_.siblings = static_cast<Siblings>(pick(3));
    s_.notes = static_cast<Notes>(pick(3));
    s_.scales = static_cast<Scales>(pick(4));
    s_.cold_from = 0.2;
    s_.ramp = 8 * kSec;
    s_.fall_multiple = 2.0;
    s_.fall_window = kSec;
    s_.parent_cold_from = 0.1;
    s_.parent_ramp = 8 * kSec;
    s_.parent_fall_multiple = 2.0;
    s_.purge_settle = 6 * kSec;
    const int attempts = 1 + pick(6);
    for (ClassSettings& c : s_.classes) c.max_attempts = attempts;
    s_.tick = 2 * kMs;
    control_ = std::make_unique<Control>(s_);
    for (int i = 0; i < 9; ++i) {
      Member m;
      m.id = "s" + std::to_string(i);
      m.kind = i < 5 ? 0 : i < 8 ? 1 : 2;
      m.zone = i < 5 ? 1 : 0;
      m.cell = i % 2;
      m.scale = pick(8) ? 1.0 + pick(3) : 0.0;
      list_[m.id] = m;
    }
    std::vector<Member> all;
    for (const auto& [id, m] : list_) all.push_back(m);
    control_->members(now_, ListKind::kSaved, all, out_);
    check();
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ += pick(20) * s_.tick;
      expire();
      const int what = pick(100);
      if (what < 45) {
        ask();
      } else if (what < 90) {
        end(pick(9));
      } else if (what < 93) {
        change();
      } else if (what < 96) {
        purge();
      } else if (what < 98 && !open_.empty()) {
        const auto it = std::next(open_.begin(), pick(static_cast<int>(open_.size())));
        control_->abandoned(now_, it->first, out_);
        open_.erase(it);
      } else {
        control_->alarm(now_, rng_(), out_);
        control_->told(now_, 0, "x", out_);
        control_->probed(now_, "nobody", Status::kTimeout, {}, out_);
        Outcome stray;
        stray.id = 1'000'000 + static_cast<std::uint64_t>(pick(9));
        stray.attempt = pick(3) - 1;
        control_->outcome(now_, stray, out_);
      }
      check();
    }
    while (!open_.empty()) {
      now_ += 5 * s_.tick;
      expire();
    }
  }

 private:
  struct Sent {
    std::string server, source;
    Time at = 0, until = 0;
    double work = 0.0;
    bool out = true, may_have_run = true;
  };
  struct Open {
    Request r;
    std::vector<Sent> sent;
  };

  int pick(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  void ask() {
    Open o;
    o.r.id = ++ids_;
    o.r.object = 1 + static_cast<std::uint64_t>(pick(30));
    o.r.part = pick(4);
    o.r.size_kb = pick(5) ? 50 + pick(200) : 0;
    o.r.cls = pick(40) ? pick(3) : 77;
    o.r.group = static_cast<int>(o.r.object) % 5;
    o.r.give_up_at = now_ + (pick(20) ? 50 + pick(3000) : 0) * kMs;
    open_[o.r.id] = o;
    control_->request(now_, o.r, out_);
    check();
    if (open_.contains(o.r.id)) {
      EXPECT_FALSE(open_[o.r.id].sent.empty()) << "a request is left lying";
    }
  }

  void outcome_of(std::uint64_t id, std::size_t n, Status status) {
    Open& o = open_.at(id);
    Sent& t = o.sent[n];
    t.out = false;
    t.may_have_run = status != Status::kFull && status != Status::kConnectFailed && status != Status::kMoot &&
                     status != Status::kMiss;
    Outcome e;
    e.id = id;
    e.attempt = static_cast<int>(n);
    e.server = t.server;
    e.status = status;
    e.closed = status == Status::kOk;
    e.elapsed = now_ - t.at;
    e.note =
        status == Status::kOk ? static_cast<Note>(pick(6)) : static_cast<Note>(pick(2) ? 0 : 6 + pick(5));
    // A hit, and an attempt that reached no cache, asked nothing of the source.
    const bool hit = e.closed && (e.note == Note::kHit || e.note == Note::kStale);
    if (hit || status == Status::kConnectFailed || status == Status::kMoot) {
      auto& load = load_[t.source];
      const auto it = std::find(load.begin(), load.end(), std::pair{t.at, t.work});
      if (it != load.end()) load.erase(it);
    }
    if (e.closed) open_.erase(id);
    control_->outcome(now_, e, out_);
    const bool closed = e.closed;
    check();
    if (closed || !open_.contains(id)) return;
    const auto& sent = open_.at(id).sent;
    EXPECT_TRUE(std::any_of(sent.begin(), sent.end(), [](const Sent& x) { return x.out; })) << "left lying";
  }

  void end(int status) {
    if (open_.empty()) return;
    const auto it = std::next(open_.begin(), pick(static_cast<int>(open_.size())));
    for (std::size_t n = 0; n < it->second.sent.size(); ++n) {
      if (it->second.sent[n].out) return outcome_of(it->first, n, static_cast<Status>(pick(2) ? 0 : status));
    }
  }

  // The id and attempt that has run out of time, if any.
  bool overdue(std::uint64_t& id, std::size_t& n) const {
    for (const auto& [key, o] : open_) {
      for (n = 0; n < o.sent.size(); ++n) {
        id = key;
        if (o.sent[n].out && o.sent[n].until <= now_) return true;
      }
      EXPECT_GE(o.r.give_up_at + 40 * kMs, now_) << "no answer in time";
    }
    return false;
  }

  void expire() {
    std::uint64_t id = 0;
    std::size_t n = 0;
    while (overdue(id, n)) outcome_of(id, n, Status::kTimeout);
  }

  void change() {
    std::vector<Member> changed;
    const bool full = pick(4) == 0;
    for (auto& [id, m] : list_) {
      if (pick(4) == 0) {
        m.state = static_cast<State>(pick(3));
        if (m.state == State::kUp && pick(2)) {
          m.started_at = now_ - pick(1000) * kMs;
          load_[id].clear();
        }
        if (!full) changed.push_back(m);
      }
      if (full && m.state != State::kGone) changed.push_back(m);
    }
    control_->members(now_, full ? ListKind::kFull : ListKind::kChanges, changed, out_);
    if (!s_.push) control_->members(now_, ListKind::kFailed, {}, out_);
  }

  void purge() {
    Purge p;
    p.whole_group = pick(2);
    p.object = 1 + static_cast<std::uint64_t>(pick(30));
    p.group = pick(5);
    p.age = pick(300) * kMs;
    for (std::uint64_t o = 1; o <= 30; ++o) {
      const bool hit = p.whole_group ? static_cast<int>(o) % 5 == p.group : o == p.object;
      if (hit) purged_[o] = std::max(purged_[o], now_ - p.age);
    }
    control_->purged(now_, p, out_);
  }

  void cold(const std::string& id, double work) {
    const Member& m = list_.at(id);
    const bool parent = m.kind == s_.parent_kind;
    const Time age = now_ - m.started_at;
    if (m.kind == s_.origin_kind || m.started_at == 0 || age >= s_.ramp) return;
    if (s_.scales == Scales::kNone) return;  // what the front may take for its capacity is not told
    auto& load = load_[id];
    load.emplace_back(now_, work);
    double sum = 0.0;
    for (const auto& [at, w] : load) sum += at >= now_ - s_.fall_window ? w : 0.0;
    const double from = parent ? s_.parent_cold_from : s_.cold_from;
    const double share = from + (1.0 - from) * static_cast<double>(age) / static_cast<double>(s_.ramp);
    EXPECT_LE(sum, 2.0 * share * m.scale + 1e-9) << id << " is cold and pushed over";
  }

  void check() {
    const Actions actions = std::move(out_);
    out_.clear();
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Attempt>(&action)) {
        ASSERT_TRUE(open_.contains(a->id)) << "an attempt for a request that is over";
        attempt(*a, open_.at(a->id));
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        ASSERT_TRUE(open_.contains(refuse->id)) << "two answers";
        const Open& o = open_.at(refuse->id);
        const ClassSettings& c = cls(o.r);
        const bool clean =
            std::none_of(o.sent.begin(), o.sent.end(), [](const Sent& t) { return t.may_have_run; });
        const bool all = c.repeat == Repeat::kKeyed && c.key_scope == KeyScope::kAll;
        EXPECT_TRUE(clean || c.repeat == Repeat::kSafe || all) << "a refusal that promises too much";
        open_.erase(refuse->id);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        ASSERT_TRUE(open_.contains(fail->id)) << "two answers";
        open_.erase(fail->id);
      }
    }
  }

  const ClassSettings& cls(const Request& r) const {
    return s_.classes[r.cls < 3 ? static_cast<std::size_t>(r.cls) : 0];
  }

  void attempt(const Attempt& a, Open& o) {
    const ClassSettings& c = cls(o.r);
    EXPECT_EQ(list_.at(a.server).state, State::kUp) << "a drained server";
    EXPECT_EQ(list_.at(a.source).state, State::kUp) << "a drained source";
    if (list_.at(a.server).kind != 0) {
      EXPECT_TRUE(s_.direct);
    }
    EXPECT_LE(a.until, o.r.give_up_at);
    EXPECT_GT(a.until, now_);
    EXPECT_LT(static_cast<int>(o.sent.size()), s_.classes.at(0).max_attempts);
    for (const Sent& t : o.sent) {
      if (!s_.second_copies) {
        EXPECT_FALSE(t.out) << "two attempts out";
      }
      if (!t.may_have_run || c.repeat == Repeat::kSafe) continue;
      EXPECT_NE(c.repeat, Repeat::kUnsafe) << "an unsafe request was repeated";
      EXPECT_LT(now_ - t.at, c.key_ttl) << "a keyed request was repeated too late";
      if (c.key_scope == KeyScope::kCell) {
        EXPECT_EQ(list_.at(a.server).cell, list_.at(t.server).cell);
      }
      if (c.key_scope == KeyScope::kZone) {
        EXPECT_EQ(list_.at(a.server).zone, list_.at(t.server).zone);
      }
    }
    const Time purged = purged_.contains(o.r.object) ? purged_[o.r.object] : 0;
    if (purged != 0 && now_ <= purged + s_.purge_settle && !c.never_kept) {
      EXPECT_GT(a.max_age, 0) << "a purge sent as the default age";
      EXPECT_LE(a.max_age, std::max<Time>(1, now_ - purged)) << "a copy from before a purge";
    }
    const double work = s_.client_kb_per_s > 0.0 ? o.r.size_kb / s_.client_kb_per_s : 0.0;
    if (list_.at(a.server).kind == 0 && s_.parent_kind == 1 && list_.at(a.source).kind == 1)
      cold(a.source, work);
    o.sent.push_back({a.server, a.source, now_, a.until, work});
  }

  std::mt19937 rng_;
  Settings s_;
  std::unique_ptr<Control> control_;
  Time now_ = 1000 * kSec;
  std::uint64_t ids_ = 0;
  std::map<std::string, Member> list_;
  std::map<std::uint64_t, Open> open_;
  std::map<std::uint64_t, Time> purged_;
  std::map<std::string, std::deque<std::pair<Time, double>>> load_;
  Actions out_;
};

TEST(Fuzz, RandomLegalEventsKeepTheRules) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    world.run(1500);
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace anisewick
