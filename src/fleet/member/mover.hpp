// Replaces one voter by another, step by step, each of them agreed. Whoever owns the duty goes on from where
// the register `voters` stands. No I/O, no clock. One owner, one thread.
//
//   stable(e)   --by a majority of the old-->      joint(e+1): majorities of the old and of the new
//   joint(e+1)  every register is written once more, by both
//   joint(e+1)  --by majorities of both-->         stable(e+2): the new
//
// From the first step on a majority of the old refuses epoch e, so nothing of it can be chosen any more; what
// was chosen before is in both majorities when the last step is taken.
#ifndef ANISEWICK_FLEET_MEMBER_MOVER_HPP_
#define ANISEWICK_FLEET_MEMBER_MOVER_HPP_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/agreement/proposer.hpp"

namespace anisewick::member {

constexpr const char* kVoters = "voters";  // the register of who votes

class Mover {
 public:
  struct Ask {
    std::string key;
    agreement::Proposer::Change change;
    bool copy = false;
  };
  // The wish: `out` is a voter's name, `in` a member that has told its empty seat.
  void wish(const std::string& out, const std::string& in) { out_ = out, in_ = in, seat_.reset(); }
  bool wishes() const { return !in_.empty(); }
  const std::string& in() const { return in_; }
  // What the one that comes in has told of its disk; once it has a fleet it is a voter already.
  void seat(std::uint64_t id) { seat_ = id; }
  bool knows_seat() const { return seat_.has_value(); }

  // What to ask now of the registers, by the voters in force. `keys`: all other registers of the fleet.
  std::vector<Ask> next(const agreement::Voters& now, const std::vector<std::string>& keys);
  // The voters that are in force from now on, if that changed.
  std::optional<agreement::Voters> settled(const agreement::Proposer::Result& result,
                                           const agreement::Voters& now);
  void again(const std::string& key) { asked_.erase(key); }  // it could not be asked now
  bool asked(const std::string& key) const { return asked_.contains(key); }
  // No longer its business; what is half done goes on with the next owner.
  void stop();

 private:
  std::string out_, in_;
  std::optional<std::uint64_t> seat_;
  std::set<std::string> asked_, copied_;
  std::uint64_t epoch_ = 0;  // of copied_
};

std::string encode(const agreement::Voters& voters);
std::optional<agreement::Voters> voters_from(const std::string& value);

}  // namespace anisewick::member

#endif  // ANISEWICK_FLEET_MEMBER_MOVER_HPP_
