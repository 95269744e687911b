// A whole fleet in simulated time: members as the program runs them, with clocks of their own, a network, and
// disks that are written a little later. Faults are caused by name; what must hold is checked all the while.
// The same seed gives the same run.
#ifndef ANISEWICK_STANDIN_ENSEMBLE_HPP_
#define ANISEWICK_STANDIN_ENSEMBLE_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/member/member.hpp"

namespace anisewick::standin {

struct EnsembleOptions {
  std::uint64_t seed = 1;
  std::size_t members = 5, voters = 3, duties = 1;
  std::int64_t lease_ms = 2000;
  double loss = 0.0, twice = 0.0;
  std::int64_t delay_ms = 10;
  double clock_rate = 0.01;  // clocks run up to so much fast or slow
  std::int64_t clock_ahead_ms = 3000;
  std::int64_t disk_ms = 6;  // a write takes up to so long
  std::int64_t step_ms = 10;
  bool coded = false;     // every packet goes through its bytes
  bool careless = false;  // owners do not look at their leases
  bool work = false;      // with the duty of machines out for work
  work::Times times = {};
  bool zones = false;  // with the duty of zones
  zones::Terms zone_terms = {};
  std::function<std::string(std::size_t)> home = [](std::size_t) { return std::string(); };
  // After a member was started, and after what it gave was carried out.
  std::function<void(std::size_t, member::Member&)> started = [](std::size_t, member::Member&) {};
  std::function<void(std::size_t)> flushed = [](std::size_t) {};
};

class Ensemble {
 public:
  explicit Ensemble(const EnsembleOptions& options);

  void run(std::int64_t ms);
  // Until `done`, for `ms` at most; whether it came to that.
  bool until(const std::function<bool()>& done, std::int64_t ms);

  // Faults.
  void kill(std::size_t i);   // what is not on disk is lost
  void start(std::size_t i);  // with the disk as it is
  void empty(std::size_t i);  // its disk, while it is down
  void stop(std::size_t i);   // and go on later: it hears then what came meanwhile
  void go_on(std::size_t i);
  void cut(std::size_t from, std::size_t to, bool on);  // one way
  void split(const std::set<std::size_t>& side);        // both ways; empty: whole again
  void loss(double share) { options_.loss = share; }
  // From now on; what it shows now stays.
  void clock_rate(std::size_t i, double rate);
  void full_disk(std::size_t i, bool on) { nodes_[i].disk_full = on; }
  bool up(std::size_t i) const { return nodes_[i].member != nullptr; }

  void call(std::size_t i, depot::Id depot, bool held);
  void drain(std::size_t i, bool on);
  std::string replace(std::size_t i, std::size_t out, std::size_t in);

  member::Member& at(std::size_t i) { return *nodes_[i].member; }
  std::int64_t now() const { return now_; }
  std::int64_t clock(std::size_t i) const;
  // Who owns the duty now, by its own look; npos: nobody.
  static constexpr std::size_t npos = static_cast<std::size_t>(-1);
  std::size_t owner(const std::string& duty) const;
  bool all_heed() const;  // all who run have heeded the same, and no call waits
  // Of all calls, those that are nowhere, and those with two numbers; entries that differ between members.
  std::size_t lost_calls() const;

  struct Tally {
    std::uint64_t overlaps = 0, late_applied = 0, late_acts = 0, doubled_calls = 0, orders_differ = 0;
    std::uint64_t datagrams = 0, calls = 0, terms_shared = 0;
    std::string first;  // breach, in words
  };
  const Tally& tally() const { return tally_; }
  bool sound() const {
    return tally_.overlaps + tally_.late_applied + tally_.doubled_calls + tally_.orders_differ +
               tally_.terms_shared ==
           0;
  }
  std::uint64_t sent_by(std::size_t i) const { return nodes_[i].sent; }
  std::uint64_t told(std::size_t i) const { return nodes_[i].received; }

 private:
  struct Node {
    std::unique_ptr<member::Member> member;
    bool stopped = false, disk_full = false;
    double rate = 1.0;
    std::int64_t ahead_ms = 0;
    std::uint64_t incarnation = 0, saving = 0, sent = 0, received = 0;
    std::int64_t saved_at = 0, tick_at = 0;
    bool writing = false;
    talk::Saved disk, under_way;
    std::vector<std::pair<std::size_t, member::Out>> inbox;  // while it is stopped
    std::map<std::string, std::uint64_t> heeded;             // terms, over all its processes
  };
  struct Flight {
    std::int64_t at = 0;
    std::uint64_t order = 0;
    std::size_t from = 0, to = 0;
    member::Out out;
    bool operator<(const Flight& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  static membership::Address address(std::size_t i) {
    return {0x7f000000u + static_cast<std::uint32_t>(i), 7000};
  }
  void deliver(std::size_t from, std::size_t to, const member::Out& out);
  void flush(std::size_t i);
  void check();
  void breach(std::uint64_t& counter, const std::string& what);
  double lot() { return std::uniform_real_distribution<>()(random_); }

  EnsembleOptions options_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Flight> wire_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::int64_t now_ = 1000;
  std::uint64_t flights_ = 0, sessions_ = 0;
  std::vector<std::string> duties_;
  std::map<orders::CallId, std::uint64_t> numbers_;                       // of calls
  std::set<orders::CallId> met_;                                          // in entries that somebody heeded
  std::map<std::uint64_t, std::pair<depot::Id, bool>> entries_;           // of the order, as first heeded
  std::map<orders::CallId, std::pair<std::size_t, depot::Id>> calls_;     // on disk at that member
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> terms_;  // the session that owned it
  Tally tally_;
};

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_ENSEMBLE_HPP_
