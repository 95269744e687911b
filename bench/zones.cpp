// Zones that are left and returned to, measured: days of every kind in simulated time, with the fleet and
// each doorman alone on the same seeds, and one zone's failure under several processes likewise. Ends with
// one line of figures, without those of the seeded mistakes, which another program adds.
#include <cstdio>
#include <iostream>
#include <map>

#include "figures.hpp"
#include "standin/zonal.hpp"
#include "zoned.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

using namespace figures;

// A zone's depots fall silent and come back cold, under processes.
void process_day(std::uint64_t seed, bool alone, int out_ms, std::vector<double>& leave,
                 std::vector<double>& good, std::vector<double>& quiet) {
  ZonedOptions o;
  o.seed = seed;
  o.alone = alone;
  o.gap_ms = 100;  // ten requests a second a doorman
  o.objects = 150;
  Zoned z(o);
  z.begin();
  Zoned::pause(9'000);
  for (const auto& e : z.ends()) {
    if (e.at_ms > 4'000) quiet.push_back(e.took_ms);
  }
  const double onset = z.now();
  z.fault(0, {.silent = true});
  if (!alone && z.wait(0, "left", out_ms)) leave.push_back(z.now() - onset);
  Zoned::pause(std::max(0, out_ms - static_cast<int>(z.now() - onset)));
  z.down(0);
  z.up(0);
  Zoned::pause(9'000);
  z.end();
  good.push_back(z.good(onset, z.now() - 1'000));
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  const bool quick = args.quick;
  const std::uint64_t seed = args.seed;
  const std::string course = args.after("--course");

  struct Job {
    standin::ZonalOptions options;
    standin::ZonalResult fleet, alone;
  };
  std::vector<Job> jobs;
  const auto add = [&](standin::Day day, std::size_t members, std::size_t zones, std::size_t depots,
                       std::uint64_t s) {
    Job j;
    j.options.day = day;
    j.options.seed = s;
    j.options.members = members;
    j.options.zones = zones;
    j.options.depots_each = depots;
    j.options.lasts_ms = s % 2 == 0 ? 8'000 : 20'000;
    j.options.after_ms = standin::to_leave(day) ? 45'000 : 20'000;
    j.options.loss = s % 3 == 0 ? 0.2 : 0.0;
    if (day == standin::Day::kGrey) j.options.lasts_ms = 25'000;
    jobs.push_back(j);
  };
  std::size_t most = 0;
  if (!quick) {
    for (const auto day : {standin::Day::kSilent, standin::Day::kRefuse, standin::Day::kTwo,
                           standin::Day::kOwner, standin::Day::kAll, standin::Day::kLiar})
      add(day, 300, 12, 16, seed * 100'000 + 90'000);
    most = 300;
  }
  for (std::size_t d = 0; d < standin::kDays; ++d) {
    for (std::uint64_t k = 0; k < (quick ? 2u : 80u); ++k) {
      add(static_cast<standin::Day>(d), k % 3 == 2 ? 12 : 6, k % 3 == 2 ? 4 : 3, 4, seed * 100'000 + k);
      most = std::max(most, jobs.back().options.members);
    }
  }
  spread_over(jobs.size(), [&](std::size_t i) {
    jobs[i].fleet = standin::zonal(jobs[i].options);
    jobs[i].options.alone = true;
    jobs[i].alone = standin::zonal(jobs[i].options);
  });

  std::vector<double> leave, owner_leave, late_leave, alone_leave, disagree, gains, back, alone_back, kept;
  double peak = 0, alone_peak = 0, worst = 1;
  std::uint64_t relapses = 0, alone_relapses = 0, false_leaves = 0, missed = 0, old = 0, unsound = 0;
  std::map<standin::Day, std::vector<const Job*>> by_day;
  for (const Job& j : jobs) {
    by_day[j.options.day].push_back(&j);
    false_leaves += j.fleet.false_leaves;
    missed += j.fleet.missed;
    old += j.fleet.old_applied;
    if (!j.fleet.sound()) {
      ++unsound;
      std::printf("%s, seed %llu: %s\n", standin::word(j.options.day),
                  static_cast<unsigned long long>(j.options.seed), j.fleet.first.c_str());
    }
    if (j.options.day != standin::Day::kOwner) disagree.push_back(j.fleet.disagree_ms);
    kept.push_back(j.fleet.hits_kept);
    if (!standin::to_leave(j.options.day)) continue;
    // What the test needs for one in ten lost, a takeover, and two seconds until the evidence is told are
    // told apart.
    if (j.fleet.leave_ms >= 0 && j.options.day != standin::Day::kGrey) {
      (j.options.day == standin::Day::kOwner  ? owner_leave
       : j.options.day == standin::Day::kLate ? late_leave
                                              : leave)
          .push_back(j.fleet.leave_ms);
    }
    if (j.alone.leave_ms >= 0) alone_leave.push_back(j.alone.leave_ms);
    gains.push_back(j.fleet.good_out - j.alone.good_out);
    if (j.fleet.return_s >= 0) back.push_back(j.fleet.return_s);
    if (j.alone.return_s >= 0) alone_back.push_back(j.alone.return_s);
    peak = std::max(peak, j.fleet.peak_fills);
    alone_peak = std::max(alone_peak, j.alone.peak_fills);
    relapses += j.fleet.relapses;
    alone_relapses += j.alone.relapses;
  }
  std::printf(
      "day, days, leave_ms p50 and p99, in time during the fault and 10 s after: fleet, alone; return_s: "
      "fleet, "
      "alone; peak fills of bearable: fleet, alone; false leaves, missed\n");
  for (const auto& [day, of] : by_day) {
    std::vector<double> l, g, a, b, ab, gain;
    double p = 0, ap = 0;
    std::uint64_t f = 0, m = 0;
    for (const Job* j : of) {
      if (j->fleet.leave_ms >= 0) l.push_back(j->fleet.leave_ms);
      g.push_back(j->fleet.good_out);
      a.push_back(j->alone.good_out);
      gain.push_back(j->fleet.good - j->alone.good);
      if (j->fleet.return_s >= 0) b.push_back(j->fleet.return_s);
      if (j->alone.return_s >= 0) ab.push_back(j->alone.return_s);
      p = std::max(p, j->fleet.peak_fills);
      ap = std::max(ap, j->alone.peak_fills);
      f += j->fleet.false_leaves;
      m += j->fleet.missed;
    }
    worst = std::min(worst, mean(gain));
    std::printf("%-7s %3zu  %6.0f %6.0f  %.3f %.3f  %5.1f %5.1f  %.2f %.2f  %llu %llu\n", standin::word(day),
                of.size(), at(l, 0.5), at(l, 0.99), mean(g), mean(a), mean(b), mean(ab), p, ap,
                static_cast<unsigned long long>(f), static_cast<unsigned long long>(m));
  }
  if (!course.empty()) {
    for (const Job& j : jobs) {
      if (j.options.day != standin::Day::kSilent || j.options.members != 6) continue;
      std::FILE* out = std::fopen(course.c_str(), "w");
      if (out == nullptr) break;
      const std::size_t n = std::min(j.fleet.course.size(), j.alone.course.size());
      for (std::size_t k = 0; k < n; ++k) {
        const auto& f = j.fleet.course[k];
        const auto& a = j.alone.course[k];
        std::fprintf(out, "%zu %.3f %.3f %.0f %.3f %.3f %.0f\n", k, f.good, f.share, f.fills, a.good, a.share,
                     a.fills);
      }
      std::fclose(out);
      break;
    }
  }

  std::uint64_t over = 0, returned = 0;
  for (const Job& j : jobs) {
    if (!standin::to_leave(j.options.day)) continue;
    ++returned;
    over += j.fleet.peak_fills > 1.0;
  }
  std::vector<double> process_leave, none, good, alone_good, quiet, alone_quiet;
  try {
    for (std::uint64_t k = 0; k < (quick ? 1u : 4u); ++k) {
      const int out_ms = k % 2 == 0 ? 5'000 : 20'000;
      process_day(seed * 100 + k, false, out_ms, process_leave, good, quiet);
      process_day(seed * 100 + k, true, out_ms, none, alone_good, alone_quiet);
    }
  } catch (const std::exception& e) {
    std::cerr << "bench_zones: " << e.what() << std::endl;
    return 1;
  }
  std::printf("processes: in time from the onset on: fleet %.3f, alone %.3f\n", mean(good), mean(alone_good));
  // Alone few leave at all: they go on asking their own zone.
  std::printf("alone %zu of %llu days were left by all the zone's doormen", alone_leave.size(),
              static_cast<unsigned long long>(returned));
  if (!alone_leave.empty()) std::printf(", p99 %.0f ms", at(alone_leave, 0.99));
  std::printf("\n");
  const double half = half_interval(gains);
  const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
  std::printf(
      "zones processes=6 sim_doormen=%zu days=%zu leave_p50_ms=%.0f leave_p99_ms=%.0f "
      ""
      "owner_killed_leave_p50_ms=%.0f owner_killed_leave_p99_ms=%.0f evidence_2s_late_leave_p99_ms=%.0f "
      "process_leave_p50_ms=%.0f "
      "process_leave_p99_ms=%.0f disagree_p99_ms=%.0f goodput_gain_vs_alone=%.4f goodput_gain_low=%.4f "
      "goodput_gain_high=%.4f return_s=%.1f alone_return_s=%.1f peak_fills_vs_bearable=%.2f "
      "alone_peak_fills_vs_bearable=%.2f days_over_bearable=%.3f relapses=%llu alone_relapses=%llu "
      "false_leaves=%llu "
      "missed_grey=%llu "
      "old_decisions_applied=%llu unsound=%llu hits_kept=%.3f worst_vs_alone=%.4f request_p99_cost_ms=%.2f\n",
      most, jobs.size(), at(leave, 0.5), at(leave, 0.99), at(owner_leave, 0.5), at(owner_leave, 0.99),
      at(late_leave, 0.99), at(process_leave, 0.5), at(process_leave, 0.99), at(disagree, 0.99), mean(gains),
      mean(gains) - half, mean(gains) + half, mean(back), mean(alone_back), peak, alone_peak,
      returned == 0 ? 0.0 : static_cast<double>(over) / static_cast<double>(returned), n(relapses),
      n(alone_relapses), n(false_leaves), n(missed), n(old), n(unsound), at(kept, 0.05), worst,
      at(quiet, 0.99) - at(alone_quiet, 0.99));
  return 0;
}
