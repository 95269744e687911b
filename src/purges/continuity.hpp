// Whether every purge since the last one known has been heard: what is proved by the event bus's numbers.
// No I/O, no clock; one thread. Times are Unix milliseconds, given with each call.
//
// The bus numbers its events and tells on request those after a number. Numbers alone prove nothing, since
// the bus may have been started anew and count from 1 again. So one event that carries a time of its own, the
// witness, is kept with its number and a digest, and on each connection the bus is asked for it again. If it
// comes back the same and all that follows has no hole, the numbering is the one that was known. A first
// empty frame then says that all has been told.
#ifndef ANISEWICK_PURGES_CONTINUITY_HPP_
#define ANISEWICK_PURGES_CONTINUITY_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "bus/bus.hpp"

namespace anisewick::purges {

std::uint64_t digest_of(const bus::Event& event);

// The latest event that can be recognised when it is told again.
struct Witness {
  std::uint64_t number = 0;  // 0: none
  std::uint64_t digest = 0;
  friend bool operator==(const Witness&, const Witness&) = default;
};

class Continuity {
 public:
  enum class State {
    kUnproven,  // after a start or a loss, until the bus has proved the numbering
    kProven     // all that the bus has told is known, or was a short while ago
  };
  struct Verdict {
    bool heed = false;    // not told before on this connection; hearing it twice in a life does no harm
    bool gap = false;     // something may have gone unheard: what was stored before now is doubtful
    bool proven = false;  // by this frame or before it, on this connection
  };

  // `any`: there are copies from before, so that what went unheard matters. `away_ms`: for how long a bus
  // that is lost is still held to be known; then the state is unproven.
  Continuity(Witness witness, bool any, std::int64_t away_ms);

  // The number to ask from at a new connection. `whole`: also all before, for the list of depots.
  std::uint64_t ask_from(bool whole) const;
  // What is heard from here on is of a new connection.
  void begun();
  Verdict heard(const bus::Event& event);
  // The connection has ended or fallen silent. If it goes on, all that is needed is its next empty frame.
  void lost(std::int64_t now_ms);
  State state(std::int64_t now_ms) const;
  const Witness& witness() const { return witness_; }

 private:
  Witness witness_;
  Witness candidate_;  // of this connection, should its numbering be another one
  bool any_;
  std::int64_t away_ms_;
  bool proven_ = false;               // on this connection
  bool seen_ = false;                 // the witness came back the same on this connection
  bool hole_ = false;                 // a number was missing before the numbering was proven
  std::uint64_t next_ = 0;            // the number that must follow; 0: any
  std::optional<std::int64_t> lost_;  // since when nothing is proven, after it was
  bool ever_ = false;                 // proven at least once since the start
};

}  // namespace anisewick::purges

#endif  // ANISEWICK_PURGES_CONTINUITY_HPP_
