// Mistakes seeded in a build of their own: the explorer or the simulation finds each, and none without one.
#define CATCH_CONFIG_MAIN
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "standin/mistaken.hpp"

using namespace anisewick;

TEST_CASE("Every seeded mistake is found") {
  const auto& all = standin::mistakes();
  std::vector<standin::Found> found(all.size());
  // Which mistake is in force is a thread's own.
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < std::max(1u, std::thread::hardware_concurrency()); ++t) {
    threads.emplace_back([&] {
      for (std::size_t i; (i = next++) < all.size();) found[i] = standin::look_for(all[i].mistake, 400);
    });
  }
  for (std::thread& t : threads) t.join();
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
