// The tests by which a zone is judged. No I/O, no clock.
//
// Each doorman's attempts at a zone feed two sequential tests after Page (1954): one for a zone that is down,
// one for grey failure. A test adds the log of how much likelier an end is in a bad zone than in a usual one,
// never below zero, and rings at kRings. By Wald's bound a usual zone rings once in e^kRings = 10,000
// attempts of one doorman at the most; the fleet needs two doormen at a time, and two thirds of those who
// ask.
#ifndef ANISEWICK_FLEET_ZONES_TEST_HPP_
#define ANISEWICK_FLEET_ZONES_TEST_HPP_

#include <cstdint>

namespace anisewick::zones {

constexpr double kRings = 9.21;
constexpr double kSuspects = kRings / 3.0;

class Cusum {
 public:
  // Shares of attempts that fail in a usual zone and in a bad one.
  constexpr Cusum(double usual, double bad) : usual_(usual), bad_(bad) {}
  void add(std::uint64_t well, std::uint64_t failed);
  double sum() const { return sum_; }
  void reset() { sum_ = 0.0; }
  void resume(double sum);  // from where another stood; no more than it may grow to

 private:
  double usual_, bad_, sum_ = 0.0;
};

// Three failures in a row, or most of some more; one in eight, of some hundred.
class Alarm {
 public:
  void add(std::uint64_t well, std::uint64_t failed) {
    down_.add(well, failed);
    grey_.add(well, failed);
  }
  double sum() const { return down_.sum() > grey_.sum() ? down_.sum() : grey_.sum(); }
  double down_sum() const { return down_.sum(); }
  double grey_sum() const { return grey_.sum(); }
  bool down() const { return down_.sum() >= kRings; }
  bool grey() const { return grey_.sum() >= kRings; }
  bool rings() const { return sum() >= kRings; }
  bool suspects() const { return sum() >= kSuspects; }
  void reset() {
    down_.reset();
    grey_.reset();
  }
  void resume(double down, double grey) {
    down_.resume(down);
    grey_.resume(grey);
  }

 private:
  Cusum down_{0.02, 0.5}, grey_{0.01, 0.1};
};

// The highest share of failures that is still likely, at 95%, where `failed` of `all` did (Clopper, Pearson).
double most_failing(std::uint64_t failed, std::uint64_t all);

// The largest mean of what comes by chance (Poisson) of which a second sees more than `most` once in a
// thousand.
double mean_below(double most);

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_TEST_HPP_
