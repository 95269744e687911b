// What is made of one doorman's counts of one zone, the same by the owner of the duty and by the doorman
// itself: the sequential tests, and what ended of late. No I/O, no clock; one owner, one thread. Milliseconds
// on a monotonic clock.
#ifndef ANISEWICK_FLEET_ZONES_WATCH_HPP_
#define ANISEWICK_FLEET_ZONES_WATCH_HPP_

#include <array>
#include <cstdint>
#include <optional>

#include "fleet/zones/picture.hpp"
#include "fleet/zones/test.hpp"

namespace anisewick::zones {

class Watch {
 public:
  // A further look at the counts since that process began, taken at `seen_ms`: what came since the one
  // before. Nothing: it is the first, or they fell, so there is nothing to compare with.
  std::optional<evidence::Tally> add(const evidence::Tally& tally, std::int64_t seen_ms);
  bool known() const { return known_; }
  const evidence::Tally& last() const { return last_; }

  const Alarm& alarm() const { return alarm_; }
  void calm() { alarm_.reset(); }                   // what follows is judged by itself
  double lately(std::int64_t now_ms) const;         // attempts that ended, halved each second
  double lately_failed(std::int64_t now_ms) const;  // of these
  const std::array<double, evidence::kKinds>& recent() const { return recent_; }

  // How it stands, where anything was seen of late; and to go on from where another stood.
  std::optional<Felt> felt(std::int64_t now_ms) const;
  void resume(const Felt& felt, std::int64_t seen_ms);

 private:
  evidence::Tally last_;
  bool known_ = false;
  Alarm alarm_;
  std::array<double, evidence::kKinds> recent_{};
  std::int64_t recent_ms_ = 0;
};

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_WATCH_HPP_
