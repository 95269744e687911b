// What a doorman leaves alone: the picture as it read it last, and its permit to send to machines that are
// announced. No I/O, no clock; one owner, one thread. Milliseconds on a monotonic clock.
//
// A permit is a read of the register by the doorman itself, counted from before it asked, less drift: whoever
// reads after a machine was asked out knows it, so every permit from before is over a permit's length later,
// whatever is lost, stopped or late. No owner grants it, so none can grant it wrongly.
#ifndef ANISEWICK_FLEET_WORK_PERMIT_HPP_
#define ANISEWICK_FLEET_WORK_PERMIT_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/work/board.hpp"

namespace anisewick::work {

struct Times {
  std::int64_t permit_ms = 2000;
  std::int64_t drift_ppm = 20'000;
  std::int64_t longest_ms = 10'000;  // that an attempt at a depot may last
  std::int64_t calm_ms = 5'000;      // after trouble, until something goes out again
};

class Permit {
 public:
  // `saved`: what it heeded before it was restarted; without a permit all of it is left alone.
  Permit(const Times& times, Now saved) : times_(times), now_(std::move(saved)) {}

  // What stands in the register, by a read that was begun at `asked_ms`. True: it is news.
  bool read(const Now& now, std::int64_t asked_ms, std::int64_t now_ms);
  // Somebody speaks of a picture with that number.
  void spoken_of(std::uint64_t number) { spoken_of_ = std::max(spoken_of_, number); }
  // It is to be read now.
  bool due(std::int64_t now_ms) const;
  void asked(std::int64_t now_ms) { asked_ms_ = now_ms; }

  bool valid(std::int64_t now_ms) const { return ever_ && now_ms < until_ms_; }
  std::vector<std::string> left(std::int64_t now_ms) const;  // machines, by name
  const Now& now() const { return now_; }
  bool ever() const { return ever_; }

 private:
  const Times times_;
  Now now_;
  bool ever_ = false;
  std::uint64_t spoken_of_ = 0;
  std::int64_t until_ms_ = 0, read_ms_ = 0, asked_ms_ = -1'000'000;
};

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_PERMIT_HPP_
