// The owner's work on jobs: from one state of a machine to the next, each change one compare-and-set under
// its term. A new owner fences the registers, reads them and goes on from what they say. No I/O, no clock;
// one owner, one thread. Milliseconds on a monotonic clock, and Unix time where it is shown or bounds hours.
#ifndef ANISEWICK_FLEET_WORK_STEPS_HPP_
#define ANISEWICK_FLEET_WORK_STEPS_HPP_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/agreement/proposer.hpp"
#include "fleet/work/library.hpp"
#include "fleet/work/permit.hpp"
#include "fleet/work/word.hpp"

namespace anisewick::work {

struct Ask {
  std::string key;
  agreement::Proposer::Change change;
  bool read = false;
};

// What the owner's own doorman knows.
struct Sees {
  std::function<bool(const std::string& depot)> ready;  // by the bus's list
  // Staff's last call on it in the fleet's order: whether it is held, and the call's number; 0: none.
  std::function<std::pair<bool, std::uint64_t>(const std::string& depot)> staff;
  std::function<std::uint64_t()> orders;  // the order is known up to here
  std::function<std::string()> unrest;    // why no machine is to be out at all; empty: it may
};

class Steps {
 public:
  Steps(const Times& times, Library& library, Sees sees)
      : times_(times), library_(library), sees_(std::move(sees)) {}

  void took(std::uint64_t term, std::int64_t now_ms);
  void lost();
  bool working() const { return term_ != 0; }
  bool fenced() const { return term_ != 0 && to_fence_.empty(); }
  std::uint64_t term() const { return term_; }

  // What a doorman says of the picture that it heeds.
  void heard(const std::string& name, const Word& word, std::int64_t now_ms);
  std::vector<Ask> next(std::int64_t now_ms, std::int64_t unix_ms);
  void again(const std::string& key) { asked_.erase(key); }
  bool asked(const std::string& key) const { return asked_.contains(key); }
  // False: the register has a higher term, `higher`; this owner's is over.
  bool settled(const agreement::Proposer::Result& result, std::int64_t now_ms, std::uint64_t& higher);

  const Now& now() const { return now_; }
  // Who has not heeded the picture, of those that were heard of.
  bool behind(const std::string& name) const;
  // Why nothing goes out just now, of any job; empty: it may.
  std::string trouble(std::int64_t now_ms) const;
  // What a machine waits for, in words.
  std::string waits_for(const Active& a, std::int64_t now_ms) const;
  // Likewise one that is not in progress.
  std::string waits_for(std::size_t slot, std::size_t place, std::int64_t now_ms, std::int64_t unix_ms) const;
  // Changes that were made, for the log: machine, state, why.
  struct Change {
    std::string machine, state, why;
  };
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }
  // Machines that staff are to be taken to have called out for good.
  std::vector<std::string> take_holds() { return std::exchange(holds_, {}); }

 private:
  struct Heard {
    Word word;
    std::int64_t at_ms = 0;
    std::set<std::uint64_t> ended;  // processes of that name that were followed by another
  };
  agreement::Proposer::Change fence(const std::string& key) const;
  void rolls(std::vector<Ask>& out);
  void boards(std::vector<Ask>& out, std::int64_t now_ms, std::int64_t unix_ms);
  bool advance(Now& next, std::int64_t now_ms, std::int64_t unix_ms);
  void announce(Now& next, std::int64_t now_ms, std::int64_t unix_ms);
  // What is left to do with a machine once the others are counted: away, held, in another job.
  Facts facts_now(std::size_t slot, const Job& job, const Now& now, std::int64_t now_ms) const;
  bool away(const Machine& m, std::int64_t now_ms) const;
  // Doormen who get no answer of it, where they are enough to go by.
  std::vector<std::string> ill(const std::string& depot, std::int64_t now_ms) const;
  bool fresh(const std::string& name, std::int64_t now_ms) const;
  // Names that have not heeded this picture and may send still; those with something open there.
  std::vector<std::string> unheeded(std::uint64_t number, std::int64_t now_ms, bool lapse) const;
  bool open_somewhere(const Active& a, std::int64_t now_ms) const;
  bool needed(const Active& a) const;
  bool confirmed(const Active& a, std::int64_t now_ms) const;
  bool lapsed(std::uint64_t number, std::int64_t now_ms) const;
  bool returned(const Active& a, const Job& job) const;
  bool warm(const Active& a, const Job& job, std::int64_t unix_ms);
  std::int64_t born(const std::string& machine) const;
  bool overruled(const Active& a) const;  // staff have put it back since it was announced
  std::string trouble_of(const Job& job, Term term, const Facts& facts, std::int64_t now_ms) const;
  bool followed(std::uint64_t job) const;  // its file was changed
  bool follow(std::size_t slot, const Job& job, Board& next) const;
  std::set<std::string> in_other_jobs(std::size_t slot) const;

  const Times times_;
  Library& library_;
  const Sees sees_;
  std::uint64_t term_ = 0;  // 0: not the owner
  std::set<std::string> to_fence_, asked_;
  Now now_;
  std::map<std::uint64_t, std::int64_t> seen_ms_;  // when a picture of this number was known to stand
  std::map<std::string, Heard> heard_;
  Roll roll_, rolling_;
  std::uint64_t roll_for_ = 0, rolling_for_ = 0;
  std::set<std::string> rolls_left_;
  std::int64_t trouble_until_ms_ = -1, busy_since_ms_ = 0;
  std::string trouble_;                        // in words
  std::set<std::size_t> wanted_back_;          // jobs of which something is out, and too little is left
  std::map<std::string, std::int64_t> later_;  // machines that are not taken before
  std::map<std::string, std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>>
      cold_;  // counted from
  std::map<std::size_t, std::vector<std::vector<std::string>>> plans_;
  std::vector<Change> changes_;
  std::vector<std::string> holds_;
};

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_STEPS_HPP_
