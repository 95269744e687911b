#include "fleet/zones/test.hpp"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>

namespace anisewick::zones {
namespace {
constexpr double kMost = 2.0 * kRings;  // so much it grows at the most, so that it can fall again
}

void Cusum::add(std::uint64_t well, std::uint64_t failed) {
  // Their order within one message is not known: what failed counts last, as it would in a zone that goes
  // down.
  const double good = std::log((1.0 - bad_) / (1.0 - usual_)), bad = std::log(bad_ / usual_);
  sum_ = std::max(0.0, sum_ + static_cast<double>(well) * good);
  sum_ = std::min(kMost, sum_ + static_cast<double>(failed) * bad);
}

void Cusum::resume(double sum) { sum_ = std::clamp(sum, 0.0, kMost); }

double most_failing(std::uint64_t failed, std::uint64_t all) {
  if (all == 0 || failed >= all) return 1.0;
  using boost::math::binomial_distribution;
  return binomial_distribution<>::find_upper_bound_on_p(static_cast<double>(all), static_cast<double>(failed),
                                                        0.05);
}

double mean_below(double most) {
  // The chance of no more than k at a mean of x is the upper incomplete gamma function of k + 1 at x.
  return boost::math::gamma_q_inv(std::floor(std::clamp(most, 0.0, 1e6)) + 1.0, 0.999);
}

}  // namespace anisewick::zones
