// What the processes of one doorman share while one takes over from another: the operators' word on depots
// and on the drain, and who runs. No I/O, no clock. Plain values; one owner, one thread.
#ifndef ANISEWICK_HANDOVER_STATE_HPP_
#define ANISEWICK_HANDOVER_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "holds/holds.hpp"

namespace anisewick::handover {

// A process of this doorman. The later one, by its start and then its incarnation, takes over.
struct Runner {
  std::uint64_t incarnation = 0;  // drawn at its start
  std::int64_t started_ms = 0;    // Unix time
  bool ready = false;             // it has said, or is about to say, that it takes work
  bool operator==(const Runner&) const = default;
};

// The drain of the doorman: of two calls the later one counts, of two at one moment the one that empties.
struct Drain {
  bool on = false;
  std::int64_t at_ms = 0;  // Unix time of the call; 0: there was none
  bool operator==(const Drain&) const = default;
};

struct State {
  std::string name;  // of the doorman
  std::vector<holds::Mark> marks;
  Drain drain;
  std::vector<Runner> runners;
  bool operator==(const State&) const = default;
};

constexpr std::size_t kMostBytes = 1u << 20;  // of a state file

// One line for what it is, with its length and a checksum, then one line a value.
std::string encode(const State& state);
// None: `why` says in a few words what is wrong with it. `name` is that of the doorman that reads.
std::optional<State> decode(std::string_view bytes, std::string_view name, std::string& why);

// The later word of both on every depot and on the drain; whichever runners either knows, ready if one says
// so.
State merged(const State& a, const State& b);

// What the others mean to the process of that incarnation, which is among `state.runners`.
struct Others {
  bool before = false;    // one that it takes over from
  bool after = false;     // one that takes over from it, and is ready
  bool starting = false;  // one that will, and is not ready yet
  bool operator==(const Others&) const = default;
};
Others others(const State& state, std::uint64_t incarnation);

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_STATE_HPP_
