// What goes to disk and what leaves it. No I/O, no clock, no threads; times are given, in milliseconds.
//
// A store is a log of segments. It offers each part that it does not hold, gives up a whole segment when it
// needs room, and asks which of that segment's parts are written again. `Ranked` is what we run; `AdmitAll`
// is the baseline, with a queue (FIFO) or with second chances (LRU as a log can have it).
#ifndef ANISEWICK_ADMISSION_KEEPER_HPP_
#define ANISEWICK_ADMISSION_KEEPER_HPP_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>

#include "admission/sketch.hpp"
#include "copies/copy.hpp"

namespace anisewick::admission {

struct Offer {
  copies::Key key;
  std::uint32_t bytes = 0;
  int rank = 0;
};
// A segment that could go, oldest first in the list that is given.
struct Segment {
  std::uint64_t bytes = 0;       // as it lies on disk
  std::uint64_t live_bytes = 0;  // of parts that the index still names
  std::uint64_t hot_bytes = 0;   // of live parts that were asked for since they were written
};
// A live part of the segment that goes.
struct Held {
  copies::Key key;
  std::uint32_t bytes = 0;
  int rank = 0;
  int asked = 0;  // how often since it was written, at most 15
};

class Keeper {
 public:
  virtual ~Keeper() = default;
  // A request for this part came to the box, whatever it was answered from.
  virtual void asked(const copies::Key& key, std::int64_t now_ms) = 0;
  // True: write it. Asked again for a part that was passed over when it is asked for again.
  virtual bool admit(const Offer& offer, std::int64_t now_ms) = 0;
  // The place in `segments` (never empty) of the one that goes.
  virtual std::size_t victim(std::span<const Segment> segments) = 0;
  // `kept`: bytes of the segment that are being written again so far.
  virtual bool again(const Held& held, const Segment& segment, std::uint64_t kept, std::int64_t now_ms) = 0;
  // Memory of its tables, at the most.
  virtual std::size_t bytes() const = 0;
};

class AdmitAll final : public Keeper {
 public:
  enum class Order { kFifo, kLru };
  explicit AdmitAll(Order order) : order_(order) {}
  void asked(const copies::Key&, std::int64_t) override {}
  bool admit(const Offer&, std::int64_t) override { return true; }
  std::size_t victim(std::span<const Segment>) override { return 0; }
  bool again(const Held& held, const Segment&, std::uint64_t, std::int64_t) override {
    return order_ == Order::kLru && held.asked > 0;
  }
  std::size_t bytes() const override { return 0; }

 private:
  Order order_;
};

class Ranked final : public Keeper {
 public:
  struct Limits {
    std::uint64_t write_bytes_per_s = 0;  // 0: no budget
    std::uint64_t write_burst_bytes = 64 << 20;
    std::size_t keys = 1 << 18;            // told apart by the counts; four bytes each
    std::size_t ghosts = 1 << 16;          // parts remembered that were passed over; about 40 bytes each
    std::uint32_t large_bytes = 96 << 10;  // from here on a part needs one request more
    double again_share = 0.2;              // of a segment's bytes that may be written again
  };
  explicit Ranked(const Limits& limits);

  void asked(const copies::Key& key, std::int64_t now_ms) override;
  bool admit(const Offer& offer, std::int64_t now_ms) override;
  std::size_t victim(std::span<const Segment> segments) override;
  bool again(const Held& held, const Segment& segment, std::uint64_t kept, std::int64_t now_ms) override;
  std::size_t bytes() const override;

  std::uint64_t over_budget() const { return over_budget_; }
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  void refill(std::int64_t now_ms);
  bool pay(std::uint32_t bytes, bool first, std::int64_t now_ms);
  // True: it was passed over before, and is forgotten now.
  bool haunts(std::uint64_t hash);
  void pass_over(std::uint64_t hash);

  Limits limits_;
  Sketch sketch_;
  absl::flat_hash_map<std::uint64_t, std::uint64_t> ghosts_;  // by hash, the turn in which it came
  std::deque<std::pair<std::uint64_t, std::uint64_t>> line_;  // hash and turn, oldest first
  std::uint64_t turn_ = 0;
  std::size_t spared_ = 0;  // how often in a row the oldest segment was
  double budget_;
  std::int64_t filled_ms_ = -1;
  std::uint64_t over_budget_ = 0, passed_over_ = 0;
};

}  // namespace anisewick::admission

#endif  // ANISEWICK_ADMISSION_KEEPER_HPP_
