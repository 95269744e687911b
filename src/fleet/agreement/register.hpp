// A register that several voters hold, changed by compare-and-set: what proposers and voters say to one
// another. After CASPaxos (Rystsov, 2018). Plain values; no I/O.
//
// Safety rests on three things alone: a ballot is used by one proposer once; a voter answers only after its
// state is on disk; any two majorities of one epoch's voters share one. Time decides nothing.
#ifndef ANISEWICK_FLEET_AGREEMENT_REGISTER_HPP_
#define ANISEWICK_FLEET_AGREEMENT_REGISTER_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anisewick::agreement {

constexpr std::size_t kMostValue = 1024;  // bytes of a register
constexpr std::size_t kMostKey = 32;
constexpr std::size_t kMostRegisters = 128;  // of a fleet
constexpr std::size_t kMostSeats = 7;

// Of two, the one with the higher number is the later; equal numbers are told apart by the proposer, which is
// drawn at random at each start of a process.
struct Ballot {
  std::uint64_t number = 0;
  std::uint64_t proposer = 0;
  friend auto operator<=>(const Ballot&, const Ballot&) = default;
};

// A voter by its member's name and what was drawn when its disk was empty: one that lost its disk is another.
struct Seat {
  std::string name;
  std::uint64_t id = 0;
  friend auto operator<=>(const Seat&, const Seat&) = default;
};

// Who votes. While one is being replaced there are two sets, and a majority of each is needed.
struct Voters {
  std::uint64_t epoch = 0;  // 0: none yet
  std::vector<Seat> now, next;
  bool operator==(const Voters&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kPrepare = 1,
    kPromise,
    kAccept,
    kAccepted,
    kRefused,   // a later ballot was promised, or the epoch differs: then with the voter's own voters
    kAbstains,  // this voter has no state to vote from
    kInstall,   // these are the voters from now on
    kInstalled,
    kPeek,  // what was accepted, without a promise: it disturbs nobody
    kSeen,
    kWho  // which voters there are: answered with kInstalled, or kAbstains and the seat of an empty disk
  };
  Kind kind = Kind::kWho;
  std::uint64_t fleet = 0;  // drawn at its founding: two fleets never mix
  std::uint64_t epoch = 0;
  std::uint64_t seat = 0;  // of the voter, in its answers
  std::string key;
  Ballot ballot;  // the one that is asked for, and in answers the one that was
  // kPromise, kSeen: of `value`. kAccept: the ballot to promise with it, so that the next change of an
  // undisturbed proposer takes one round trip. kRefused: what was promised.
  Ballot other;
  std::string value;
  std::optional<Voters> voters;
  std::vector<std::uint64_t>
      founders;  // kAbstains: the empty seats it has heard of; kInstalled: the founding
};

struct Cell {
  Ballot promised, accepted;
  std::string value;
  bool operator==(const Cell&) const = default;
};

}  // namespace anisewick::agreement

#endif  // ANISEWICK_FLEET_AGREEMENT_REGISTER_HPP_
