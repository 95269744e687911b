// Mistakes seeded in a build of their own: the explorer or the simulation finds each, and none without one.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "standin/mistaken.hpp"

using namespace anisewick;

TEST_CASE("Every seeded mistake is found") {
  for (const standin::Named& m : standin::mistakes()) {
    const standin::Found f = standin::look_for(m.mistake, 400);
    UNSCOPED_INFO(m.name << ": " << f.by << ", " << f.detail);
    std::cout << m.name << ": " << (f.found ? f.by + ", " + f.detail : "not found") << std::endl;
    CHECK(f.found);
  }
}

TEST_CASE("The same search finds nothing where there is no mistake") {
  CHECK_FALSE(standin::look_for(agreement::Mistake::kNone, 10).found);
}
