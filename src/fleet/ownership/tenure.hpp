// Who owns a duty, as one member sees it: it reads the duty's register, takes it over when nobody holds it
// any more, renews it while it is the owner, and gives it up. No I/O, no clock; seeded. One owner, one
// thread. Milliseconds on a monotonic clock of the member's own: clocks are never compared.
//
// An owner counts its lease from before it asked, less the allowance for drift. A rival counts from when it
// first saw the lease as it stands, plus the allowance, and takes over only that very lease: each renewal has
// a number of its own, so a lease that lives is never the one that was seen.
#ifndef ANISEWICK_FLEET_OWNERSHIP_TENURE_HPP_
#define ANISEWICK_FLEET_OWNERSHIP_TENURE_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "fleet/agreement/proposer.hpp"

namespace anisewick::ownership {

// The value of a duty's register.
struct Lease {
  std::string owner;          // a member's name; empty: nobody, and the next may take it at once
  std::uint64_t session = 0;  // of the owner's process
  std::uint64_t term = 0;     // grows with every change of owner
  std::uint64_t renewal = 0;  // another one each time
  std::int64_t length_ms = 0;
  bool operator==(const Lease&) const = default;
};
std::string encode(const Lease& lease);
std::optional<Lease> lease_from(const std::string& value);  // an empty value is a lease of nobody

class Tenure {
 public:
  struct Limits {
    std::int64_t lease_ms = 2000;
    std::int64_t drift_ppm = 20'000;  // allowed for, of a clock against true time
    std::int64_t rank_ms = 150;       // an heir waits so much longer for each heir before it
    std::int64_t pause_ms = 20;       // between two tries, by jitter
  };
  // What the membership says at the moment.
  struct View {
    bool fit = false;         // may become owner: neither draining nor just started nor cut off
    int rank = -1;            // among the heirs, the owner left out; -1: far behind
    bool give_up = false;     // an owner that is to hand over now
    bool look_often = false;  // it hears nothing of the owner: it looks for itself
  };
  enum class Step { kNone, kRead, kTake, kRenew, kRelease };
  enum class Change { kNone, kTook, kLost, kReleased };

  Tenure(std::string self, std::uint64_t session, const Limits& limits, std::uint64_t seed);

  // What to do with the register now; after kNone ask again at `next_ms`.
  Step next(const View& view, std::int64_t now_ms);
  // The compare-and-set for a step.
  agreement::Proposer::Change change(Step step);
  Change settled(Step step, const agreement::Proposer::Result& result, std::int64_t now_ms);
  // A lower term than this was refused somewhere: whoever holds it owns nothing, and the next begins above
  // it.
  Change refused(std::uint64_t term);
  // The owner of that term says that it has given up: no need to wait.
  void vacant(std::uint64_t term, std::int64_t now_ms);
  // The owner's own look. Its time over, or its clock set aside: it is the owner no longer.
  Change look(std::int64_t now_ms);

  bool owns(std::int64_t now_ms) const { return mine_ && now_ms < valid_until_ms_; }
  bool held() const { return mine_; }
  std::uint64_t term() const { return term_; }  // of its own tenure, the last one
  std::uint64_t renewal() const { return renewal_; }
  const Lease& seen() const { return seen_; }
  std::int64_t seen_ms() const { return seen_ms_; }  // since when it stands so, -1: never read
  std::int64_t valid_until_ms() const { return valid_until_ms_; }

 private:
  void observe(const Lease& lease, std::int64_t now_ms);
  // When the lease that was seen may be taken over by an heir of this rank.
  std::int64_t over_ms(int rank) const;
  std::int64_t jitter(std::int64_t most);

  const std::string self_;
  const std::uint64_t session_;
  const Limits limits_;
  std::mt19937_64 random_;
  Lease seen_;
  std::int64_t seen_ms_ = -1;
  bool mine_ = false;
  std::uint64_t term_ = 0, renewal_ = 0, floor_ = 0;
  std::int64_t valid_until_ms_ = 0, renew_ms_ = 0, look_ms_ = 0;
};

}  // namespace anisewick::ownership

#endif  // ANISEWICK_FLEET_OWNERSHIP_TENURE_HPP_
