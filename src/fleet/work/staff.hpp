// Staff's calls on jobs, taken at any doorman: each goes into the registers by itself, once, however often it
// is repeated and whoever owns the duty. No I/O, no clock; seeded. One owner, one thread.
#ifndef ANISEWICK_FLEET_WORK_STAFF_HPP_
#define ANISEWICK_FLEET_WORK_STAFF_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/work/library.hpp"
#include "fleet/work/steps.hpp"

namespace anisewick::work {

struct Wish {
  enum class What : std::uint8_t {
    kTake = 1,
    kStop,
    kPause,
    kResume,
    kBack,
    kGone,
    kChange
  } what = What::kTake;
  std::string job;           // its name; of kGone nothing
  std::string machine;       // of kBack; of kGone a doorman's name
  std::uint64_t id = 0;      // drawn when it is called
  std::string file;          // of kTake and kChange: the bytes of wire::Work
  std::uint64_t digest = 0;  // of the file as staff wrote it
  bool operator==(const Wish&) const = default;
};
const char* word(Wish::What what);

class Staff {
 public:
  static constexpr std::size_t kMostWishes = 8;

  Staff(Library& library, std::vector<Wish> wishes)
      : library_(library), wishes_(wishes.begin(), wishes.end()) {}

  // False: too many wait. One that waits already is not taken twice.
  bool wish(Wish wish);
  // Calls that have to be on disk before anything of them is done.
  const std::deque<Wish>& wishes() const { return wishes_; }

  std::vector<Ask> next(const Now& now, std::int64_t now_ms, std::int64_t unix_ms);
  void again(const std::string& key) { asked_.erase(key); }
  bool asked(const std::string& key) const { return asked_.contains(key); }
  void settled(const agreement::Proposer::Result& result);

  // What became of calls, for the log and for whoever asks.
  struct Said {
    Wish wish;
    std::string what;
  };
  std::vector<Said> take_said() { return std::exchange(said_, {}); }

 private:
  void done(const std::string& what);
  std::vector<Ask> take(std::int64_t unix_ms);
  // Where it may be written; nothing: `why` says why not.
  std::optional<Board> claim(const Wish& wish, std::size_t& slot, std::string& why,
                             std::int64_t unix_ms) const;
  std::vector<Ask> change(const Now& now, std::int64_t unix_ms);
  Ask change_of(std::size_t slot, const Board& to);

  Library& library_;
  std::deque<Wish> wishes_;
  std::int64_t began_ms_ = -1;  // of the first one
  bool passed_ = false;         // its place is found
  std::size_t slot_ = 0;
  std::set<std::size_t> written_;  // parts
  std::set<std::string> asked_;
  std::vector<Said> said_;
};

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_STAFF_HPP_
