// Whether each mistake that is seeded in this build is found, and by what; with the shortest trace where the
// explorer finds it. Ends with the two figures for bench/ownership, or with --work those for bench/work.
#include <atomic>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <thread>
#include <vector>

#include "figures.hpp"
#include "standin/mistaken.hpp"

using namespace anisewick;

int main(int argc, char** argv) {
  const figures::Arguments args = figures::arguments(argc, argv);
  const bool quick = args.quick, work = args.has("--work"), zones = args.has("--zones");
  std::vector<standin::Named> all = standin::mistakes();
  if (zones) {
    std::erase_if(all, [](const standin::Named& m) {
      return m.mistake < agreement::Mistake::kOneDepotIsZone ||
             m.mistake > agreement::Mistake::kPartNeverEnds;
    });
  }
  if (work) {
    std::erase_if(all, [](const standin::Named& m) {
      return m.mistake < agreement::Mistake::kPermitFromAnswer ||
             m.mistake > agreement::Mistake::kPictureForgotten;
    });
  }
  std::atomic<std::size_t> found{0};
  std::mutex mutex;
  figures::spread_over(all.size(), [&](std::size_t i) {
    const standin::Found f = standin::look_for(all[i].mistake, 400, !quick);
    found += f.found;
    const std::lock_guard hold(mutex);
    std::printf("%s: %s\n", all[i].name, f.found ? (f.by + ", " + f.detail).c_str() : "not found");
  });
  std::printf("mutants_found=%zu mutants_total=%zu\n", found.load(), all.size());
  return 0;
}
