// Several processes of anisewick_fleet with the duty of machines out for work, a dozen depots, and clients at
// every doorman whose answers are all accounted for.
#ifndef ANISEWICK_TESTS_CREWS_HPP_
#define ANISEWICK_TESTS_CREWS_HPP_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "yard.hpp"

namespace anisewick::peers {

constexpr std::size_t kDoormen = 5, kDepots = 12;

// Clients at every doorman, all the while; each answer is accounted for. Several at each: one whose request
// is held by a depot keeps nobody else from asking.
class Load {
 public:
  explicit Load(Doormen& d) {
    for (std::size_t i = 0; i < kDoormen; ++i) {
      for (std::size_t k = 0; k < kClients; ++k) threads_.emplace_back([this, &d, i, k] { run(d, i, k); });
    }
  }
  ~Load() { end(); }
  void end() {
    over_ = true;
    for (std::thread& t : threads_) t.join();
    threads_.clear();
  }
  void pause(std::size_t i, bool on) { paused_[i] = on; }
  std::atomic<int> served = 0, lost = 0, broken = 0;

 private:
  static constexpr std::size_t kClients = 4;
  void run(Doormen& d, std::size_t i, std::size_t k) {
    std::optional<Stream> s;
    for (std::uint64_t n = 0; !over_; ++n) {
      if (!d.up(i) || paused_[i]) {
        s.reset();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      try {
        if (!s) s = Stream::to(d.front(i));
        s->write(request(1, numbered(1'000'000 * (i + 1) + 200'000 * k + n)));
        ++(answer(*s).body == "whole" ? served : lost);
      } catch (const std::exception&) {  // the doorman has gone: no answer of it was begun
        s.reset();
        ++broken;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(8 * static_cast<int>(kClients)));
    }
  }
  std::atomic<bool> over_ = false;
  std::array<std::atomic<bool>, kDoormen> paused_{};
  std::vector<std::thread> threads_;
};

struct Fleet {
  explicit Fleet(FleetOptions o = {}) : d(with(std::move(o))), yard(kDepots, d.site) {}
  static FleetOptions with(FleetOptions o) {
    o.members = kDoormen;
    o.work = true;
    return o;
  }
  void begin() {
    d.start();
    for (std::size_t i = 0; i < kDoormen; ++i) {
      if (!d.ready(i)) throw std::runtime_error("a doorman does not say ready");
    }
    if (!Doormen::until([&] { return d.owner_of("work") != Doormen::npos; })) {
      throw std::runtime_error("nobody owns the duty");
    }
  }
  // A job on these depots, in the file of a doorman.
  void job(std::size_t at, const std::string& name, const std::vector<std::size_t>& depots,
           const std::string& more = "at_once: 2", int peak = 6) {
    std::ofstream out(d.work_file(at));
    out << "name: \"" << name << "\" reason: \"a new kernel\"\n" << more << "\n";
    std::set<std::size_t> in(depots.begin(), depots.end());
    for (const std::size_t i : depots) out << "machines { id: \"" << Yard::id(i) << "\" " << kPlace << " }\n";
    for (std::size_t i = 0; i < kDepots; ++i) {
      if (!in.contains(i)) out << "others { id: \"" << Yard::id(i) << "\" " << kPlace << " }\n";
    }
    out << "centres { name: \"edge-1\" peak: " << peak << " }\n";
  }
  static constexpr const char* kPlace = "centre: \"edge-1\" zone: \"edge-1\" capacity: 1 work_s: 5";

  // What the door of whoever sees to it says of a job, as lines.
  std::map<std::string, std::string> look(const std::string& job, std::size_t at = Doormen::npos) {
    std::map<std::string, std::string> out;
    if (at == Doormen::npos) at = d.owner_of("work");
    if (at == Doormen::npos) return out;
    std::istringstream text(d.ask(at, "GET", "/_work/" + job));
    for (std::string line; std::getline(text, line);) {
      const std::size_t space = line.find(' ');
      if (space != std::string::npos) out[line.substr(0, space)] = line.substr(space + 1);
    }
    return out;
  }
  static bool is(const std::map<std::string, std::string>& lines, const std::string& what,
                 const std::string& state) {
    const auto it = lines.find(what);
    return it != lines.end() && it->second.starts_with(state);
  }
  bool wait(const std::string& job, const std::string& what, const std::string& state, int ms = kLimitMs) {
    return Doormen::until([&] { return is(look(job), what, state); }, ms);
  }
  // As staff's script: each depot that is called out is restarted, and counted.
  bool work_on(
      const std::string& job, const std::vector<std::size_t>& depots,
      const std::function<void(std::size_t)>& meanwhile = [](std::size_t) {}, int ms = 60'000) {
    return Doormen::until(
        [&] {
          const auto lines = look(job);
          for (const std::size_t i : depots) {
            if (!is(lines, Yard::id(i), "out") || restarted[i] > 0) continue;
            ++restarted[i];
            yard.out(i, true);
            meanwhile(i);
            yard.down(i);
            std::this_thread::sleep_for(std::chrono::milliseconds(60));
            yard.out(i, false);
            yard.up(i);
          }
          return is(lines, job, "ended");
        },
        ms);
  }
  bool all(const std::string& job, const std::vector<std::size_t>& depots, const std::string& state) {
    const auto lines = look(job);
    for (const std::size_t i : depots) {
      if (!is(lines, Yard::id(i), state)) return false;
    }
    return true;
  }
  std::string text(const std::string& job) {
    const std::size_t at = d.owner_of("work");
    return at == Doormen::npos ? "no owner" : d.ask(at, "GET", "/_work/" + job);
  }

  Doormen d;
  Yard yard;
  std::map<std::size_t, int> restarted;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_CREWS_HPP_
