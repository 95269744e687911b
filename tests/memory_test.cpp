// What the program holds, as the platform counts it, stays under the limit of its settings: the least memory
// that the pages name, with 1,024 descriptors.
#include <catch2/catch.hpp>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "daily.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

constexpr int kLimitMb = 32;
constexpr std::size_t kLargest = 240'000;  // bytes of an object

// Memory of the process itself, without the pages of its files, in MB.
double memory_mb(Program& program) {
  std::ifstream status("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) return std::stod(line.substr(8)) / 1024;
  }
  throw std::runtime_error("the memory of the program cannot be read");
}

struct SmallSite : Daily {
  SmallSite() { change("\"memory_mb\":192", "\"memory_mb\":" + std::to_string(kLimitMb)); }
};

}  // namespace

// Guards against buffers that keep the size of the largest answer they carried for as long as their
// connection lives, outside any account (review/4).
TEST_CASE("Connections keep nothing of the large answers that they carried") {
  SmallSite site;
  site.start();
  REQUIRE(site.ready(site.door));
  const std::string body(kLargest, 'b');
  Serving serving(site.caches, [&](const Heard&) { return body; });
  constexpr std::uint64_t kClients = 200;
  std::vector<Stream> clients;
  double most = 0;
  for (std::uint64_t n = 0; n < kClients; ++n) {
    clients.push_back(site.client());
    clients.back().write(request(1, numbered(n)));
    CHECK(answer(clients.back()).body == body);
    most = std::max(most, memory_mb(*site.program));
  }
  INFO(most << " MB");
  CHECK(most < kLimitMb);
}
