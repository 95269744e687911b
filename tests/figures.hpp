// What the benches share: arguments, quantiles, spread, work on all cores.
#ifndef ANISEWICK_TESTS_FIGURES_HPP_
#define ANISEWICK_TESTS_FIGURES_HPP_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace anisewick::figures {

using Clock = std::chrono::steady_clock;

inline double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}
// The value below which that share of all lies; 0 of none.
inline double at(std::vector<double> all, double share) {
  if (all.empty()) return 0.0;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())))];
}
inline double mean(const std::vector<double>& all) {
  double sum = 0;
  for (const double x : all) sum += x;
  return all.empty() ? 0.0 : sum / static_cast<double>(all.size());
}
// Half of the 95% interval of the mean.
inline double half_interval(const std::vector<double>& all) {
  if (all.size() < 2) return 0.0;
  const double m = mean(all), n = static_cast<double>(all.size());
  double sum = 0;
  for (const double x : all) sum += (x - m) * (x - m);
  return 1.96 * std::sqrt(sum / (n - 1.0) / n);
}

// f(i) for each i below n, on as many threads as there are cores.
inline void spread_over(std::size_t n, const std::function<void(std::size_t)>& f) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < std::max(1u, std::thread::hardware_concurrency()); ++t) {
    threads.emplace_back([&] {
      for (std::size_t i; (i = next++) < n;) f(i);
    });
  }
  for (std::thread& t : threads) t.join();
}

struct Arguments {
  bool quick = false;
  std::uint64_t seed = 1;
  std::vector<std::string> rest;
  bool has(const char* word) const { return std::find(rest.begin(), rest.end(), word) != rest.end(); }
  std::string after(const char* word) const {  // empty: it is not there
    const auto it = std::find(rest.begin(), rest.end(), word);
    return it == rest.end() || it + 1 == rest.end() ? std::string() : *(it + 1);
  }
};
inline Arguments arguments(int argc, char** argv) {
  Arguments a;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--quick") == 0) {
      a.quick = true;
    } else if (std::strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
      a.seed = std::stoull(argv[++i]);
    } else {
      a.rest.emplace_back(argv[i]);
    }
  }
  return a;
}

}  // namespace anisewick::figures

#endif  // ANISEWICK_TESTS_FIGURES_HPP_
