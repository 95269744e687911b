// A doorman's part in the fleet's zones, put together: what it follows and says, staff's calls that it takes,
// and, while it owns the duty, the judgement and its register. No I/O, no clock. One owner, one thread.
#ifndef ANISEWICK_FLEET_ZONES_ZONES_HPP_
#define ANISEWICK_FLEET_ZONES_ZONES_HPP_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/agreement/proposer.hpp"
#include "fleet/zones/follower.hpp"
#include "fleet/zones/judge.hpp"

namespace anisewick::zones {

// What a doorman sees, as whoever runs it knows.
struct Sight {
  std::vector<evidence::Seen> seen;
  double demand = 0.0;  // requests a second
  std::uint32_t weight = 100;
  std::string ill;  // why it weighs less
};

struct Ask {
  std::string key;
  agreement::Proposer::Change change;
  bool read = false;
};
struct Wish {
  Mode what = Mode::kAuto;
  std::string zone;
};

class Zones {
 public:
  // `saved`: of an earlier process; what cannot be read is passed over.
  Zones(const Terms& terms, std::string name, std::string home, std::uint64_t session,
        const std::string& saved, std::int64_t now_ms);

  void sees(std::function<Sight(std::int64_t now_ms)> sight) { sight_ = std::move(sight); }
  void own(std::uint64_t term, std::int64_t now_ms);
  std::uint64_t term() const { return term_; }
  bool fenced() const { return term_ != 0 && fenced_; }

  std::vector<Ask> next(std::int64_t now_ms, std::int64_t unix_ms);
  void again(const std::string& key) { asked_.erase(key); }
  // False: a higher term stands there.
  bool settled(const agreement::Proposer::Result& result, std::int64_t now_ms, std::uint64_t& higher);

  // The word to the owner that is due now; `term`: of the owner, who is told at once when it is another.
  std::optional<std::string> word_due(std::uint64_t term, std::int64_t now_ms);
  void heard(const std::string& name, const std::string& word, std::int64_t now_ms);
  // What is told by the owner, to a doorman by name, or passed on by anyone (empty name).
  std::string tell(const std::string& to, std::int64_t now_ms);
  void told(const std::string& bytes, bool by_owner, std::int64_t now_ms);
  // Whom the owner has to tell now: those behind, and those with a part.
  std::vector<std::string> to_tell(const std::vector<std::string>& alive, std::int64_t now_ms);

  std::string call(Wish wish);  // empty: it is taken
  std::string saved() const;
  std::uint64_t changed() const { return changed_; }
  void durable(std::uint64_t changed) { durable_ = std::max(durable_, changed); }

  Follower& follower() { return follower_; }
  const Follower& follower() const { return follower_; }
  const Judge& judge() const { return judge_; }
  const Picture& picture() const { return fenced() ? now_ : follower_.picture(); }
  std::string text(std::int64_t now_ms, std::int64_t unix_ms) const;
  struct Change {
    std::string zone, what, why;
  };
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

 private:
  static constexpr std::size_t kMostWishes = 16;

  const Terms terms_;
  const std::string name_;
  const std::uint64_t session_;
  Follower follower_;
  Judge judge_;
  std::function<Sight(std::int64_t)> sight_ = [](std::int64_t) { return Sight{}; };
  std::uint64_t term_ = 0;
  bool fenced_ = false, read_said_ = false;
  Picture now_;
  Said said_;
  std::int64_t said_ms_ = -1'000'000, stood_ms_ = -1'000'000, next_word_ms_ = 0, told_ms_ = -1'000'000;
  std::map<std::string, std::int64_t> told_at_;  // by doorman
  std::uint64_t serial_ = 0, said_number_ = 0, said_term_ = 0;
  std::int64_t last_word_ms_ = -1'000'000;
  std::map<std::string, std::uint64_t> asked_;  // keys
  std::deque<Wish> wishes_;
  std::uint64_t changed_ = 1, durable_ = 0, wished_ = 0;
  std::vector<Change> changes_;
};

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_ZONES_HPP_
