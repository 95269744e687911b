// One voter. No I/O, no clock; one owner, one thread.
//
// It answers at once, into the hands of who holds it: an answer may leave only when a state at least as new
// as that which `version` numbers is on disk. Whoever holds it writes `saved()`, and gives it back at the
// start.
#ifndef ANISEWICK_FLEET_AGREEMENT_VOTER_HPP_
#define ANISEWICK_FLEET_AGREEMENT_VOTER_HPP_

#include <set>
#include <utility>

#include "fleet/agreement/register.hpp"

namespace anisewick::agreement {

class Voter {
 public:
  // What lasts. A seat without a fleet is an empty disk that has told its seat: it abstains.
  struct Saved {
    std::uint64_t fleet = 0;
    std::uint64_t seat = 0;
    Voters voters;
    std::vector<std::uint64_t> founders;  // the seats that founded the fleet
    std::map<std::string, Cell> cells;
    bool operator==(const Saved&) const = default;
  };
  struct Reply {
    Message message;
    std::uint64_t version = 0;  // of the state that must be on disk before
  };

  // `saved`: with a seat, be it fresh. `others`: the names of the voters in the settings, its own among them;
  // they found a fleet once each of them has told the seat of its empty disk. Empty: this member may only
  // become a voter by replacing one.
  Voter(std::string name, Saved saved, std::vector<std::string> named);

  std::optional<Reply> heard(const std::string& from, const Message& message);
  // To ask of the others named, while it has no fleet.
  Message who() const;
  bool founded() const { return saved_.fleet != 0; }
  bool votes() const;  // it is one of those in force
  const Saved& saved() const { return saved_; }
  std::uint64_t version() const { return version_; }

 private:
  Reply reply(const Message& to, Message::Kind kind) const;
  Message abstains() const;
  void learn_seat(const std::string& name, std::uint64_t seat);
  std::optional<Reply> founding(const std::string& from, const Message& m);
  std::optional<Reply> install(const Message& m);

  const std::string name_;
  Saved saved_;
  const std::vector<std::string> named_;
  std::map<std::string, std::uint64_t> empty_;  // the seats told by those named, while all are empty
  std::uint64_t version_ = 1;
};

// The fleet that these seats found.
std::uint64_t fleet_of(std::vector<std::uint64_t> seats);

}  // namespace anisewick::agreement

#endif  // ANISEWICK_FLEET_AGREEMENT_VOTER_HPP_
