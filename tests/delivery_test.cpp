// What a connection's end must not take with it: answers that the program has written and that the client has
// not read yet, since it reads slowly.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "daily.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

constexpr std::uint64_t kRequests = 4;  // their answers fit into what the system holds for a connection
constexpr std::size_t kAnswerBytes = 200'000;
constexpr std::chrono::milliseconds kReadsLater{2'600};
constexpr std::chrono::seconds kRestsLonger{8};  // than the time after which resting connections are ended

enum class EndsBy { kDrain, kTerm, kSuccessor, kRest };

}  // namespace

// Guards against a resting connection being ended while answers are still with the system: a request that the
// client then sends resets it, and what it had not read is lost (review/3).
TEST_CASE("A client that reads slowly loses no answer when its connection is ended") {
  const EndsBy ends_by = GENERATE(EndsBy::kDrain, EndsBy::kTerm, EndsBy::kSuccessor, EndsBy::kRest);
  INFO("end " << static_cast<int>(ends_by));
  Daily site;
  site.start();
  REQUIRE(site.ready(site.door));
  Stream client = site.client();
  const std::string body(kAnswerBytes, 'b');
  for (std::uint64_t n = 1; n <= kRequests; ++n) {
    client.write(request(static_cast<int>(n), numbered(n)));
    site.caches.next().say("DONE", "remark=hit", body);
  }
  Site::until(*site.program, "served=" + std::to_string(kRequests) + " ");
  std::unique_ptr<Program> successor;
  Stream bus;
  if (ends_by == EndsBy::kDrain) CHECK(site.ops("POST", "/_lameduck/on").status == 200);
  if (ends_by == EndsBy::kTerm) site.program->signal(SIGTERM);
  if (ends_by == EndsBy::kSuccessor) {
    successor = site.another(site.around(site.second_door));
    bus = site.bus_joined();
    REQUIRE(site.ready(site.second_door));
  }
  if (ends_by == EndsBy::kRest) {
    std::this_thread::sleep_for(kRestsLonger);
  } else {
    std::this_thread::sleep_for(kReadsLater);
  }
  // It has not read as far as any end of file, so for all that it can see the connection goes on.
  client.write(request(kRequests + 1, numbered(kRequests + 1)));
  for (std::uint64_t n = 1; n <= kRequests; ++n) CHECK(answer(client).body == body);
  // Also the request that came meanwhile has its end.
  if (const auto heard = site.caches.next(200)) heard->say("DONE", "remark=hit", "last");
  const Answer last = answer(client);
  CHECK((last.id == kRequests + 1 && (last.body == "last" || last.has("Status: 503"))));
  CHECK(client.ends());
}
