// What the staff's calls and an upgrade cost while the front is kept busy: one process of the doorman, then
// two, on loopback, with scripted caches that answer at once. Ends with one line of figures.
#include "daily.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <iostream>

#include "figures.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

using namespace figures;

// The answer of one call, in milliseconds; none: it was no yes.
std::optional<double> timed(Daily& site, const char* method, const std::string& path) {
  const auto from = std::chrono::steady_clock::now();
  if (site.ops(method, path).status != 200) return std::nullopt;
  return ms_since(from);
}

}  // namespace

int main(int argc, char** argv) {
  const bool quick = arguments(argc, argv).quick;
  const int calls = quick ? 300 : 3'000, upgrades = quick ? 3 : 20;
  Daily site;
  site.start();
  if (!site.ready(site.door)) return 1;
  std::vector<double> calm, busy, ready;
  int wrong = 0;
  const auto ask = [&](std::vector<double>& into, int n) {
    static const std::vector<std::pair<const char*, std::string>> kCalls{
        {"GET", "/_ready"}, {"POST", "/_depots/detach/s-00000001"}, {"POST", "/_depots/attach/s-00000001"}};
    for (int i = 0; i < n; ++i) {
      const auto& [method, path] = kCalls[static_cast<std::size_t>(i) % kCalls.size()];
      const auto ms = timed(site, method, path);
      ms ? into.push_back(*ms) : void(++wrong);
    }
  };
  ask(calm, calls);
  Serving serving(site.caches);
  Clients clients(site, 24);
  std::vector<Stream> silent;  // at the door all the while
  for (int i = 0; i < 40; ++i) silent.push_back(Stream::to(site.door));
  ask(busy, calls);
  std::vector<Stream> buses;
  for (int i = 0; i < upgrades; ++i) {
    const auto began = std::chrono::steady_clock::now();
    auto next = site.another(site.around(i % 2 == 0 ? site.second_door : site.door));
    buses.push_back(site.bus_joined());
    if (!site.ready(i % 2 == 0 ? site.second_door : site.door)) return 1;
    ready.push_back(ms_since(began));
    site.program->signal(SIGTERM);
    site.program->wait();
    site.program = std::move(next);
  }
  const double took = clients.ms();
  const Tally all = clients.over();
  std::printf(
      "daily calls=%d wrong=%d calm_p50_ms=%.2f calm_p99_ms=%.2f busy_p50_ms=%.2f busy_p99_ms=%.2f "
      "busy_max_ms=%.2f "
      "requests_per_s=%.0f upgrades=%d ready_p50_ms=%.0f ready_max_ms=%.0f served=%d again=%d refused=%d "
      "lost=%d\n",
      calls, wrong, at(calm, 0.5), at(calm, 0.99), at(busy, 0.5), at(busy, 0.99), at(busy, 1.0),
      1000.0 * all.served / took, upgrades, at(ready, 0.5), at(ready, 1.0), all.served, all.again,
      all.refused, all.lost);
  return 0;
}
