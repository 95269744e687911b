// What a cache box decides about a request: whether a copy will do, what a fill asks of its source, what the
// end of a fill means for those who wait, and when bytes may go out. No I/O, no clock, one thread. Unix
// milliseconds. Source: the platform's protocol and wire pages on `oldest`, `mode`, notes and completion
// codes.
#ifndef ANISEWICK_SERVING_SERVING_HPP_
#define ANISEWICK_SERVING_SERVING_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "copies/copy.hpp"
#include "depot/depot.hpp"
#include "depot/end.hpp"
#include "depot/request.hpp"
#include "purges/ledger.hpp"

namespace anisewick::serving {

struct Class {
  std::string name;
  std::int64_t fresh_ms = 0;  // 0: until it is purged
  std::int64_t grace_ms = 0;
  bool write = false;  // never kept, never run twice
};

// The earliest birth that will do for this request, by its age alone. 0: any.
std::int64_t least_birth(const Class& cls, std::int64_t oldest_ms, std::int64_t now_ms);

enum class Fit {
  kServe,       // as it is
  kServeStale,  // past its fresh time, and allowed
  kAsk,         // too old, or doubtful: it will do if its source says that it is still the one
  kVoid         // purged: no copy of this birth may be used, nor asked about
};
struct Judgement {
  Fit fit = Fit::kVoid;
  bool renew = false;  // fetch it anew behind, if the request says so
};
Judgement judge(const copies::About& about, bool doubtful, const Class& cls, const depot::Request& request,
                const purges::Ledger& ledger, std::int64_t now_ms);

// How a request ends that is not served.
struct Refusal {
  depot::Word word = depot::Word::kLack;
  int remark = 0;
};
enum Remark {
  kHit = 1,
  kFilled,
  kViaOrigin,
  kJoined,
  kStale,
  kSrcRefused,
  kSrcBroke,
  kSrcLacks,
  kNoSlot,
  kOriginFailed
};

struct FillLimits {
  std::size_t places = 64;         // fills under way
  std::int64_t timeout_ms = 3000;  // of one try
  int tries = 3;                   // in all
  std::int64_t pause_ms = 20;      // before the second; doubled for each further one, with jitter
};

// One fill's course. `write`: what may have run is not sent again, and is not called unrun.
class Fill {
 public:
  enum class What { kAgain, kGood, kOver };
  struct Next {
    What what = What::kOver;
    std::int64_t pause_ms = 0;  // before it is asked again
    bool plain = false;         // asked again without the tag of our own copy
    Refusal refusal;            // of those who wait
  };
  Fill(const FillLimits& limits, bool write, bool from_origin, std::int64_t until_ms)
      : limits_(limits), write_(write), from_origin_(from_origin), until_ms_(until_ms) {}

  // Before each try: for how long the source may take.
  std::int64_t time_for(std::int64_t now_ms) const;
  // The source failed, in this way.
  Next failed(End end, int remark, std::int64_t now_ms, std::minstd_rand& random);
  // It answered with a copy that may not be used: born too early, or void by now.
  Next too_old(std::int64_t now_ms, std::minstd_rand& random);
  // Somebody who waits longer has joined.
  void extend(std::int64_t until_ms);
  int tries() const { return tries_; }

 private:
  Next again(const Refusal& else_with, std::int64_t now_ms, std::minstd_rand& random, bool plain);

  const FillLimits& limits_;
  bool write_, from_origin_;
  std::int64_t until_ms_;
  int tries_ = 1;
};

// When the bytes of answers may go out: each transfer at its own pace, all of them together on one link, in
// the order in which they ask. Rates in bytes a second; 0: not limited.
class Pacer {
 public:
  struct Transfer {
    std::int64_t free_at_us = 0;
  };
  Pacer(std::uint64_t link, std::uint64_t flow) : link_(link), flow_(flow) {}
  bool limits() const { return link_ > 0 || flow_ > 0; }
  // Books the bytes and gives the time, in microseconds, at which they may be written.
  std::int64_t book(Transfer& transfer, std::size_t bytes, std::int64_t now_us);
  // How much of the link is taken, 0 to 1 and more, by what waits now.
  double load(std::int64_t now_us) const;

 private:
  std::uint64_t link_, flow_;
  std::int64_t link_free_at_us_ = 0;
};

}  // namespace anisewick::serving

#endif  // ANISEWICK_SERVING_SERVING_HPP_
