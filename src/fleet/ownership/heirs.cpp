#include "fleet/ownership/heirs.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace anisewick::ownership {
namespace {

// FNV-1a and the finish of MurmurHash3: the same on every machine.
std::uint64_t hash_of(const std::string& duty, const std::string& name) {
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const std::string* s : {&duty, &name}) {
    for (const char c : *s) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
    h = (h ^ 0xff) * 0x100000001b3u;
  }
  h = (h ^ h >> 33) * 0xff51afd7ed558ccdu;
  h = (h ^ h >> 33) * 0xc4ceb9fe1a85ec53u;
  return h ^ h >> 33;
}

double score(const Duty& duty, const Candidate& c) {
  const double even = (static_cast<double>(hash_of(duty.name, c.name) >> 11) + 0.5) / 9007199254740992.0;
  return c.weight / -std::log(even);
}

}  // namespace

std::map<std::string, std::vector<std::string>> heirs(const std::vector<Duty>& duties,
                                                      const std::vector<Candidate>& candidates,
                                                      double bound) {
  std::map<std::string, std::vector<std::string>> out;
  double weights = 0.0;
  for (const Candidate& c : candidates) weights += c.weight;
  std::map<std::string, int> load, most;
  for (const Candidate& c : candidates) {
    const double even = static_cast<double>(duties.size()) * c.weight / weights;
    most[c.name] = std::max(1, static_cast<int>(std::ceil(bound * even - 1e-9)));
  }
  std::vector<Duty> sorted = duties;  // the same order for all who reckon
  std::sort(sorted.begin(), sorted.end(), [](const Duty& a, const Duty& b) { return a.name < b.name; });
  for (const Duty& duty : sorted) {
    std::vector<std::tuple<bool, double, std::string>> ranked;
    for (const Candidate& c : candidates) {
      ranked.emplace_back(!duty.zone.empty() && c.zone == duty.zone, score(duty, c), c.name);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    auto& list = out[duty.name];
    std::vector<std::string> full;
    for (const auto& [near, s, name] : ranked) {
      (list.empty() && load[name] >= most[name] ? full : list).push_back(name);
    }
    list.insert(list.end(), full.begin(), full.end());
    if (!list.empty()) ++load[list.front()];
  }
  return out;
}

}  // namespace anisewick::ownership
