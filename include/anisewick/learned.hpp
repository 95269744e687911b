// What a front learns while it runs, as plain values: how servers do, what is hot, what the origin gives. The
// module reckons with these and decides; a further process of the same front may start with them.
// Times are nanoseconds on the Unix clock; work is seconds of sending to a client.
#ifndef ANISEWICK_LEARNED_HPP_
#define ANISEWICK_LEARNED_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anisewick {

// An exponentially smoothed mean; the first sample stands for itself.
struct Smoothed {
  double value = 0.0;
  bool known = false;
  void add(double x, double weight) {
    value = known ? value + weight * (x - value) : x;
    known = true;
  }
};

// A sum over the last while: what was added longer ago than the window is forgotten. Times never go back.
struct Window {
  std::vector<std::pair<std::int64_t, double>> added;  // in order, from `first`
  std::size_t first = 0;
  double sum = 0.0;
  void forget(std::int64_t before) {
    while (first < added.size() && added[first].first < before) sum -= added[first++].second;
    if (first == added.size()) {
      added.clear();
      first = 0;
      sum = 0.0;
    } else if (first > 64 && 2 * first > added.size()) {
      added.erase(added.begin(), added.begin() + static_cast<std::ptrdiff_t>(first));
      first = 0;
    }
  }
  void add(std::int64_t now, std::int64_t window, double amount) {
    forget(now - window);
    added.emplace_back(now, amount);
    sum += amount;
  }
  // Takes back what was added at that time, once; nothing where it is forgotten by now.
  void take_back(std::int64_t at, double amount) {
    for (std::size_t i = first; i < added.size(); ++i) {
      if (added[i].first != at || added[i].second != amount) continue;
      sum -= amount;
      added[i].second = 0.0;
      return;
    }
  }
};

// How well a server does in one role: as the cache asked, or as the source of fills.
struct Health {
  double failing = 0.0;  // smoothed share of attempts
  Smoothed slowness;     // elapsed over what it should take
  std::int64_t next_trial = 0;
  bool out = false;
};

// The limit on fills at one server, learned from how its fills end.
struct Crowd {
  double filling = 0.0;  // work out for which a fill is allowed
  double peak = 0.0;     // the most of it lately: what is out just now may be low by chance
  std::int64_t peak_at = 0;
  double limit = 0.0;       // of that; 0: not met yet
  double late_share = 0.0;  // smoothed share of fills that were late or failed
  std::int64_t next_cut = 0;
};

// All that is learned of one server.
struct Experience {
  Health asked, sourced;
  Crowd crowd;
  Smoothed first_byte;
  Window sent;                // work sent within the fall window
  std::int64_t answered = 0;  // when it last gave any answer, good or bad
  double rate = 0.0;          // work served a second, smoothed
  std::int64_t rated = 0;
};

// What the origin gives in time, and how much of it is asked for while it is weak or many copies are void.
struct Pace {
  double usual = 0.0;  // answers in time a second, smoothed, while it is not paced
  double gain = 0.0;   // of that; 0: not paced
  double tokens = 0.0;
  double late_share = 0.0;  // smoothed
  std::int64_t at = 0, cut_at = 0, denied_at = 0, seen_at = 0;
};

struct Counted {
  std::uint64_t key = 0;
  std::uint32_t count = 0;
  bool admitted = false;
};

struct Learned {
  struct Of {
    std::int64_t process = 0;  // when the process that this is about was started; 0: long ago
    Experience what;
  };
  std::map<std::string, Of> servers;
  std::vector<Counted> objects;  // the admitted and the hottest others
  Pace origin;
  double links_late = 0.0;  // smoothed share of what parents held that came late
  double retries = 0.0;     // further attempts in hand
};

}  // namespace anisewick

#endif  // ANISEWICK_LEARNED_HPP_
