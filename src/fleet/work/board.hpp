// What stands in the registers about work: the machines in progress, each job's course, its file in parts,
// and the doormans that may send. Plain values and their bytes; no I/O, no clock.
//
//   work.now         the machines in progress, of all jobs: what every doorman reads for itself
//   work.0 to 7      a job's course: which of its machines are waiting, and how the others ended
//   work.0.0 to 7.7  its file, in parts
//   work.roll.0 to 7 names of the doormans
#ifndef ANISEWICK_FLEET_WORK_BOARD_HPP_
#define ANISEWICK_FLEET_WORK_BOARD_HPP_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/work/plan.hpp"

namespace anisewick::work {

constexpr std::size_t kSlots = 8;            // jobs at once
constexpr std::size_t kParts = 8;            // of a job's file
constexpr std::size_t kPartBytes = 900;      // each
constexpr std::size_t kRolls = 8;            // registers for names
constexpr std::size_t kMostActive = 16;      // machines in progress at once, of all jobs
constexpr std::size_t kMostMachines = 200;   // of a job
constexpr std::size_t kMostIll = 16;         // depots that one doorman says give no answer
constexpr std::uint32_t kInARow = 3;         // attempts by which a doorman alone would take one for ill
constexpr const char* kNowKey = "work.now";  // the register that all read

enum class State : std::uint8_t {
  kWaiting,
  kAnnounced,  // of the round that comes next: doormans with a permit may still send
  kAsked,      // nobody is to send any more
  kDraining,   // all have heeded that, and something is open
  kOut,        // nobody sends, nothing is open: staff may work on it
  kBack,       // seen again, or staff say so; doormans are being told
  kWarming,    // in service, cold
  kDone,
  kSkipped,
  kFailed,  // out, and not back in time
  kStopped
};
const char* word(State state);
constexpr bool final(State s) { return s == State::kDone || s == State::kSkipped || s == State::kStopped; }

struct Active {
  std::size_t slot = 0, place = 0;  // of the job, and in its list
  std::string machine;              // a depot's id as text, or a doorman's name
  Kind kind = Kind::kCache;
  State state = State::kAnnounced;
  std::uint64_t number = 0;   // of the picture in which it came to this state
  std::int64_t since_ms = 0;  // Unix time, by the owner's clock; orders nothing
  std::uint64_t session = 0;  // of a doorman: the process that is asked out
  std::int64_t born_ms = 0;   // of a depot: the process that is asked out
  std::uint32_t usual = 0;    // fills in a thousand answers, before it was asked
  std::uint64_t orders = 0;   // staff's calls up to here were known when it was announced
  bool operator==(const Active&) const = default;
};

// The picture. Its number grows with every change.
struct Now {
  std::uint64_t term = 0, number = 0;
  std::vector<Active> active;
  const Active* of(const std::string& machine) const;
};
// Whether a doorman without a permit, and whether any doorman, leaves it alone.
constexpr bool announced(State s) { return s == State::kAnnounced; }
constexpr bool left_alone(State s) {
  return s == State::kAsked || s == State::kDraining || s == State::kOut || s == State::kFailed;
}

enum class Phase : std::uint8_t { kNone, kClaimed, kRunning, kPaused, kStopping, kEnded };
const char* word(Phase phase);

struct Board {
  std::uint64_t term = 0, version = 0;
  std::uint64_t job = 0;  // drawn when it is taken; 0: there is none
  std::uint64_t digest = 0;
  std::string name;
  Phase phase = Phase::kNone;
  std::size_t parts = 0;
  std::int64_t since_ms = 0;       // Unix time of the last change of the phase
  std::string why;                 // of the phase, in a few words
  std::vector<State> states;       // by place; what is in progress is kWaiting here
  std::set<std::size_t> returned;  // staff say that it is back
  std::uint64_t after = 0;         // the job whose changed file this is; nothing begins before that has ended
};
struct Part {
  std::uint64_t job = 0;
  std::string bytes;
};
using Roll = std::set<std::string>;

std::string encode(const Now& now);
std::string encode(const Board& board);
std::string encode(const Part& part);
std::string encode(const Roll& roll);
// An empty value is an empty one; nothing: the bytes are not such a value.
std::optional<Now> now_from(const std::string& value);
std::optional<Board> board_from(const std::string& value);
std::optional<Part> part_from(const std::string& value);
std::optional<Roll> roll_from(const std::string& value);

std::string board_key(std::size_t slot);
std::string part_key(std::size_t slot, std::size_t part);
std::string roll_key(std::size_t roll);
std::string roll_key(const std::string& name);  // the one in which this name stands
std::vector<std::string> all_keys();

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_BOARD_HPP_
