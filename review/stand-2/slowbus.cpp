// The event bus is slow: what it tells goes out some seconds late. A depot begins to drain meanwhile.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr std::int64_t kLateMs = 3700;      // of the event bus, while it is slow
constexpr std::int64_t kLateForMs = 14000;  // for so long
constexpr std::int64_t kToldMs = 7000;      // what it has to tell counts as told so long after, at the latest
constexpr std::int64_t kGraceMs = 2000, kSlackMs = 50;

std::atomic<std::int64_t> drained_ms{0};
std::atomic<int> after{0}, before{0};

void handle(Depot& depot, const std::shared_ptr<Peer>& peer, const Fetch& f) {
  const std::int64_t drained = drained_ms;
  if (depot.listed.id == 1 && drained != 0) {
    const std::int64_t late = f.began_ms - drained;
    ++(late > kToldMs + kGraceMs + kSlackMs ? after : before);
    if (late > kToldMs + kGraceMs + kSlackMs)
      record.say("broken: request %s to the draining %s, %lld ms after its drain was in the event bus",
                 f.id.c_str(), depot.name().c_str(), static_cast<long long>(late));
  }
  std::thread([peer, f] {
    sleep_ms(20);
    peer->answer(f.id, "DONE", "ver=a,born=" + std::to_string(unix_ms()) + ",remark=hit", "bytes");
  }).detach();
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv, 100);
  Depot a(1, 1, 0, handle), b(2, 1, 0, handle), parent(8, 0, 1, handle), source(9, 0, 2, handle);
  Bus bus;
  Config c;
  c.listen = free_port();
  c.bus = bus.port();
  c.depots = {a.listed, b.listed, parent.listed, source.listed};
  c.drain_grace_ms = kGraceMs;
  c.classes = {{"video-part", "free", 6000, 500, 0, 2.0, false, 0, true},
               {"doc-page", "free", 2500, 250, 0, 1.0, false, 0, true}};
  for (Depot* d : {&a, &b, &parent, &source}) d->start();
  bus.list(true, c.depots);
  bus.start();
  start_doorman(c);

  std::atomic<bool> on{true};
  std::atomic<std::uint64_t> asked{0}, answered{0};
  std::thread client([&] {
    auto connection = std::make_unique<Client>(c.listen);
    for (std::uint64_t n = 1; on; ++n) {
      ++asked;
      const Answer answer = connection->ask(request("video-part", n, mix(n % 200), 6000), 6500);
      answered += answer.served() ? 1 : 0;
      if (!answer.whole) connection = std::make_unique<Client>(c.listen);
      sleep_ms(40);
    }
  });
  sleep_ms(3000);
  if (trouble()) {
    bus.late(kLateMs);
    record.say("the event bus is slow from now on: %lld ms", static_cast<long long>(kLateMs));
  }
  sleep_ms(1000);
  Listed drains = a.listed;
  drains.state = 1;
  bus.list(false, {drains});
  drained_ms = unix_ms();
  record.say("the drain of %s is in the event bus", a.name().c_str());
  sleep_ms(kLateForMs - 1000);
  bus.late(0);
  sleep_ms(200);
  on = false;
  client.join();
  record.say("%llu asked, %llu served; to the draining depot %d before the limit, %d after it",
             static_cast<unsigned long long>(asked.load()), static_cast<unsigned long long>(answered.load()),
             before.load(), after.load());
  if (answered < asked / 2) cannot("too little was served");
  leave(after > 0 ? 1 : 0);
}
