// Plain measures that the decisions are reckoned with. They decide nothing.
#ifndef ANISEWICK_MEASURES_WINDOW_HPP_
#define ANISEWICK_MEASURES_WINDOW_HPP_

#include <cstdint>
#include <deque>
#include <utility>

namespace anisewick::measures {

using Time = std::int64_t;  // nanoseconds

// A sum over the last while: what was added longer ago than the window is forgotten. Times never go back.
class Window {
 public:
  double sum() const { return sum_; }
  void forget(Time before) {
    while (!added_.empty() && added_.front().first < before) {
      sum_ -= added_.front().second;
      added_.pop_front();
    }
    if (added_.empty()) sum_ = 0.0;
  }
  void add(Time now, Time window, double amount) {
    forget(now - window);
    added_.emplace_back(now, amount);
    sum_ += amount;
  }
  // Takes back what was added at that time, once; nothing where it is forgotten by now.
  void take_back(Time at, double amount) {
    for (auto& [when, added] : added_) {
      if (when != at || added != amount) continue;
      sum_ -= added;
      added = 0.0;
      return;
    }
  }

 private:
  std::deque<std::pair<Time, double>> added_;
  double sum_ = 0.0;
};

// An exponentially smoothed mean; the first sample stands for itself.
class Smoothed {
 public:
  explicit Smoothed(double weight) : weight_(weight) {}
  bool known = false;
  double value = 0.0;
  void add(double x) {
    value = known ? value + weight_ * (x - value) : x;
    known = true;
  }

 private:
  double weight_;  // of a new sample
};

}  // namespace anisewick::measures

#endif  // ANISEWICK_MEASURES_WINDOW_HPP_
