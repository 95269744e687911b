// What each scene of a crowd of doormen costs: a row a scene, the mean over seeds and the spread, for each
// rate. Ends with one line of figures.
#include "standin/crowd.hpp"

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "figures.hpp"

using namespace anisewick;

int main(int argc, char** argv) {
  const figures::Arguments args = figures::arguments(argc, argv);
  const std::size_t seeds = args.quick ? 8 : 60;
  const std::vector<double> rates =
      args.quick ? std::vector<double>{8.0} : std::vector<double>{2.0, 8.0, 16.0};
  std::vector<standin::CrowdOptions> runs;
  for (const double rate : rates) {
    for (std::size_t s = 0; s < standin::kScenes; ++s) {
      for (std::size_t k = 0; k < seeds; ++k) {
        standin::CrowdOptions o;
        o.scene = static_cast<standin::Scene>(s);
        o.rate = rate;
        o.seed = args.seed * 1'000 + k;
        runs.push_back(o);
      }
    }
  }
  std::vector<standin::CrowdResult> results(runs.size());
  figures::spread_over(runs.size(), [&](std::size_t i) { results[i] = standin::crowd(runs[i]); });

  std::printf(
      "requests a second a doorman, scene: in time (95%% interval), refused, and why most; falls before and "
      "after the list told, most of what is bearable; the origin's worst second\n");
  std::uint64_t unanswered = 0, twice = 0, falls = 0;
  double worst = 1.0;
  std::string worst_name;
  for (std::size_t from = 0; from < runs.size(); from += seeds) {
    std::vector<double> good, refused;
    std::map<std::string, double> why;
    double most = 0, origin = 0;
    std::uint64_t before = 0, after = 0;
    for (std::size_t i = from; i < from + seeds; ++i) {
      const standin::CrowdResult& r = results[i];
      good.push_back(r.good);
      refused.push_back(r.refused);
      for (const auto& [word, share] : r.why) why[word] += share / static_cast<double>(seeds);
      most = std::max(most, r.most_of_bearable);
      origin = std::max(origin, r.origin_most);
      before += r.falls_before_told;
      after += r.falls_after_told;
      unanswered += r.unanswered;
      twice += r.early_twice;
    }
    falls += after;
    std::string reason = "-";
    double share = 0;
    for (const auto& [word, n] : why) {
      if (n > share) share = n, reason = word;
    }
    const char* scene = standin::word(runs[from].scene);
    if (figures::mean(good) < worst) worst = figures::mean(good), worst_name = scene;
    std::printf("%4.0f %-7s %.4f (%.4f)  %.4f %s  %llu %llu %.2f  %.0f\n", runs[from].rate, scene,
                figures::mean(good), figures::half_interval(good), figures::mean(refused), reason.c_str(),
                static_cast<unsigned long long>(before), static_cast<unsigned long long>(after), most,
                origin);
  }
  std::printf(
      "crowd doormen=%zu runs=%zu unanswered=%llu twice=%llu falls_after_told=%llu worst=%s "
      "worst_good=%.4f\n",
      runs.front().doormen, runs.size(), static_cast<unsigned long long>(unanswered),
      static_cast<unsigned long long>(twice), static_cast<unsigned long long>(falls), worst_name.c_str(),
      worst);
  return 0;
}
