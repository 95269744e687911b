// Whom a newcomer asks for what it knows, in which order, and when again. No I/O, no clock; seeded. One
// thread.
//
// One peer at a time. Who has run for longer goes first, by steps of two and up to an hour (beyond that it
// knows no more), in a step by lot, so that many newcomers do not all ask the same one. Who has just started
// itself is not asked: two newcomers would teach one another what neither knows. Suspects are not asked. Who
// failed is asked again after a pause that doubles, with jitter, within a budget of tries and a time; then
// the newcomer goes on alone.
#ifndef ANISEWICK_FLEET_MEMBERSHIP_ASKING_HPP_
#define ANISEWICK_FLEET_MEMBERSHIP_ASKING_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "fleet/membership/swim.hpp"

namespace anisewick::membership {

class Asking {
 public:
  struct Limits {
    std::size_t want = 3;           // peers whose knowledge is taken
    std::uint32_t least_up_s = 30;  // of who is asked
    int tries = 12;                 // in all
    std::int64_t pause_ms = 200;    // after a peer's first failure
    std::int64_t most_pause_ms = 10'000;
    std::int64_t give_up_ms = 60'000;  // from the start
    std::int64_t alone_ms = 5000;      // for somebody to be found who can be asked at all
  };
  enum class End {
    kTaken,   // all of it came and was sound
    kFailed,  // not reached, broke off, out of time: asked again later
    kBusy,    // it helps others already: asked again later, and costs no try
    kUnfit    // of another version, or not sound: not asked again
  };
  struct Next {
    enum class What { kAsk, kWait, kOver } what = What::kOver;
    Peer peer;               // kAsk
    std::int64_t at_ms = 0;  // kWait: look again then at the latest
  };

  Asking(const Limits& limits, std::uint64_t seed, std::int64_t now_ms)
      : limits_(limits), random_(seed), started_ms_(now_ms) {}

  // kAsk: that peer is being asked from now on, until `ended`.
  Next next(const std::map<std::string, Swim::Member>& members, std::int64_t now_ms);
  void ended(End end, std::int64_t now_ms);

  std::size_t taken() const { return taken_; }
  int tries() const { return tries_; }

 private:
  struct Tried {
    std::uint64_t incarnation = 0;  // of another process nothing is known yet
    int failures = 0;
    std::int64_t again_ms = 0;
    bool over = false;  // taken, or unfit
  };
  Limits limits_;
  std::mt19937_64 random_;
  std::int64_t started_ms_;
  std::unordered_map<std::string, Tried> tried_;
  std::unordered_map<std::string, std::uint64_t> lots_;
  std::string asked_;  // empty: nobody is being asked
  std::size_t taken_ = 0;
  int tries_ = 0;
};

}  // namespace anisewick::membership

#endif  // ANISEWICK_FLEET_MEMBERSHIP_ASKING_HPP_
