// The parts that one doorman was told and may still use, as the owner of the duty counts them. A part answers
// one of the doorman's words and is its own from before it sent that word, so one that answers an earlier
// word is never heeded after one that answers a later: what the doorman says that it holds ends all that came
// before. No I/O, no clock; one owner, one thread. Milliseconds on the owner's monotonic clock; parts in
// requests a second.
#ifndef ANISEWICK_FLEET_ZONES_GRANTS_HPP_
#define ANISEWICK_FLEET_ZONES_GRANTS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>

namespace anisewick::zones {

class Grants {
 public:
  static constexpr std::size_t kMost = 32;  // that are told apart

  // It was told this part in answer to its word of that serial; surely over at `until_ms`.
  void told(std::uint64_t serial, double part, std::int64_t until_ms);
  // It says that it holds this part, by an answer to its word of that serial; 0: it does not say by which.
  void holds(std::uint64_t serial, double part);
  // Another process of its name speaks, which counts its words anew; the one before may still use what it
  // has.
  void followed();
  // What it may use at the most.
  double most(std::int64_t now_ms) const;

 private:
  struct Grant {
    std::uint64_t serial = 0;
    double part = 0.0;
    std::int64_t until_ms = 0;
  };
  std::deque<Grant> all_;  // by serial
  Grant before_;
};

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_GRANTS_HPP_
