// The owner's work on the order: a new owner fences the registers with its term and reads them, then settles
// calls one after another, each by one compare-and-set. No I/O, no clock. One owner, one thread.
//
// An older owner that still writes finds the higher term, in a register it has not heard of or by its ballot,
// and writes nothing: its term is over, whatever its clock says.
#ifndef ANISEWICK_FLEET_ORDERS_SETTLER_HPP_
#define ANISEWICK_FLEET_ORDERS_SETTLER_HPP_

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "fleet/agreement/proposer.hpp"
#include "fleet/orders/order.hpp"

namespace anisewick::orders {

class Settler {
 public:
  static constexpr std::size_t kMostWaiting = 4096;
  enum class Verdict : std::uint8_t { kSettled = 1, kFull = 2 };  // of a call; 2: there is no room for it
  struct Ask {
    std::string key;
    agreement::Proposer::Change change;
  };
  // What is settled now: entries with a number in (from, to].
  struct Advance {
    std::uint64_t from = 0, to = 0;
    std::vector<Entry> entries;
  };
  struct Answer {
    CallId id;
    Verdict verdict = Verdict::kSettled;
  };

  // Each origin has the order on disk up to there, as far as it has said so: its calls up to there never come
  // again.
  using Durable = std::map<std::uint64_t, std::uint64_t>;

  void took(std::uint64_t term);
  void lost();
  bool working() const { return term_ != 0; }
  bool fenced() const { return term_ != 0 && to_fence_.empty(); }

  // Its own again, or too many: false.
  bool offer(const Call& call);
  // What is to be asked of the registers now; each is told of with `settled`. `gone`: nobody needs to hear of
  // this depot any more, so its entry may make room.
  std::vector<Ask> next(const std::function<bool(depot::Id)>& gone, const Durable& durable);
  void again(const std::string& key) { asked_.erase(key); }  // it could not be asked now
  // False: the register has a higher term, `higher`; this owner's is over.
  bool settled(const agreement::Proposer::Result& result, std::uint64_t& higher);

  std::vector<Advance> take_advances() { return std::exchange(advances_, {}); }
  std::vector<Answer> take_answers() { return std::exchange(answers_, {}); }
  std::size_t waiting() const { return calls_.size(); }
  std::uint64_t last() const { return last_; }

 private:
  agreement::Proposer::Change fence() const;
  agreement::Proposer::Change settle(const Call& call, std::uint64_t number,
                                     const std::function<bool(depot::Id)>& gone,
                                     const Durable& durable) const;

  std::uint64_t term_ = 0;  // 0: not the owner
  std::set<std::string> to_fence_, asked_;
  std::vector<Entry> read_;  // while it fences
  std::uint64_t last_ = 0;   // number given out
  std::deque<Call> calls_;
  std::set<CallId> known_;  // of calls_
  std::vector<Advance> advances_;
  std::vector<Answer> answers_;
};

}  // namespace anisewick::orders

#endif  // ANISEWICK_FLEET_ORDERS_SETTLER_HPP_
