// Several processes of anisewick_fleet in three zones with four depots each, clients at every doorman whose
// answers are all accounted for, and faults by zone.
#ifndef ANISEWICK_TESTS_ZONED_HPP_
#define ANISEWICK_TESTS_ZONED_HPP_

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <random>

#include "yard.hpp"

namespace anisewick::peers {

struct ZonedOptions {
  std::size_t doormen = 6, zones = 3, depots_each = 4;
  int gap_ms = 25;  // between two requests of one doorman
  std::size_t objects = 400;
  int fill_ms = 4;  // one after another at each depot
  bool alone = false;
  std::uint64_t seed = 1;
  FleetOptions fleet = {};
  std::string zones_more = {};  // of the settings
};

class Zoned {
 public:
  using Clock = std::chrono::steady_clock;
  explicit Zoned(const ZonedOptions& o)
      : options(o), d(with(o)), yard(o.zones * o.depots_each, d.site, o.zones) {
    yard.keeps();
    yard.fills_take(o.fill_ms);
    yard.doorman_by([](const std::string& id) {
      return static_cast<int>((std::stoull(id, nullptr, 16) - 0x1000u) / kEach) - 1;
    });
  }
  ~Zoned() { end(); }

  void begin() {
    d.start();
    for (std::size_t i = 0; i < options.doormen; ++i) {
      if (!d.ready(i)) throw std::runtime_error("a doorman does not say ready");
    }
    if (!options.alone && !Doormen::until([&] { return d.owner_of("zones") != Doormen::npos; })) {
      throw std::runtime_error("nobody owns the duty");
    }
    from_ = Clock::now();
    for (std::size_t i = 0; i < options.doormen; ++i) {
      for (std::size_t k = 0; k < kClients; ++k) threads_.emplace_back([this, i, k] { run(i, k); });
    }
  }
  // All doormen serve and know what is usual; a zone falls silent and is left; it comes back cold and
  // returns.
  void settle(int ms = 2'500) {
    begin();
    pause(ms);
  }
  bool falls_silent(std::size_t zone) {
    fault(zone, {.silent = true});
    return wait(zone, "left");
  }
  void restart(std::size_t zone) {
    down(zone);
    up(zone);
  }
  bool returning(std::size_t zone) {
    return Doormen::until([&] { return line(of_zone(zone)[0], zone).starts_with("returning"); });
  }
  // Of the requests a second from now on.
  double good_soon() {
    const double from = now();
    pause(2'000);
    return good(from + 1'000, from + 2'000);
  }
  void end() {
    over_ = true;
    for (std::thread& t : threads_) t.join();
    threads_.clear();
  }
  double now() const { return std::chrono::duration<double, std::milli>(Clock::now() - from_).count(); }
  static void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

  void away(std::size_t i, bool on) {  // its clients go elsewhere, before it is harmed
    if (on) ++processes_[i];  // a client that sees nothing of it goes to the next one anew all the same
    away_[i] = on;
    if (on) pause(40);
  }
  void fault(std::size_t zone, const Yard::Fault& f) {
    for (std::size_t i = 0; i < yard.size(); ++i) {
      if (yard.zone_of(i) == zone) yard.fault(i, f);
    }
  }
  // Its depots are gone, or there again as new processes that hold nothing; the bus says so.
  void down(std::size_t zone) {
    for (std::size_t i = 0; i < yard.size(); ++i) {
      if (yard.zone_of(i) == zone) yard.down(i);
    }
  }
  void up(std::size_t zone) {
    for (std::size_t i = 0; i < yard.size(); ++i) {
      if (yard.zone_of(i) == zone) yard.up(i);
    }
  }
  // A doorman's line on a zone, as "edge-1 left 10%, ..."; empty: it does not answer.
  std::string line(std::size_t doorman, std::size_t zone) {
    std::istringstream text(d.ask(doorman, "GET", "/_zones"));
    const std::string name = zone_name(zone) + " ";
    for (std::string l; std::getline(text, l);) {
      if (l.starts_with(name)) return l.substr(name.size());
    }
    return text.str().empty() ? "" : "in 100%";
  }
  static std::string zone_name(std::size_t zone) { return "edge-" + std::to_string(zone + 1); }
  std::vector<std::size_t> of_zone(std::size_t zone) const {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < options.doormen; ++i) {
      if (i % options.zones == zone) out.push_back(i);
    }
    return out;
  }
  // Whether every doorman of these (all without any) shows the zone so.
  bool all_show(std::size_t zone, const std::string& what, std::vector<std::size_t> who = {}) {
    if (who.empty()) {
      for (std::size_t i = 0; i < options.doormen; ++i) who.push_back(i);
    }
    return std::all_of(who.begin(), who.end(),
                       [&](std::size_t i) { return line(i, zone).starts_with(what); });
  }
  bool wait(std::size_t zone, const std::string& what, int ms = kLimitMs, std::vector<std::size_t> who = {}) {
    return Doormen::until([&] { return all_show(zone, what, who); }, ms);
  }

  struct End {
    double at_ms = 0, took_ms = 0;
    std::size_t doorman = 0;
    bool whole = false, refused = false, broken = false;
  };
  std::vector<End> ends() {
    const std::lock_guard hold(mutex_);
    return ends_;
  }
  // Of the requests begun in that time, those answered whole within so many milliseconds.
  double good(double from_ms, double to_ms, double within_ms = 200) {
    double all = 0, well = 0;
    for (const End& e : ends()) {
      if (e.at_ms < from_ms || e.at_ms >= to_ms) continue;
      ++all;
      well += e.whole && e.took_ms <= within_ms;
    }
    return all == 0 ? 0.0 : well / all;
  }
  std::size_t lost() {
    const auto all = ends();
    for (const End& e : all) {
      if (e.broken)
        std::cout << "broken: n" << e.doorman << " at " << e.at_ms << " ms, after " << e.took_ms << "\n";
    }
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const End& e) { return e.broken; }));
  }

  static constexpr int kOddGroup = 18;  // of the objects with odd ids
  const ZonedOptions options;
  Doormen d;
  Yard yard;

 private:
  static constexpr std::uint64_t kEach = 10'000'000, kClients = 6;
  static FleetOptions with(const ZonedOptions& o) {
    FleetOptions f = o.fleet;
    f.members = o.doormen;
    f.zones = static_cast<int>(o.zones);
    f.alone = o.alone;
    f.seed = o.seed;
    f.more += "duties { name: \"zones\" }\nzones { step_ms: 300 hold_ms: 1000 part_ms: 1500 keep_ms: 6000 " +
              o.zones_more + " }\n";
    return f;
  }
  // Each doorman has a few clients, so that one that waits holds up no other.
  void run(std::size_t i, std::size_t k) {
    std::mt19937_64 random(options.seed * 1'000 + i * kClients + k);
    std::optional<Stream> s;
    int process = 0;
    auto next = Clock::now() + std::chrono::milliseconds(static_cast<int>(k) * options.gap_ms);
    std::uint64_t n = k * (kEach / kClients);
    while (!over_) {
      next += std::chrono::milliseconds(options.gap_ms * static_cast<int>(kClients));
      std::this_thread::sleep_until(next);
      if (process != processes_[i]) s.reset();
      process = processes_[i];
      if (!d.up(i) || away_[i]) {
        s.reset();
        next = Clock::now();
        continue;
      }
      Ask ask = numbered(kEach * (i + 1) + ++n);
      // A few objects take most of the requests.
      const double u = std::uniform_real_distribution<>()(random);
      const auto object = static_cast<std::uint64_t>(u * u * static_cast<double>(options.objects));
      ask.object = hex16(0xabc000u + object);
      ask.group = object % 2 == 0 ? 17 : kOddGroup;
      ask.patience_ms = 2'000;
      ask.size = "40";
      End e;
      e.doorman = i;
      e.at_ms = std::chrono::duration<double, std::milli>(next - from_).count();
      try {
        if (!s) s = Stream::to(d.front(i));
        s->write(request(1, ask));
        const Answer a = answer(*s);
        e.whole = a.body == "whole";
        e.refused = a.has("503");
      } catch (const std::exception&) {
        s.reset();
        if (away_[i] || !d.up(i)) continue;
        e.broken = true;
      }
      e.took_ms = std::chrono::duration<double, std::milli>(Clock::now() - next).count();
      // What came late through a late answer before it is not this one's fault, but counts: clients do not
      // wait.
      const std::lock_guard hold(mutex_);
      ends_.push_back(e);
      if (Clock::now() > next + std::chrono::milliseconds(500)) next = Clock::now();
    }
  }

  std::mutex mutex_;
  std::vector<End> ends_;
  std::atomic<bool> over_ = false;
  std::array<std::atomic<bool>, 16> away_{};
  std::array<std::atomic<int>, 16> processes_{};
  Clock::time_point from_ = Clock::now();
  std::vector<std::thread> threads_;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_ZONED_HPP_
