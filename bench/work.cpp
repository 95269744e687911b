// Machines out for work, measured: a job through a fleet of several processes with faults and load; the same
// machines by a fixed clock and the calls of each door, without the fleet, and the same load in quiet; then
// fleets in simulated time, and plans against every division. Ends with one line of figures, without those of
// the seeded mistakes, which another program adds.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <random>

#include "crews.hpp"
#include "figures.hpp"
#include "plans.hpp"
#include "standin/works.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

using namespace figures;
void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

constexpr double kGoodMs = 60.0;  // an answer within that is worth something
constexpr int kCold = 150, kFillMs = 20, kLease = 1000;

struct Asked {
  std::uint64_t asked = 0, good = 0, lost = 0;
  double share() const { return asked == 0 ? 0.0 : static_cast<double>(good) / static_cast<double>(asked); }
  void add(const Asked& o) {
    asked += o.asked;
    good += o.good;
    lost += o.lost;
  }
};

// Clients at each doorman, with requests begun by the clock whatever became of those before.
class Clients {
 public:
  Clients(Doormen& d, std::uint64_t from) {
    for (std::size_t i = 0; i < kDoormen; ++i) {
      for (std::uint64_t k = 0; k < 2; ++k) {
        threads_.emplace_back([this, &d, i, k, from] { run(d, i, from + 10'000'000 * (2 * i + k)); });
      }
    }
  }
  ~Clients() { end(); }
  // The doorman is about to be killed, ended or stopped: its clients go elsewhere until it is back.
  void away(std::size_t i, bool on) {
    away_[i] = on;
    if (on) pause(30);
  }
  Asked end() {
    over_ = true;
    for (std::thread& t : threads_) t.join();
    threads_.clear();
    return {asked_, good_, lost_};
  }

 private:
  void run(Doormen& d, std::size_t i, std::uint64_t number) {
    std::optional<Stream> s;
    auto next = Clock::now();
    while (!over_) {
      next += std::chrono::milliseconds(12);
      std::this_thread::sleep_until(next);
      if (!d.up(i) || away_[i]) {
        s.reset();
        next = Clock::now();
        continue;
      }
      ++asked_;
      try {
        if (!s) s = Stream::to(d.front(i));
        s->write(request(1, numbered(++number)));
        const bool whole = answer(*s).body == "whole";
        if (!whole && !away_[i]) ++lost_;
        if (whole && ms_since(next) <= kGoodMs) ++good_;
      } catch (const std::exception&) {
        s.reset();
        if (away_[i] || !d.up(i)) {
          --asked_;  // it was killed: nobody's answer
        } else {
          ++lost_;
        }
      }
      if (Clock::now() > next + std::chrono::seconds(1)) next = Clock::now();
    }
  }
  std::atomic<bool> over_ = false;
  std::array<std::atomic<bool>, kDoormen> away_{};
  std::atomic<std::uint64_t> asked_ = 0, good_ = 0, lost_ = 0;
  std::vector<std::thread> threads_;
};

struct Figures {
  std::size_t machines = 0, faults = 0, done = 0, repeated = 0, over_limit = 0, stuck = 0, sent_to_out = 0;
  std::size_t by_hand_sent_to_out = 0;
  std::vector<double> confirm, resume, took;
  Asked fleet, quiet, by_hand;
};

constexpr std::size_t kWanted = 6, kAtOnce = 2;

void restart(Yard& yard, std::size_t i) {
  yard.down(i);
  pause(60);
  yard.up(i, kCold);
}

void by_fleet(std::uint64_t seed, Figures& f) {
  std::mt19937_64 random(seed);
  FleetOptions o;
  o.seed = seed;
  o.lease_ms = kLease;
  Fleet fleet(o);
  fleet.yard.fills_take(kFillMs);
  fleet.begin();
  std::vector<std::size_t> depots;
  while (depots.size() < kWanted) {
    const std::size_t i = random() % kDepots;
    if (std::find(depots.begin(), depots.end(), i) == depots.end()) depots.push_back(i);
  }
  Clients clients(fleet.d, seed * 1'000'000'000);
  pause(1'000);
  fleet.job(random() % kDoormen, "job", depots,
            "at_once: 2 warm_answers: 10 warm_within_s: 20 back_within_s: 30", 6);
  for (std::size_t i = 0; i < kDoormen; ++i) {
    if (std::filesystem::exists(fleet.d.work_file(i))) fleet.d.ask(i, "POST", "/_work/take");
  }
  const auto began = Clock::now();
  f.machines += kWanted;
  std::map<std::size_t, Clock::time_point> since, back;
  std::map<std::size_t, int> restarted;
  std::set<std::size_t> disturbed;  // a fault came in between
  // An owner that is killed, one that is stopped and wakes late, one that is cut off from all.
  std::vector<double> fault_at{700.0 + static_cast<double>(random() % 400), 4'500, 9'000};
  std::size_t faults = 0, hurt = Doormen::npos;
  Clock::time_point heal{};
  bool ended = false;
  while (!ended && ms_since(began) < 90'000) {
    pause(4);
    if (hurt != Doormen::npos && Clock::now() >= heal) {
      if (faults == 1) {
        fleet.d.start(hurt);
        fleet.d.ready(hurt);
      } else if (faults == 2) {
        fleet.d.go_on(hurt);
      } else {
        fleet.d.between.heal();
      }
      clients.away(hurt, false);
      hurt = Doormen::npos;
    }
    if (faults < fault_at.size() && hurt == Doormen::npos && ms_since(began) >= fault_at[faults]) {
      hurt = fleet.d.owner_of("work");
      if (hurt == Doormen::npos) continue;
      if (faults < 2) clients.away(hurt, true);
      const auto from = Clock::now();
      if (faults == 0) fleet.d.kill(hurt);
      if (faults == 1) fleet.d.stop(hurt);
      if (faults == 2) fleet.d.between.split({hurt});
      ++faults;
      ++f.faults;
      heal = from + std::chrono::milliseconds(faults == 1 ? 1'500 : 2'500);
      for (const auto& [i, t] : since) disturbed.insert(i);
      std::vector<std::size_t> rest;
      for (std::size_t i = 0; i < kDoormen; ++i) {
        if (i != hurt) rest.push_back(i);
      }
      if (faults == 1) {
        // Until the next owner knows how the job stands.
        Doormen::until(
            [&] {
              const std::size_t next = fleet.d.owner_of("work", rest);
              return next != Doormen::npos && fleet.look("job", next).contains(Yard::id(depots[0]));
            },
            10 * kLease);
        f.resume.push_back(ms_since(from));
      }
    }
    const auto lines = fleet.look("job");
    std::size_t busy = 0;
    for (const std::size_t i : depots) {
      const auto it = lines.find(Yard::id(i));
      if (it == lines.end()) continue;
      const std::string& state = it->second;
      const bool waiting = state.starts_with("waiting"), final = state.starts_with("done");
      if (!waiting && !final) ++busy;
      if (!waiting && !since.contains(i)) {
        since[i] = Clock::now();
        if (hurt != Doormen::npos) disturbed.insert(i);
      }
      if (waiting) since.erase(i);
      if (!state.starts_with("out") || back.contains(i)) continue;
      if (!disturbed.contains(i)) f.confirm.push_back(ms_since(since[i]));
      if (++restarted[i] > 1) ++f.repeated;
      fleet.yard.out(i, true);
      pause(20);
      fleet.yard.out(i, false);
      restart(fleet.yard, i);
      back[i] = Clock::now();
    }
    if (busy > kAtOnce) ++f.over_limit;
    ended = Fleet::is(lines, "job", "ended");
  }
  if (!ended) {
    ++f.stuck;
    std::cout << "seed " << seed << ", stuck:\n" << fleet.text("job");
  }
  f.took.push_back(ms_since(began));
  const auto lines = fleet.look("job");
  for (const std::size_t i : depots) f.done += Fleet::is(lines, Yard::id(i), "done");
  f.fleet.add(clients.end());
  f.sent_to_out += static_cast<std::size_t>(fleet.yard.sent_to_out());
}

// The same load for as long; `work`: the machines by a fixed clock, told at one door after another.
void beside(std::uint64_t seed, bool work, double took_ms, Asked& into, std::size_t& sent_to_out) {
  std::mt19937_64 random(seed);
  FleetOptions o;
  o.seed = seed;
  o.work = false;
  o.alone = true;
  Doormen d(o);
  Yard yard(kDepots, d.site);
  yard.fills_take(kFillMs);
  d.start();
  for (std::size_t i = 0; i < kDoormen; ++i) d.ready(i);
  std::vector<std::size_t> depots;
  while (depots.size() < kWanted) {
    const std::size_t i = random() % kDepots;
    if (std::find(depots.begin(), depots.end(), i) == depots.end()) depots.push_back(i);
  }
  Clients clients(d, seed * 1'000'000'000);
  pause(1'000);
  const auto began = Clock::now();
  std::thread faults([&] {  // the same ones, of doormen by chance
    if (!work) return;
    pause(900);
    const std::size_t first = random() % kDoormen, second = random() % kDoormen;
    clients.away(first, true);
    d.kill(first);
    pause(1'500);
    d.start(first);
    d.ready(first);
    clients.away(first, false);
    pause(1'500);
    clients.away(second, true);
    d.stop(second);
    pause(2'500);
    d.go_on(second);
    clients.away(second, false);
  });
  const int turn = static_cast<int>(took_ms / (kWanted / kAtOnce));
  for (std::size_t k = 0; work && k < kWanted; k += kAtOnce) {
    const auto from = Clock::now();
    const auto tell = [&](const char* what) {
      for (std::size_t i = 0; i < kDoormen; ++i) {
        for (std::size_t m = k; m < k + kAtOnce; ++m) {
          // A door that does not answer is passed over: nobody notices.
          if (d.up(i)) d.ask(i, "POST", std::string("/_depots/") + what + "/" + Yard::id(depots[m]));
        }
      }
    };
    tell("detach");
    pause(300);
    for (std::size_t m = k; m < k + kAtOnce; ++m) yard.out(depots[m], true);
    pause(20);
    for (std::size_t m = k; m < k + kAtOnce; ++m) {
      yard.out(depots[m], false);
      restart(yard, depots[m]);
    }
    tell("attach");
    pause(std::max(0, turn - static_cast<int>(ms_since(from))));
  }
  pause(std::max(0, static_cast<int>(took_ms - ms_since(began))));
  faults.join();
  into.add(clients.end());
  sent_to_out += static_cast<std::size_t>(yard.sent_to_out());
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  const bool quick = args.quick;
  const std::uint64_t seed = args.seed;
  Figures f;
  try {
    for (std::uint64_t k = 0; k < (quick ? 1u : 8u); ++k) {
      by_fleet(seed * 100 + k, f);
      std::size_t none = 0;
      beside(seed * 100 + k, false, f.took.back(), f.quiet, none);
      beside(seed * 100 + k, true, f.took.back(), f.by_hand, f.by_hand_sent_to_out);
    }
  } catch (const std::exception& e) {
    std::cerr << "bench_work: " << e.what() << std::endl;
    return 1;
  }

  // Fleets in simulated time, the large ones first.
  struct Size {
    std::size_t members, depots, wanted, runs;
  };
  const std::vector<Size> sizes =
      quick ? std::vector<Size>{{40, 60, 30, 1}, {5, 8, 5, 60}}
            : std::vector<Size>{{300, 200, 60, 2}, {40, 60, 30, 6}, {5, 8, 5, 2'000}};
  std::vector<standin::WorksOptions> runs;
  for (const Size& s : sizes) {
    for (std::size_t k = 0; k < s.runs; ++k) {
      standin::WorksOptions o;
      o.seed = seed * 1'000'000 + runs.size();
      o.members = s.members;
      o.depots = s.depots;
      o.wanted = s.wanted;
      o.careless = k % 2 == 0;
      o.calm_ms = s.members > 5 ? 600'000 : 90'000;
      runs.push_back(o);
    }
  }
  std::atomic<std::size_t> sim_out{0}, sim_repeated{0}, sim_limit{0}, sim_reserve{0}, sim_stuck{0},
      sim_done{0}, sends{0};
  std::mutex mutex;
  spread_over(runs.size(), [&](std::size_t i) {
    const auto r = standin::works(runs[i]);
    sim_out += r.sends_to_out + r.open_at_out;
    sim_repeated += r.repeated_steps + r.terms_fell;
    sim_limit += r.over_limit;
    sim_reserve += r.reserve_breaches;
    sim_stuck += !r.ended;
    sim_done += r.done;
    sends += r.sends;
    if (r.good()) return;
    const std::lock_guard hold(mutex);
    std::printf("seed %llu, %zu doormen: %s%s\n", static_cast<unsigned long long>(runs[i].seed),
                runs[i].members, r.first.c_str(), r.ended ? "" : (" not ended: " + r.waits).c_str());
  });

  std::size_t cases = 0, worse = 0;
  for (std::uint64_t k = 1; k <= (quick ? 600u : 4'000u); ++k) {
    std::mt19937_64 random(seed * 10'000 + k);
    const std::size_t wanted = 2 + random() % 5;
    const work::Facts facts = work::some(random, wanted + 3 + random() % 6, wanted);
    const work::Terms terms = work::terms(random);
    const work::Plan p = work::plan(facts, terms);
    std::vector<std::size_t> can;
    for (std::size_t i = 0; i < wanted; ++i) {
      if (work::allowed(facts, terms, {i})) can.push_back(i);
    }
    if (can.empty()) continue;
    std::vector<std::vector<std::size_t>> rounds;
    ++cases;
    worse += p.length_s > work::brute(facts, terms, rounds, can, 0) + 1e-6;
  }
  double makespan = 0.0, plan_ms = 0.0;
  for (std::uint64_t k = 1; k <= 5; ++k) {
    work::Terms terms;
    const work::Facts facts = work::large(seed * 100 + k, terms);
    const auto from = Clock::now();
    const work::Plan p = work::plan(facts, terms);
    plan_ms = std::max(plan_ms, ms_since(from));
    makespan = std::max(makespan, p.length_s / p.bound_s);
  }
  const double quiet = f.quiet.share();
  std::printf("in simulated time: %zu fleets, %zu machines done, %zu requests\n", runs.size(),
              sim_done.load(), sends.load());
  std::printf(
      "served in time: fleet %.4f, quiet %.4f, by hand %.4f; by hand %llu lost, %zu sent to what was out\n",
      f.fleet.share(), quiet, f.by_hand.share(), static_cast<unsigned long long>(f.by_hand.lost),
      f.by_hand_sent_to_out);
  std::printf(
      "work processes=%zu machines=%zu faults=%zu done=%zu repeated_steps=%zu sends_to_out=%zu "
      "reserve_breaches=%zu over_limit=%zu stuck=%zu confirm_p99_ms=%.0f resume_p99_ms=%.0f "
      "lost_requests=%llu "
      "goodput_vs_quiet=%.4f by_hand_goodput_vs_quiet=%.4f makespan_vs_bound=%.3f plan_ms_2000=%.0f "
      "brute_cases=%zu brute_worse=%zu\n",
      kDoormen, f.machines, f.faults, f.done, f.repeated + sim_repeated, f.sent_to_out + sim_out,
      sim_reserve.load(), f.over_limit + sim_limit, f.stuck + sim_stuck, at(f.confirm, 0.99),
      at(f.resume, 0.99), static_cast<unsigned long long>(f.fleet.lost), f.fleet.share() / quiet,
      f.by_hand.share() / quiet, makespan, plan_ms, cases, worse);
  return 0;
}
