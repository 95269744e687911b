#include "standin/explorer.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <utility>

#include "fleet/agreement/mistakes.hpp"
#include "fleet/agreement/proposer.hpp"
#include "fleet/agreement/voter.hpp"
#include "standin/histories.hpp"

namespace anisewick::standin {
namespace {

using agreement::Message;
using agreement::Proposer;
using agreement::Voter;
using What = Proposer::Result::What;

constexpr std::size_t kVoters = 3, kProposers = 2;
constexpr std::int64_t kRound = 1'000;
const std::string kKey = "r";

Voter::Saved founded(std::size_t i) {
  Voter::Saved s;
  s.seat = 101 + i;
  s.voters.epoch = 1;
  for (std::size_t v = 0; v < kVoters; ++v) {
    s.founders.push_back(101 + v);
    s.voters.now.push_back({"v" + std::to_string(v), 101 + v});
  }
  s.fleet = agreement::fleet_of(s.founders);
  return s;
}

void put(std::string& out, std::uint64_t n) {
  while (n >= 128) {
    out.push_back(static_cast<char>(n | 128));
    n >>= 7;
  }
  out.push_back(static_cast<char>(n));
}
void put(std::string& out, const std::string& s) {
  put(out, s.size());
  out += s;
}
void put(std::string& out, const agreement::Ballot& b) {
  put(out, b.number);
  put(out, b.proposer);
}
void put(std::string& out, const Message& m) {
  put(out, static_cast<std::uint64_t>(m.kind));
  put(out, m.ballot);
  put(out, m.other);
  put(out, m.value);
  put(out, m.epoch);
}
void put(std::string& out, const Voter::Saved& s) {
  put(out, s.fleet == 0 ? 0u : 1u);
  for (const auto& [key, c] : s.cells) {
    put(out, c.promised);
    put(out, c.accepted);
    put(out, c.value);
  }
}

struct Flight {
  bool to_voter = false;
  std::size_t p = 0, v = 0;
  Message message;
  // The few bytes by which it differs from others, once.
  std::string code;
};

struct Seated {
  std::unique_ptr<Voter> voter;
  Voter::Saved disk, before;  // `before`: what a disk that lies goes back to
  std::uint64_t persisted = 1;
  std::vector<std::pair<std::uint64_t, Flight>> held;

  Seated() = default;
  Seated(const Seated& o)
      : voter(std::make_unique<Voter>(*o.voter)),
        disk(o.disk),
        before(o.before),
        persisted(o.persisted),
        held(o.held) {}
};

struct World {
  std::vector<Proposer> proposers;
  std::array<Seated, kVoters> voters;
  std::vector<Flight> wire;
  std::array<int, kProposers> stage{};  // operations begun
  std::array<std::int64_t, kProposers> now{};
  std::vector<Operation> history;
  std::array<std::size_t, kProposers> open{};  // in history
  std::int64_t clock = 0;                      // counts calls and answers
  int crashes = 0, drops = 0, repeats = 0, timeouts = 0, empties = 0;
};

class Search {
 public:
  explicit Search(const ExplorerOptions& o) : o_(o) {}

  ExplorerResult run() {
    ExplorerResult r;
    for (int depth = o_.deepen ? 1 : o_.depth; depth <= o_.depth; ++depth) {
      met_.clear();
      path_.clear();
      cut_short_ = false;
      const bool sound = from(first(), depth);
      r.states += met_.size();
      r.depth = depth;
      if (!sound) {
        r.breach = path_;
        return r;
      }
      if (cut_short_) return r;
    }
    r.whole = true;
    return r;
  }

 private:
  World first() {
    World w;
    for (std::size_t v = 0; v < kVoters; ++v) {
      w.voters[v].disk = w.voters[v].before = founded(v);
      boot(w.voters[v], v);
    }
    Proposer::Limits limits{1 << 20, kRound, 0, std::int64_t{1} << 40};
    for (std::size_t p = 0; p < kProposers; ++p) {
      w.proposers.emplace_back(p + 1, limits, 1);
      w.proposers[p].know(founded(0).fleet, founded(0).voters);
    }
    w.crashes = o_.crashes;
    w.drops = o_.drops;
    w.repeats = o_.repeats;
    w.timeouts = o_.timeouts;
    w.empties = o_.empties;
    for (std::size_t p = 0; p < kProposers; ++p) {
      begin(w, p);
      flush(w, p);
    }
    return w;
  }
  static void boot(Seated& s, std::size_t v) {
    s.voter = std::make_unique<Voter>("v" + std::to_string(v), s.disk, std::vector<std::string>{});
    s.persisted = s.voter->version();
    s.held.clear();
  }

  // Empty to "a" or "b"; then the first goes on to "c", the other reads.
  static void begin(World& w, std::size_t p) {
    if (w.stage[p] == 2) return;
    const bool first = w.stage[p]++ == 0;
    Operation op;
    op.called = ++w.clock;
    op.kind = first || p == 0 ? Operation::Kind::kCompareAndSet : Operation::Kind::kRead;
    op.expected = first ? "" : "a";
    op.written = first ? (p == 0 ? "a" : "b") : "c";
    w.open[p] = w.history.size();
    w.history.push_back(op);
    const bool sets = op.kind == Operation::Kind::kCompareAndSet;
    w.proposers[p].begin(
        kKey,
        [sets, e = op.expected, x = op.written](const std::string& now) -> std::optional<std::string> {
          return sets && now == e ? std::optional(x) : std::nullopt;
        },
        w.now[p], sets ? Proposer::Mode::kChange : Proposer::Mode::kRead);
  }
  // False: what it answered cannot have happened.
  static bool flush(World& w, std::size_t p) {
    for (bool again = true; again;) {
      again = false;
      for (auto& o : w.proposers[p].take_out()) {
        send(w, {true, p, static_cast<std::size_t>(o.to[1] - '0'), std::move(o.message), {}});
      }
      for (const auto& r : w.proposers[p].take_results()) {
        Operation& op = w.history[w.open[p]];
        if (r.what != What::kUnknown && !(r.what == What::kLeft && r.sent)) {
          op.end = r.what == What::kChanged ? Operation::End::kDone : Operation::End::kLeft;
          op.found = r.value;
          op.answered = ++w.clock;
          if (!linearizable(w.history)) return false;
        }
        begin(w, p);
        again = true;
      }
    }
    return true;
  }
  static void send(World& w, Flight f) {
    f.code.push_back(static_cast<char>(f.to_voter ? f.p : f.p + kProposers));
    put(f.code, f.message);
    w.wire.push_back(std::move(f));
  }

  bool deliver(World& w, const Flight& f) const {
    if (!f.to_voter) {
      w.proposers[f.p].heard("v" + std::to_string(f.v), f.message, w.now[f.p]);
      return flush(w, f.p);
    }
    Seated& s = w.voters[f.v];
    auto reply = s.voter->heard("p" + std::to_string(f.p), f.message);
    if (!reply) return true;
    Flight back{false, f.p, f.v, std::move(reply->message), {}};
    const bool early = agreement::mistaken(agreement::Mistake::kAnswerBeforeDisk);
    if (early || reply->version <= s.persisted) {
      send(w, std::move(back));
    } else {
      s.held.emplace_back(reply->version, std::move(back));
      if (o_.prompt_disk) persist(w, f.v);
    }
    return true;
  }
  static void persist(World& w, std::size_t v) {
    Seated& s = w.voters[v];
    s.before = s.disk;
    s.disk = s.voter->saved();
    s.persisted = s.voter->version();
    for (auto& [version, f] : std::exchange(s.held, {})) send(w, std::move(f));
  }

  // A state as bytes, the same for all that differ only in which voter is which.
  static std::uint64_t code(const World& w) {
    std::string out;
    for (std::size_t p = 0; p < kProposers; ++p) out += w.proposers[p].fingerprint() + ";";
    for (const Operation& op : w.history) {
      put(out, static_cast<std::uint64_t>(op.called));
      put(out, op.end == Operation::End::kUnknown ? 0 : static_cast<std::uint64_t>(op.answered));
      put(out, op.found);
    }
    for (const int n : {w.crashes, w.drops, w.repeats, w.timeouts, w.empties, w.stage[0], w.stage[1]}) {
      put(out, static_cast<std::uint64_t>(n));
    }
    std::array<std::string, kVoters> each;
    for (std::size_t v = 0; v < kVoters; ++v) {
      const Seated& s = w.voters[v];
      put(each[v], s.voter->saved());
      put(each[v], s.disk);
      put(each[v], s.before);
      put(each[v], s.voter->version() > s.persisted ? 1u : 0u);
      for (const Proposer& p : w.proposers) put(each[v], p.agreed(kKey, 101 + v) ? 1u : 0u);
      std::vector<const std::string*> about;
      std::vector<std::string> held;
      for (const auto& [version, f] : s.held) {
        std::string h = "h";
        put(h, f.p);
        put(h, f.message);
        held.push_back(std::move(h));
      }
      for (const Flight& f : w.wire) {
        if (f.v == v) about.push_back(&f.code);
      }
      for (const std::string& h : held) about.push_back(&h);
      std::sort(about.begin(), about.end(),
                [](const std::string* a, const std::string* b) { return *a < *b; });
      for (const std::string* a : about) put(each[v], *a);
    }
    std::sort(each.begin(), each.end());
    for (const std::string& e : each) put(out, e);
    std::uint64_t h = 0xcbf29ce484222325u;
    for (const char c : out) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
    return (h ^ h >> 29) * 0xbf58476d1ce4e5b9u;
  }

  // False: a breach; path_ leads there.
  bool from(World&& w, int depth) {
    if (o_.most_states > 0 && met_.size() >= o_.most_states) {
      cut_short_ = true;
      return true;
    }
    auto [it, fresh] = met_.try_emplace(code(w), depth);
    if (!fresh && it->second >= depth) return true;
    it->second = depth;
    if (depth == 0) return true;
    const auto step = [&](std::string what, const std::function<bool(World&)>& act) {
      World next = w;
      path_.push_back(std::move(what));
      if (!act(next) || !from(std::move(next), depth - 1)) return false;
      path_.pop_back();
      return true;
    };
    for (std::size_t i = 0; i < w.wire.size(); ++i) {
      const Flight& f = w.wire[i];
      // Of messages that are the same, one.
      bool seen = false;
      for (std::size_t k = 0; k < i && !seen; ++k) seen = w.wire[k].v == f.v && w.wire[k].code == f.code;
      if (seen) continue;
      const auto take = [i](World& n) {
        Flight out = std::move(n.wire[i]);
        n.wire.erase(n.wire.begin() + static_cast<std::ptrdiff_t>(i));
        return out;
      };
      if (!step(words(f), [&](World& n) { return deliver(n, take(n)); })) return false;
      if (w.repeats > 0 && !step(words(f) + ", and it will come again", [&](World& n) {
            --n.repeats;
            const Flight copy = n.wire[i];
            return deliver(n, copy);
          }))
        return false;
      if (w.drops > 0 && !step("lost: " + words(f), [&](World& n) {
            --n.drops;
            take(n);
            return true;
          }))
        return false;
    }
    for (std::size_t v = 0; v < kVoters; ++v) {
      const Seated& s = w.voters[v];
      const std::string name = "v" + std::to_string(v);
      const bool unsaved = s.voter->version() > s.persisted;
      if (unsaved && !step(name + " has its state on disk", [&](World& n) {
            persist(n, v);
            return true;
          }))
        return false;
      if (w.crashes > 0 && (unsaved || o_.lying_disk) &&
          !step(name + " crashes and starts again", [&](World& n) {
            --n.crashes;
            if (o_.lying_disk) n.voters[v].disk = n.voters[v].before;
            boot(n.voters[v], v);
            return true;
          }))
        return false;
      if (w.empties > 0 && !step(name + " crashes and starts with an empty disk", [&](World& n) {
            --n.empties;
            n.voters[v].disk = n.voters[v].before = {};
            n.voters[v].disk.seat =
                agreement::mistaken(agreement::Mistake::kVoteFromNothing) ? 101 + v : 900 + v;
            boot(n.voters[v], v);
            return true;
          }))
        return false;
    }
    for (std::size_t p = 0; p < kProposers && w.timeouts > 0; ++p) {
      if (!w.proposers[p].busy(kKey)) continue;
      if (!step("p" + std::to_string(p) + " waits no longer", [&](World& n) {
            --n.timeouts;
            n.now[p] += kRound;
            n.proposers[p].tick(n.now[p]);
            return flush(n, p);
          }))
        return false;
    }
    return true;
  }
  static std::string words(const Flight& f) {
    static const char* kKinds[] = {"?",        "prepare", "promise",   "accept", "accepted", "refused",
                                   "abstains", "install", "installed", "peek",   "seen",     "who"};
    return "p" + std::to_string(f.p) + (f.to_voter ? " to v" : " from v") + std::to_string(f.v) + ": " +
           kKinds[static_cast<std::size_t>(f.message.kind)] + " " + std::to_string(f.message.ballot.number) +
           "." + std::to_string(f.message.ballot.proposer) + " '" + f.message.value + "'";
  }

  const ExplorerOptions o_;
  absl::flat_hash_map<std::uint64_t, int> met_;
  std::vector<std::string> path_;
  bool cut_short_ = false;
};

}  // namespace

ExplorerResult explore(const ExplorerOptions& options) { return Search(options).run(); }

}  // namespace anisewick::standin
