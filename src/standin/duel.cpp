#include "standin/duel.hpp"

#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>

#include "fleet/agreement/mistakes.hpp"
#include "fleet/agreement/proposer.hpp"
#include "fleet/agreement/voter.hpp"
#include "fleet/member/mover.hpp"

namespace anisewick::standin {
namespace {

using agreement::Message;
using agreement::Proposer;
using agreement::Voter;
using What = Proposer::Result::What;

struct Flight {
  std::int64_t at = 0;
  std::uint64_t order = 0;
  bool to_voter = false;
  std::size_t to = 0, from = 0;
  Message message;
  bool operator<(const Flight& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

struct Seated {
  std::unique_ptr<Voter> voter;  // none: it is down
  Voter::Saved disk;
  std::int64_t up_at = 0;
  std::uint64_t persisted = 0, saving = 0;
  std::int64_t saved_at = 0;
  Voter::Saved under_way;
  std::vector<std::pair<std::uint64_t, Flight>> held;
};
struct Asking {
  std::unique_ptr<Proposer> proposer;
  struct Open {
    std::string key;
    Operation op;
  };
  std::map<std::uint64_t, Open> open;
  member::Mover mover;
  std::int64_t next_ms = 0;
};

class Duel {
 public:
  explicit Duel(const DuelOptions& o) : o_(o), random_(o.seed) {
    std::vector<std::uint64_t> seats;
    agreement::Voters voters;
    voters.epoch = 1;
    // One more stands by, to come in.
    for (std::size_t i = 0; i <= o.voters; ++i) {
      Seated s;
      s.disk.seat = 100 + i;
      if (i < o.voters) {
        seats.push_back(s.disk.seat);
        voters.now.push_back({name(i), s.disk.seat});
      }
      voters_.push_back(std::move(s));
    }
    const std::uint64_t fleet = agreement::fleet_of(seats);
    for (std::size_t i = 0; i <= o.voters; ++i) {
      if (i < o.voters) {
        voters_[i].disk.fleet = fleet;
        voters_[i].disk.voters = voters;
      }
      boot(i);
    }
    for (std::size_t i = 0; i < o.proposers; ++i) {
      Asking a;
      a.proposer = std::make_unique<Proposer>(1000 + i, Proposer::Limits{30, 200, 8, 700}, random_());
      a.proposer->know(fleet, voters);
      proposers_.push_back(std::move(a));
    }
  }

  DuelResult run() {
    const std::int64_t calm = o_.run_ms, end = o_.run_ms + o_.run_ms / 2;
    for (; now_ < end; now_ += 2) {
      faulty_ = now_ < calm;
      faults();
      while (!wire_.empty() && wire_.top().at <= now_) {
        const Flight f = wire_.top();
        wire_.pop();
        f.to_voter ? at_voter(f) : at_proposer(f);
      }
      for (std::size_t i = 0; i < voters_.size(); ++i) disk(i);
      for (std::size_t i = 0; i < proposers_.size(); ++i) propose(i);
    }
    for (Asking& a : proposers_) {
      for (auto& [id, open] : a.open) close(open, {});
    }
    for (const auto& [key, history] : result_.histories) {
      if (linearizable(history)) continue;
      ++result_.bad;
      if (result_.first_bad.empty()) result_.first_bad = words(key, history);
    }
    return std::move(result_);
  }

 private:
  static std::string name(std::size_t i) { return "v" + std::to_string(i); }
  double lot() { return std::uniform_real_distribution<>()(random_); }
  void boot(std::size_t i) {
    Seated& s = voters_[i];
    s.voter = std::make_unique<Voter>(name(i), s.disk, std::vector<std::string>{});
    s.persisted = s.saving = s.voter->version();
    s.held.clear();
  }

  void faults() {
    if (!faulty_) {
      for (std::size_t i = 0; i < voters_.size(); ++i) {
        if (!voters_[i].voter) boot(i);
      }
      return;
    }
    for (std::size_t i = 0; i < voters_.size(); ++i) {
      Seated& s = voters_[i];
      if (!s.voter && now_ >= s.up_at) boot(i);
      if (!o_.crashes || !s.voter || lot() > 0.0015) continue;
      s.voter.reset();
      s.up_at = now_ + static_cast<std::int64_t>(random_() % 300);
      // Its name comes back with another seat, for whatever it held is gone.
      if (o_.empties && !emptied_ && lot() < 0.3) {
        emptied_ = true;
        s.disk = {};
        s.disk.seat = 900 + i;
      }
    }
    if (o_.replaces && now_ % 900 == 300) {
      Asking& a = proposers_[random_() % proposers_.size()];
      const auto& now = a.proposer->voters().now;
      std::vector<std::size_t> outside;
      for (std::size_t i = 0; i < voters_.size(); ++i) {
        bool in = false;
        for (const auto& seat : now) in = in || seat.id == voters_[i].disk.seat;
        if (!in) outside.push_back(i);
      }
      if (!outside.empty() && !a.mover.wishes()) {
        const std::size_t in = outside[random_() % outside.size()];
        a.mover.wish(now[random_() % now.size()].name, name(in));
        a.mover.seat(voters_[in].disk.seat);
      }
    }
    // The one who replaces dies half-way, at times; another goes on.
    if (o_.replaces && lot() < 0.002) proposers_[random_() % proposers_.size()].mover.stop();
  }

  void send(Flight f) {
    if (faulty_ && lot() < o_.loss) return;
    const int copies = faulty_ && lot() < o_.twice ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      f.at = now_ + 1 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(o_.delay_ms));
      f.order = ++order_;
      wire_.push(f);
    }
  }

  void at_voter(const Flight& f) {
    Seated& s = voters_[f.to];
    if (!s.voter) return;
    auto reply = s.voter->heard("p" + std::to_string(f.from), f.message);
    if (!reply) return;
    Flight back{0, 0, false, f.from, f.to, std::move(reply->message)};
    // As Member does: the answer waits for the state as it is now.
    const std::uint64_t wait =
        agreement::mistaken(agreement::Mistake::kAnswerBeforeDisk) ? 0 : reply->version;
    if (wait <= s.persisted) return send(std::move(back));
    s.held.emplace_back(wait, std::move(back));
  }
  void disk(std::size_t i) {
    Seated& s = voters_[i];
    if (!s.voter) return;
    if (s.saving > s.persisted && now_ >= s.saved_at) {
      s.persisted = s.saving;
      s.disk = s.under_way;
      for (auto& [version, f] : std::exchange(s.held, {})) {
        if (version <= s.persisted) {
          send(std::move(f));
        } else {
          s.held.emplace_back(version, std::move(f));
        }
      }
    }
    if (s.saving == s.persisted && s.voter->version() > s.persisted) {
      s.saving = s.voter->version();
      s.under_way = s.voter->saved();
      s.saved_at = now_ + 1 + static_cast<std::int64_t>(random_() % 8);
    }
  }
  void at_proposer(const Flight& f) {
    proposers_[f.to].proposer->heard(name(f.from), f.message, now_);
    flush(f.to);
  }

  void propose(std::size_t i) {
    Asking& a = proposers_[i];
    a.proposer->tick(now_);
    std::vector<std::string> keys;
    for (std::size_t k = 0; k < o_.registers; ++k) keys.push_back("r" + std::to_string(k));
    if (o_.replaces) {
      for (auto& ask : a.mover.next(a.proposer->voters(), keys)) {
        const auto mode = ask.copy ? Proposer::Mode::kCopy : Proposer::Mode::kChange;
        if (a.proposer->begin(ask.key, std::move(ask.change), now_, mode) == 0) a.mover.again(ask.key);
      }
    }
    if (now_ >= a.next_ms && now_ < o_.run_ms + o_.run_ms / 4) {
      a.next_ms = now_ + 20 + static_cast<std::int64_t>(random_() % 400);
      begin(a, i);
    }
    flush(i);
  }
  void begin(Asking& a, std::size_t i) {
    const std::string key = "r" + std::to_string(random_() % o_.registers);
    if (result_.histories[key].size() + 12 > 64 || a.proposer->busy(key)) return;
    Asking::Open open{key, {}};
    open.op.called = now_;
    std::uint64_t id = 0;
    if (lot() < 0.4) {
      id = a.proposer->begin(
          key, [](const std::string&) { return std::nullopt; }, now_, Proposer::Mode::kRead);
    } else {
      open.op.kind = Operation::Kind::kCompareAndSet;
      open.op.expected = last_[key];
      open.op.written = std::to_string(i) + "." + std::to_string(++written_);
      id = a.proposer->begin(
          key,
          [e = open.op.expected, w = open.op.written](const std::string& now) -> std::optional<std::string> {
            return now == e ? std::optional(w) : std::nullopt;
          },
          now_);
    }
    if (id != 0) a.open[id] = std::move(open);
  }
  void flush(std::size_t i) {
    Asking& a = proposers_[i];
    for (auto& o : a.proposer->take_out()) {
      const auto to = static_cast<std::size_t>(std::stoul(o.to.substr(1)));
      send({0, 0, true, to, i, std::move(o.message)});
    }
    for (const auto& r : a.proposer->take_results()) {
      if (a.mover.asked(r.key) && !a.open.contains(r.op)) {
        if (const auto v = a.mover.settled(r, a.proposer->voters())) {
          a.proposer->know(a.proposer->fleet(), *v);
          if (v->next.empty()) ++result_.replaced;
        }
        continue;
      }
      const auto open = a.open.find(r.op);
      if (open == a.open.end()) continue;
      close(open->second, r);
      a.open.erase(open);
    }
  }
  void close(Asking::Open& open, const Proposer::Result& r) {
    Operation& op = open.op;
    ++result_.operations;
    if (r.what == What::kUnknown || (r.what == What::kLeft && r.sent)) {
      ++result_.unknown;
      if (op.kind == Operation::Kind::kRead) return;
    } else {
      op.end = r.what == What::kChanged ? Operation::End::kDone : Operation::End::kLeft;
      op.found = r.value;
      op.answered = now_;
      last_[open.key] = r.value;
    }
    result_.histories[open.key].push_back(op);
  }
  static std::string words(const std::string& key, const std::vector<Operation>& history) {
    std::string out = key + ":";
    for (const Operation& op : history) {
      out += "\n  " + std::to_string(op.called) + " to " +
             (op.end == Operation::End::kUnknown ? "?" : std::to_string(op.answered)) +
             (op.kind == Operation::Kind::kRead ? " read"
                                                : " set '" + op.expected + "' to '" + op.written + "'") +
             (op.end == Operation::End::kDone   ? " done"
              : op.end == Operation::End::kLeft ? " found '" + op.found + "'"
                                                : " unknown");
    }
    return out;
  }

  const DuelOptions o_;
  std::mt19937_64 random_;
  std::vector<Seated> voters_;
  std::vector<Asking> proposers_;
  std::priority_queue<Flight> wire_;
  std::map<std::string, std::string> last_;
  std::int64_t now_ = 0;
  std::uint64_t order_ = 0, written_ = 0;
  bool faulty_ = true, emptied_ = false;
  DuelResult result_;
};

}  // namespace

DuelResult duel(const DuelOptions& options) { return Duel(options).run(); }

}  // namespace anisewick::standin
