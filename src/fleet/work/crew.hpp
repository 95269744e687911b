// A doorman's part in work on machines, put together: what it leaves alone and says of it, staff's calls that
// it takes, and, while it owns the duty, the steps of all jobs. No I/O, no clock; seeded. One owner, one
// thread.
#ifndef ANISEWICK_FLEET_WORK_CREW_HPP_
#define ANISEWICK_FLEET_WORK_CREW_HPP_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/work/library.hpp"
#include "fleet/work/permit.hpp"
#include "fleet/work/staff.hpp"
#include "fleet/work/steps.hpp"
#include "fleet/work/word.hpp"

namespace anisewick::work {

constexpr const char* kDuty = "work";

// What this doorman sees and is, as whoever runs it knows.
struct Doorman {
  std::function<Line(const std::string& depot)> look = [](const std::string& depot) { return Line{depot}; };
  std::function<bool(const std::string& depot)> ready = [](const std::string&) { return true; };
  std::function<bool()> up = [] { return true; };
  std::function<bool()> idle = [] { return false; };
  std::function<std::vector<std::pair<std::string, std::uint32_t>>()> ill = [] {
    return std::vector<std::pair<std::string, std::uint32_t>>{};
  };
};

class Crew {
 public:
  // `saved`: the bytes of an earlier process's `saved()`; what cannot be read is passed over.
  Crew(std::string name, std::uint64_t session, const Times& times, const std::string& saved,
       std::function<std::pair<bool, std::uint64_t>(const std::string&)> staff,
       std::function<std::uint64_t()> orders);

  // Why no machine is to be out at all: a zone that is left, say.
  void unrest_by(std::function<std::string()> unrest) { unrest_ = std::move(unrest); }
  void sees(Doorman doorman) { doorman_ = std::move(doorman); }
  // The term of this doorman's own tenure; 0: another owns the duty.
  void own(std::uint64_t term, std::int64_t now_ms);
  void spoken_of(std::uint64_t number) { permit_.spoken_of(number); }
  void heard(const std::string& name, const Word& word, std::int64_t now_ms) {
    steps_.heard(name, word, now_ms);
  }

  // What is to be asked of the registers now.
  std::vector<Ask> next(std::int64_t now_ms, std::int64_t unix_ms);
  void again(const std::string& key);
  // False: a higher term stands there than that of this doorman's own tenure.
  bool settled(const agreement::Proposer::Result& result, std::int64_t now_ms, std::uint64_t& higher);

  // What has to last. `changed` grows with it; `durable` says that what it was then is on disk.
  std::string saved() const;
  std::uint64_t changed() const { return changed_; }
  void durable(std::uint64_t changed);

  // Depots that this doorman leaves alone, by their ids as text.
  std::vector<std::string> left(std::int64_t now_ms) const { return permit_.left(now_ms); }
  // It is asked out itself.
  bool asked_out() const;
  // What it says to the owner; nothing: there is nothing in progress.
  std::optional<Word> word_now() const;
  // All is known that stood in the registers when it was started.
  bool caught_up() const { return enrolled_ && permit_.ever(); }

  std::string call(Wish wish);  // what is to be said of it
  const Permit& permit() const { return permit_; }
  Steps& steps() { return steps_; }
  const Steps& steps() const { return steps_; }
  const Library& library() const { return library_; }
  void look_at_jobs(std::int64_t now_ms) { library_.want(now_ms + kLooksMs); }
  std::vector<Staff::Said> take_said() { return staff_.take_said(); }
  std::size_t wishes() const { return staff_.wishes().size(); }

 private:
  static constexpr std::int64_t kLooksMs = 5'000;
  enum class Whose { kPermit, kRoll, kLibrary, kSteps, kStaff };

  const std::string name_;
  const std::uint64_t session_;
  Library library_;
  Permit permit_;
  Steps steps_;
  Staff staff_;
  Doorman doorman_;
  std::function<std::string()> unrest_ = [] { return std::string(); };
  bool enrolled_ = false;
  std::uint64_t changed_ = 1, durable_ = 0, wished_ = 0;
  std::uint64_t durable_number_ = 0;                // the picture that is on disk
  std::map<std::uint64_t, std::uint64_t> numbers_;  // by `changed`
  std::map<std::string, Whose> asked_;
  std::int64_t enrol_ms_ = -1'000'000;
};

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_CREW_HPP_
