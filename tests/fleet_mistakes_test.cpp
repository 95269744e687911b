// Mistakes seeded in a build of their own: the explorer or the simulation finds each, and none without one.
#include <catch2/catch.hpp>
#include <iostream>

#include "figures.hpp"
#include "standin/mistaken.hpp"

using namespace anisewick;

TEST_CASE("Every seeded mistake is found") {
  const auto& all = standin::mistakes();
  std::vector<standin::Found> found(all.size());
  // Which mistake is in force is a thread's own.
  figures::spread_over(all.size(), [&](std::size_t i) { found[i] = standin::look_for(all[i].mistake, 400); });
  for (std::size_t i = 0; i < all.size(); ++i) {
    const standin::Found& f = found[i];
    UNSCOPED_INFO(all[i].name << ": " << f.by << ", " << f.detail);
    std::cout << all[i].name << ": " << (f.found ? f.by + ", " + f.detail : "not found") << std::endl;
    CHECK(f.found);
  }
}

TEST_CASE("The same search finds nothing where there is no mistake") {
  CHECK_FALSE(standin::look_for(agreement::Mistake::kNone, 10).found);
}
