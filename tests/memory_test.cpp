// What the program holds, as the platform counts it, stays under the limit of
// its settings: the least memory that the pages name, with 1,024 descriptors.
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "daily.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

constexpr int kLimitMb = 32;
constexpr std::int64_t kDeadlineMs = 2'500;  // within which a usual client is owed its answer
constexpr std::size_t kLargest = 240'000;    // bytes of an object

// Memory of the process itself, without the pages of its files, in MB.
double memory_mb(Program &program) {
  std::ifstream status("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) return std::stod(line.substr(8)) / 1024;
  }
  throw std::runtime_error("the memory of the program cannot be read");
}

struct SmallSite : Daily {
  SmallSite() { change("\"memory_mb\":192", "\"memory_mb\":" + std::to_string(kLimitMb)); }
};

constexpr std::int64_t kFloodMs = 6'000;
constexpr int kBadClients = 300;       // at once; with the usual ones under a third of the descriptors
constexpr std::size_t kMostOpen = 32;  // requests on one connection
constexpr std::size_t kLargestBody = 48'000;
constexpr std::size_t kLargestHead = 16'000;

// What one bad client sends on a new connection, again and again on new ones.
enum class Flood {
  kHalfRequests,   // large requests that stop half way
  kSlowRequests,   // the same, and a further byte now and then
  kShortFields,    // heads of very many short fields, whose bodies never come
  kTakesNothing,   // whole requests for the largest objects; the answers are not
                   // read
  kUnreadRefusals  // records that are answered at once; the answers are not read
};

std::string half_requests() {
  std::string bytes;
  for (std::size_t n = 1; n <= kMostOpen; ++n) {
    const int id = static_cast<int>(n);
    bytes += begin(id) + record(4, id, params_of(numbered(n))) + record(4, id, "");
    bytes += record(5, id, std::string(kLargestBody / 2, 'h'));
  }
  return bytes;
}
std::string short_fields() {
  const std::string head(kLargestHead, '\0');  // fields without a name and a value, two bytes each
  std::string bytes;
  for (std::size_t n = 1; n <= kMostOpen; ++n) {
    const int id = static_cast<int>(n);
    bytes += begin(id) + record(4, id, head) + record(4, id, "") + record(5, id, "a body that never ends");
  }
  return bytes;
}
std::string large_requests(std::uint64_t from) {
  std::string bytes;
  for (std::size_t n = 1; n <= kMostOpen; ++n) bytes += request(static_cast<int>(n), numbered(from + n));
  return bytes;
}
std::string unread_refusals() {
  std::string bytes;
  for (int n = 0; n < 4'000; ++n) bytes += record(9, 0, param("FCGI_MAX_CONNS", ""));
  return bytes;
}
std::string sent_by(Flood flood, std::uint64_t from) {
  switch (flood) {
    case Flood::kHalfRequests:
    case Flood::kSlowRequests:
      return half_requests();
    case Flood::kShortFields:
      return short_fields();
    case Flood::kTakesNothing:
      return large_requests(from);
    case Flood::kUnreadRefusals:
      break;
  }
  return unread_refusals();
}

// Bad clients, all on one thread: each connects, sends what the flood says as
// fast as it is taken, and begins anew once its connection has ended.
class BadClients {
 public:
  BadClients(Site &site, Flood flood) : site_(site), flood_(flood), thread_([this] { run(); }) {}
  ~BadClients() {
    over_ = true;
    thread_.join();
  }

 private:
  struct Client {
    Stream stream;
    std::string bytes;
    std::size_t sent = 0;
    int turns = 0;  // since the last byte that it sent slowly
  };
  void begin_anew(Client &client) {
    client.stream = site_.client();
    ::fcntl(client.stream.fd(), F_SETFL, O_NONBLOCK);
    client.bytes = sent_by(flood_, from_ += 1'000);
    client.sent = 0;
  }
  void send(Client &client) {
    const std::size_t left = client.bytes.size() - client.sent;
    ssize_t n =
        left > 0 ? ::send(client.stream.fd(), client.bytes.data() + client.sent, left, MSG_NOSIGNAL) : 0;
    if (left == 0 && flood_ == Flood::kSlowRequests && ++client.turns % 50 == 0)
      n = ::send(client.stream.fd(), "\1", 1, MSG_NOSIGNAL);  // a record begins
    if (n > 0 && left > 0) client.sent += static_cast<std::size_t>(n);
    pollfd p{client.stream.fd(), POLLRDHUP, 0};
    const bool ended = ::poll(&p, 1, 0) > 0;
    if (ended || (n < 0 && errno != EAGAIN)) begin_anew(client);
  }
  void run() {
    try {
      std::vector<Client> clients(kBadClients);
      for (Client &client : clients) begin_anew(client);
      while (!over_) {
        for (Client &client : clients) send(client);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    } catch (const std::exception &) {  // the program is gone, which the test finds out
    }
  }

  Site &site_;
  const Flood flood_;
  std::uint64_t from_ = 1'000'000;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

// Looks at the program's memory all along, into `most`, until it goes.
class Sampler {
 public:
  Sampler(Program &program, double &most)
      : thread_([this, &program, &most] {
          while (!over_) {
            most = std::max(most, memory_mb(program));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
          }
        }) {}
  ~Sampler() {
    over_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

struct Usual {
  int served = 0, refused = 0, other = 0;
  std::int64_t longest_ms = 0;
};
// A client that keeps to the pages: one request at a time, small ones and large
// ones with a body.
Usual ask_as_usual(Site &site, std::int64_t for_ms) {
  Usual usual;
  Stream stream = site.client();
  const std::int64_t from = now_ms();
  for (std::uint64_t n = 1; now_ms() - from < for_ms; ++n) {
    Ask ask = numbered(90'000'000 + n);
    ask.size = "1.0";
    if (n % 4 == 0) ask.body = std::string(kLargestBody, 'w');
    const std::int64_t sent = now_ms();
    stream.write(request(1, ask));
    const Answer a = answer(stream);
    usual.longest_ms = std::max(usual.longest_ms, now_ms() - sent);
    ++(a.has("Status: 200") ? usual.served : a.has("503") || a.protocol == 2 ? usual.refused : usual.other);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return usual;
}

void check(const Usual &usual, double most) {
  INFO(most << " MB; " << usual.served << " served, " << usual.refused << " refused, " << usual.other
            << " other, longest " << usual.longest_ms << " ms");
  CHECK(most < kLimitMb);
  CHECK(usual.other == 0);
  CHECK(usual.served > 10 * usual.refused);
  CHECK(usual.longest_ms < kDeadlineMs);
}

}  // namespace

// Guards against bytes that clients make the process hold and that no account
// knows, or that it lets in before it knows them: at the least memory of the
// pages a flood took it to twice its limit and beyond (issue 38).
TEST_CASE(
    "Floods of bad clients keep the process under its limit, and usual "
    "clients are answered in time") {
  const Flood flood = GENERATE(Flood::kHalfRequests, Flood::kSlowRequests, Flood::kShortFields,
                               Flood::kTakesNothing, Flood::kUnreadRefusals);
  INFO("flood " << static_cast<int>(flood));
  SmallSite site;
  site.start();
  REQUIRE(site.ready(site.door));
  const std::string large(kLargest, 'b');
  // In proportion to what the requests tell; the usual client's are small.
  const std::string small(kLargest * 10 / 4125, 's');
  Serving serving(site.caches,
                  [&](const Heard &h) { return h.id < hex16(0x1000u + 90'000'000) ? large : small; });
  double most = 0;
  Usual usual;
  {
    BadClients bad(site, flood);
    const Sampler sampler(*site.program, most);
    usual = ask_as_usual(site, kFloodMs);
  }
  check(usual, most);
  site.program->signal(SIGTERM);
  CHECK(site.program->wait().first == 0);
}

// Guards against one client at full speed that delays all others, or fills memory with ever new names (issue
// 38).
TEST_CASE("One client at full speed delays nobody, whatever it sends") {
  enum class Sends { kUnknownClasses, kNewObjects, kCancelled };
  const Sends sends = GENERATE(Sends::kUnknownClasses, Sends::kNewObjects, Sends::kCancelled);
  INFO("sends " << static_cast<int>(sends));
  SmallSite site;
  site.start();
  REQUIRE(site.ready(site.door));
  const std::string small(kLargest * 10 / 4125, 's');
  Serving serving(site.caches, [&](const Heard &) { return small; });
  Stream bad = site.client();
  std::atomic<bool> over = false;
  std::thread reads([&] {
    while (!over) bad.drop(50);
  });
  std::thread writes([&] {
    try {
      for (std::uint64_t n = 1; !over; ++n) {
        std::string bytes;
        for (int id = 1; id <= 20; ++id) {
          Ask ask = numbered(1'000'000 + 100 * n + static_cast<std::uint64_t>(id));
          ask.size = "1.0";
          if (sends == Sends::kUnknownClasses) ask.cls = "class-" + std::to_string(n);
          bytes += request(id, ask);
          if (sends == Sends::kCancelled) bytes += record(2, id, "");
        }
        bad.write(bytes);
      }
    } catch (const std::exception &) {  // its connection was ended
    }
  });
  double most = 0;
  Usual usual;
  {
    const Sampler sampler(*site.program, most);
    usual = ask_as_usual(site, kFloodMs / 2);
  }
  over = true;
  bad.shut();
  writes.join();
  reads.join();
  check(usual, most);
}

// Guards against buffers that keep the size of the largest answer they carried
// for as long as their connection lives, outside any account (review/4).
TEST_CASE("Connections keep nothing of the large answers that they carried") {
  SmallSite site;
  site.start();
  REQUIRE(site.ready(site.door));
  const std::string body(kLargest, 'b');
  Serving serving(site.caches, [&](const Heard &) { return body; });
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
