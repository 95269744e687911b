// Reads and changes registers by ballots among the voters. No I/O, no clock; seeded. One owner, one thread.
// Milliseconds on a monotonic clock.
#ifndef ANISEWICK_FLEET_AGREEMENT_PROPOSER_HPP_
#define ANISEWICK_FLEET_AGREEMENT_PROPOSER_HPP_

#include <functional>
#include <random>
#include <set>
#include <utility>

#include "fleet/agreement/register.hpp"

namespace anisewick::agreement {

class Proposer {
 public:
  struct Limits {
    std::int64_t resend_ms = 40;     // to voters that have not answered; doubles
    std::int64_t round_ms = 400;     // then another ballot is tried
    std::int64_t backoff_ms = 10;    // after a lost duel, by jitter; doubles up to 16 times as much
    std::int64_t give_up_ms = 1500;  // the outcome is then unknown
  };
  // What is to stand there, by what stands there; nothing: leave it. Called again for another round, so it
  // must tell its own work by what it finds.
  using Change = std::function<std::optional<std::string>(const std::string& now)>;
  struct Result {
    enum class What { kChanged, kLeft, kUnknown } what = What::kUnknown;
    std::string key;
    std::uint64_t op = 0;
    std::string value;  // what stands there
    // A changed value went out in a round that was lost: kLeft does not mean that it never stood there.
    bool sent = false;
    // When it was begun. Not when its last round was: what an earlier round sent may have been read since.
    std::int64_t asked_ms = 0;
  };
  struct Out {
    std::string to;  // a voter's name
    Message message;
  };

  // `session`: drawn at random at the start of the process, never used again.
  Proposer(std::uint64_t session, const Limits& limits, std::uint64_t seed);

  // Whom to ask; a lower epoch than what is known changes nothing. False: another fleet's.
  bool know(std::uint64_t fleet, const Voters& voters);
  const Voters& voters() const { return voters_; }
  std::uint64_t fleet() const { return fleet_; }

  enum class Mode {
    kChange,
    kCopy,  // what stands there is written once more in any case
    kRead   // nothing is written where a majority agrees on what stands there
  };
  // One at a time a key. 0: there is one already, or nobody to ask.
  std::uint64_t begin(const std::string& key, Change change, std::int64_t now_ms, Mode mode = Mode::kChange);
  bool busy(const std::string& key) const { return ops_.contains(key); }

  void heard(const std::string& from, const Message& message, std::int64_t now_ms);
  void tick(std::int64_t now_ms);
  std::vector<Out> take_out() { return std::exchange(out_, {}); }
  std::vector<Result> take_results() { return std::exchange(results_, {}); }

  struct Counters {
    std::uint64_t rounds = 0, fast = 0, refused = 0, abstained = 0, unknown = 0, resent = 0;
  };
  const Counters& counters() const { return counters_; }
  // What distinguishes two proposers to come, without the voters that agreed, and whether one has: for the
  // explorer.
  std::string fingerprint() const;
  bool agreed(const std::string& key, std::uint64_t seat) const;

 private:
  enum class Phase { kPeek, kPrepare, kAccept, kPause };
  struct Op {
    std::uint64_t id = 0;
    Change change;
    Mode mode = Mode::kChange;
    bool sent = false, changed = false;
    Phase phase = Phase::kPrepare;
    Ballot ballot, next;
    std::string value;               // kAccept: what is asked to be accepted
    std::set<std::uint64_t> agreed;  // seats
    Ballot latest;                   // of the promises
    std::string found;
    bool same = true;  // all promises tell of the same ballot
    int lost = 0;      // duels
    std::int64_t began_ms = 0, resend_ms = 0, until_ms = 0, gap_ms = 0;
  };
  struct Held {  // what this proposer wrote last, with a promise for the next round
    Ballot next;
    std::string value;
    std::uint64_t epoch = 0;
  };

  bool majority(const std::set<std::uint64_t>& agreed) const;
  void round(const std::string& key, Op& op, std::int64_t now_ms, Phase phase = Phase::kPrepare);
  void ask(const std::string& key, Op& op, bool again);
  void install(const std::string& to);
  void promised(const std::string& key, Op& op, std::int64_t now_ms);
  void accept(const std::string& key, Op& op, std::string value, std::int64_t now_ms);
  void pause(Op& op, std::int64_t now_ms);
  void end(const std::string& key, Result::What what, const std::string& value);

  const std::uint64_t session_;
  const Limits limits_;
  std::minstd_rand random_;  // small: the explorer copies proposers by the million
  std::uint64_t fleet_ = 0;
  Voters voters_;
  std::uint64_t highest_ = 0;  // ballot number, seen or used
  std::uint64_t ops_begun_ = 0;
  std::map<std::string, Op> ops_;
  std::map<std::string, Held> held_;
  std::vector<Out> out_;
  std::vector<Result> results_;
  Counters counters_;
};

}  // namespace anisewick::agreement

#endif  // ANISEWICK_FLEET_AGREEMENT_PROPOSER_HPP_
