// Pairs of events that can cross, each forced into its bad order with real connections: the program is held
// (SIGSTOP) while the other side acts, or a scripted peer waits for what it has seen.
// docs/design/crossings.md lists the pairs and what must hold.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "peers.hpp"
#include "site.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

Ask numbered(int n, const char* cls = "slot-page") {
  Ask a;
  a.cls = cls;
  a.id = hex16(0x5000u + static_cast<unsigned>(n));
  a.object = hex16(0xdef000u + static_cast<unsigned>(n));
  return a;
}
// Time that a deadline of the program needs to pass; never what a check rests on.
void pass(milliseconds time) { std::this_thread::sleep_for(time); }
void until(const Clock::time_point at) { std::this_thread::sleep_until(at); }

// A client with one answered request and nothing open: a resting connection.
Stream resting(Site& site, int n) {
  Stream client = site.client();
  client.write(request(1, numbered(n)));
  site.caches.next().say("DONE", "remark=hit", "first");
  CHECK(answer(client).body == "first");
  return client;
}
// The next request that a cache server hears is this one, so nothing else was passed on before it.
void next_heard_is(Site& site, const Ask& ask) {
  Stream marker = site.client();
  marker.write(request(1, ask));
  const Heard h = site.caches.next();
  CHECK((h.verb == "fetch" && h.id == ask.id));
  h.say("DONE", "remark=hit", "marker");
  CHECK(answer(marker).body == "marker");
}

constexpr milliseconds kServesOn{1'000};  // after SIGTERM, before resting connections are ended

}  // namespace

// ---- Ends of client connections

TEST_CASE("Answers on their way are not lost when more bytes come as their connection is ended") {
  Site site;
  site.start();
  Stream client = site.client();
  const std::string big(240'000, 'b');
  constexpr int kRequests = 8;  // more than the sockets hold: some of it is still to be written
  for (int n = 0; n < kRequests; ++n) {
    client.write(request(n + 1, numbered(n)));
    site.caches.next().say("DONE", "remark=hit", big);
  }
  Site::until(*site.program, "served=8 ");
  client.write("GET / HTTP/1.1\r\n" +
               std::string(100'000, 'x'));  // ends the connection, with bytes behind it
  std::set<int> ids;
  for (int n = 0; n < kRequests; ++n) {
    const Answer a = answer(client);
    CHECK(a.body == big);
    ids.insert(a.id);
  }
  CHECK(ids.size() == kRequests);
  CHECK(client.ends());
}

TEST_CASE("A request on a resting connection that is just being ended for its rest is answered") {
  Site site;
  site.start();
  const auto rests = Clock::now();
  Stream client = resting(site, 1);
  until(rests + milliseconds(5'500));
  site.program->stop();
  client.write(request(1, numbered(2)));
  until(rests + milliseconds(6'800));  // its time to rest is over when the program goes on
  site.program->signal(SIGCONT);
  const Heard h = site.caches.next();
  CHECK(h.id == numbered(2).id);
  h.say("DONE", "remark=hit", "second");
  CHECK(answer(client).body == "second");
}

TEST_CASE("A request that comes after our half was closed is not passed on") {
  Site site;
  site.start();
  Stream client = resting(site, 1);
  site.program->signal(SIGTERM);
  CHECK(client.ends());  // our half is closed, and the client's is not
  client.write(request(1, numbered(2)));
  // It comes again on a new connection, which is still taken, and only that one is passed on.
  next_heard_is(site, numbered(3));
  CHECK(site.program->wait().first == 0);
}

TEST_CASE("A request that comes slowly is answered, and one that stands still is not waited for") {
  Site site;
  site.start();
  Stream slow = site.client(), half = site.client();
  const std::string bytes = request(1, numbered(1));
  half.write(bytes.substr(0, 40));
  constexpr std::size_t kPieces = 6;
  for (std::size_t n = 0; n < kPieces; ++n) {
    slow.write(bytes.substr(n * bytes.size() / kPieces,
                            (n + 1) * bytes.size() / kPieces - n * bytes.size() / kPieces));
    if (n + 1 < kPieces) pass(milliseconds(600));
  }
  site.caches.next().say("DONE", "remark=hit", "slow");
  CHECK(answer(slow).body == "slow");
  CHECK(half.ends());
}

// ---- SIGTERM

TEST_CASE("A request that came while the program was about to end is answered") {
  const bool fresh = GENERATE(false, true);
  INFO((fresh ? "on a connection that waits to be accepted" : "on a resting connection"));
  Site site;
  site.start();
  Stream client = resting(site, 1);
  site.program->signal(SIGTERM);
  Site::until(*site.program, "served=1 ");  // it is handled in order: by now SIGTERM was
  site.program->stop();
  if (fresh) client = site.client();
  client.write(request(1, numbered(2)));
  pass(kServesOn + milliseconds(300));
  site.program->signal(SIGCONT);
  const Heard h = site.caches.next();
  CHECK(h.id == numbered(2).id);
  h.say("DONE", "remark=hit", "last");
  CHECK(answer(client).body == "last");
  CHECK(site.program->wait().first == 0);
}

TEST_CASE("After SIGTERM who asks is told that it is not ready, and requests are served") {
  Site site;
  site.start();
  CHECK(site.health().has("Status: 200"));
  site.program->signal(SIGTERM);
  Site::until(*site.program, "health=1;");
  CHECK(site.health().has("Status: 503"));
  next_heard_is(site, numbered(1));
  CHECK(site.program->wait().first == 0);
}

TEST_CASE("SIGTERM before there is any list: what comes is answered, and the end is in order") {
  Site site("", true, false);
  site.start();
  Stream client = site.client();
  site.program->signal(SIGTERM);
  client.write(request(1, numbered(1)));
  CHECK(answer(client).has("Status: 503"));
  CHECK(client.ends());
  const auto [code, said] = site.program->wait();
  CHECK((code == 0 && said.find("refused=1 ") != std::string::npos));
}

TEST_CASE("A cache server that hangs at SIGTERM keeps no request without an answer") {
  Site site;
  site.start();
  Stream client = site.client();
  std::vector<Heard> hanging;
  for (int n = 0; n < 4; ++n) {
    Ask ask = numbered(n, n % 2 ? "book-slot" : "slot-page");
    ask.patience_ms = 2'000;
    client.write(request(n + 1, ask));
    hanging.push_back(site.caches.next());
  }
  site.program->signal(SIGTERM);
  for (int n = 0; n < 4; ++n) CHECK(answer(client).has("Status: 50"));
  CHECK(client.ends());
  CHECK(site.program->wait().first == 0);
}

// Guards against a process that ends by itself as it writes a line to a log that nobody reads any more (issue
// 38).
TEST_CASE("A log whose reader has gone does not end the program") {
  Site site;
  site.start();
  Stream client = resting(site, 1);
  site.program->close_errors();
  for (int n = 2; n < 6; ++n) {
    site.program->signal(n % 2 == 0 ? SIGUSR1 : SIGHUP);
    client.write(request(1, numbered(n)));
    site.caches.next().say("DONE", "remark=hit", "whole");
    CHECK(answer(client).body == "whole");
  }
  CHECK(site.program->running());
  site.program->signal(SIGTERM);
  CHECK(site.program->code() == 0);
}

// ---- Clients that leave

// Guards against a booking that ran twice: its client left while it was at a server, and the same id came
// again (issue 38).
TEST_CASE("A booking whose client left does not run again when its id comes again") {
  const bool cancels = GENERATE(false, true);
  const bool never_ran = GENERATE(false, true);
  INFO((cancels ? "cancelled" : "closed") << (never_ran ? ", refused by the server" : ", may have run"));
  Site site;
  site.start();
  const Ask booking = numbered(1, "book-slot");
  Stream client = site.client();
  client.write(request(1, booking));
  const Heard first = site.caches.next();
  CHECK(first.id == booking.id);
  if (never_ran) {
    first.say("WAIT");
    CHECK(site.caches.next().id == booking.id);  // asked again, since it did not run
  }
  if (cancels) {
    client.write(record(2, 1, ""));
    CHECK(answer(client).id == 1);
  } else {
    client = Stream();
  }
  CHECK(site.caches.next().verb == "abort");
  Stream again = site.client();
  again.write(request(2, booking));
  const Answer failed = answer(again);
  CHECK((failed.has("Status: 409") && !failed.has("X-Come-Back-Ms")));
  next_heard_is(site, numbered(2));
}

// Its counterpart: what certainly did not run may come again with its id.
TEST_CASE("A booking that was refused unseen runs when its id comes again") {
  Site site;
  site.start();
  const Ask booking = numbered(1, "book-slot");
  Stream client = site.client();
  client.write(request(1, booking));
  bool answered = false;
  while (const auto heard = site.caches.next(500)) heard->say("WAIT");
  CHECK(answer(client).has("Status: 503"));
  Stream again = site.client();
  again.write(request(1, booking));
  const auto heard = site.caches.next(2'000);
  answered = heard.has_value();
  REQUIRE(answered);
  CHECK(heard->id == booking.id);
  heard->say("DONE", "remark=hit", "booked");
  CHECK(answer(again).body == "booked");
}

TEST_CASE("Nothing is begun for a client that sent its requests and left before they were read") {
  Site site;
  site.start();
  resting(site, 1);
  site.program->stop();
  {
    Stream client = site.client();
    client.write(request(1, numbered(2)) + request(2, numbered(3)));
  }
  {
    Stream client = site.client();
    client.write(request(1, numbered(4)));
    client.reset();
  }
  site.program->signal(SIGCONT);
  next_heard_is(site, numbered(5));
}

TEST_CASE("A client is seen to leave on a connection from which no more requests are taken") {
  Site site;
  site.start();
  Stream client = site.client();
  // The first does not ask to keep the connection: it ends after the answer, when the second is over too.
  std::string first = request(1, numbered(1));
  first[10] = 0;
  client.write(first + request(2, numbered(2)));
  const Heard one = site.caches.next(), two = site.caches.next();
  (one.id == numbered(1).id ? one : two).say("DONE", "remark=hit", "x");
  CHECK(answer(client).body == "x");
  client = Stream();
  const Heard abort = site.caches.next();
  CHECK((abort.verb == "abort" && abort.id == numbered(2).id));
}

TEST_CASE("A request that waits for a connection goes nowhere once its client has left") {
  Site site;
  Listener
      full;  // its queue is full, and nobody accepts: connections to the first cache server never come up
  ::listen(full.fd(), 0);
  const Stream filler = Stream::to(full.port());
  site.depots[0].port = full.port();
  std::string hosts;
  for (const Depot& d : site.depots) hosts += (hosts.empty() ? "" : ",") + d.json();
  site.list(hosts);
  site.start();
  // Which of the two a request goes to is by its object; the second answers at once.
  const bool aborts = GENERATE(false, true);
  INFO((aborts ? "abort" : "close"));
  int waiting = 0;
  for (int n = 0; n < 40 && waiting < 5; ++n) {
    Stream client = site.client();
    client.write(request(1, numbered(n)));
    if (const auto h = site.caches.next(100)) {
      CHECK(h->id == numbered(n).id);
      h->say("DONE", "remark=hit", "x");
      CHECK(answer(client).body == "x");
      continue;
    }
    ++waiting;  // for a connection, which is given up 400 ms after it was begun
    if (aborts) {
      client.write(record(2, 1, ""));
      CHECK(answer(client).head.empty());
    } else {
      client.reset();
    }
    // Past the time at which it would be tried elsewhere, the other cache server hears nothing of it.
    CHECK(!site.caches.next(600));
  }
  CHECK(waiting > 0);
}

// ---- Discovery

namespace {

// The second cache server drains.
void check_only_the_first_serves(Site& site) {
  for (int n = 0; n < 8; ++n) {
    Stream client = site.client();
    client.write(request(1, numbered(n)));
    const Heard h = site.caches.next();
    CHECK(h.depot == 0);
    h.say("DONE", "remark=hit", "x");
    CHECK(answer(client).body == "x");
  }
}

}  // namespace

TEST_CASE("A watch that falls silent is opened again from the last number") {
  Site site;
  site.start();
  site.tell(2, site.depots[0].record(), "lists=2 ");
  const auto silent = Clock::now();
  Stream old = std::move(site.bus);  // stays open, and says nothing more
  site.reconnected();
  CHECK(site.hello == big_endian(2, 8));
  CHECK(Clock::now() - silent < std::chrono::seconds(4));  // a few frames that come each second
  Depot drained = site.depots[1];
  drained.state = 1;
  site.tell(2, drained.record(), "lists=3 ");
  check_only_the_first_serves(site);
}

// Guards against a bus that is never heard while it is slow, and a draining server that is used for as long
// (review/9).
TEST_CASE("A watch that becomes slow is kept until it or another tells something") {
  constexpr milliseconds kLate(3700);
  Site site;
  site.start();
  site.tell(2, site.depots[0].record(), "lists=2 ");
  const auto silent = Clock::now();
  Stream slow = std::move(site.bus);
  Stream other = site.bus_joined();  // tried meanwhile, and as slow
  pass(std::chrono::duration_cast<milliseconds>(silent + kLate - Clock::now()));
  Depot drained = site.depots[1];
  drained.state = 1;
  slow.write(site.event(2, drained.record()));
  Site::until(*site.program, "lists=3 ");
  CHECK(other.ends());
  check_only_the_first_serves(site);
}

TEST_CASE("A list that comes slowly in pieces is taken, and a frame that breaks off is not waited for") {
  Site site("", true, false);
  site.start();
  std::string list;
  for (const Depot& d : site.depots) list += d.record();
  const std::string frame = site.event(1, list);
  constexpr std::size_t kPieces = 7;  // over 2.4 s in all
  for (std::size_t n = 0; n < kPieces; ++n) {
    const std::size_t from = n * frame.size() / kPieces, to = (n + 1) * frame.size() / kPieces;
    site.bus.write(frame.substr(from, to - from));
    if (n + 1 < kPieces) pass(milliseconds(400));
  }
  Site::until(*site.program, "lists=1 ");
  CHECK(site.health().has("Status: 200"));
  site.bus.write(site.event(2, site.depots[0].record()).substr(0, 20));
  site.reconnected();
  CHECK(site.hello == big_endian(1, 8));
}

TEST_CASE("A request that waits for a connection leaves a cache server that drains") {
  Site site;
  Listener full;  // connections to the first cache server never come up
  ::listen(full.fd(), 0);
  const Stream filler = Stream::to(full.port());
  site.depots[0].port = full.port();
  std::string hosts;
  for (const Depot& d : site.depots) hosts += (hosts.empty() ? "" : ",") + d.json();
  site.list(hosts);
  site.change("\"connect_timeout\":400000000", "\"connect_timeout\":9000000000");
  site.start();
  Stream client = site.client();
  for (int n = 1;; ++n) {  // which of the two it goes to is by the object
    REQUIRE(n < 40);
    client.write(request(1, numbered(n, "book-slot")));
    const auto h = site.caches.next(300);
    if (!h) {
      Depot drained = site.depots[0];
      drained.state = 1;
      site.tell(2, drained.record(), "lists=2 ");
      const Heard moved = site.caches.next();
      CHECK((moved.depot == 1 && moved.id == numbered(n).id));
      moved.say("DONE", "-", "booked");
      CHECK(answer(client).body == "booked");
      break;
    }
    h->say("DONE", "-", "booked");
    CHECK(answer(client).body == "booked");
  }
}

TEST_CASE("Many programs that start at once with all their clients are ready within 10 s") {
  Site site;  // its discovery takes no connection: the events known at the start must do
  site.write();
  constexpr std::size_t kPrograms = 20;
  std::vector<Listener> ports;  // held for the programs
  std::vector<std::unique_ptr<Program>> programs;
  for (std::size_t n = 0; n < kPrograms; ++n) ports.emplace_back(false);
  const auto started = Clock::now();
  for (const Listener& port : ports) {
    programs.push_back(std::make_unique<Program>(ANISEWICK_PROGRAM, site.path(),
                                                 "127.0.0.1:" + std::to_string(port.port())));
  }
  std::size_t in_time = 0;
  for (const Listener& port : ports) {
    bool ready = false;
    while (!ready && Clock::now() - started < std::chrono::seconds(30)) {
      try {
        Stream client = Stream::to(port.port());
        Ask ask;
        ask.path = "/_health";
        ask.cls = "";
        client.write(request(1, ask));
        ready = answer(client).has("Status: 200");
      } catch (const std::exception&) {  // it does not listen yet
        pass(milliseconds(5));
      }
    }
    CHECK(ready);
    if (ready && Clock::now() - started < std::chrono::seconds(10)) ++in_time;
  }
  CHECK(10 * in_time >= 9 * kPrograms);
}

TEST_CASE(
    "Idle clients that fill the descriptors keep neither discovery nor cache servers from being reached") {
  Site site;
  site.change("\"sockets\":1024", "\"sockets\":64");
  rlimit usual{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  const rlimit few{64, usual.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &few);
  site.start();
  ::setrlimit(RLIMIT_NOFILE, &usual);
  std::vector<Stream> idle;
  for (int n = 0; n < 100; ++n) idle.push_back(site.client());
  site.bus.reset();
  site.reconnected();
  Depot drained = site.depots[0];
  drained.state = 1;
  site.tell(2, drained.record(), "lists=2 ");
  Stream client = site.client();
  client.write(request(1, numbered(1)));
  const Heard h = site.caches.next();
  CHECK(h.depot == 1);
  h.say("DONE", "remark=hit", "x");
  CHECK(answer(client).body == "x");
}

TEST_CASE("When all connections are taken, the client that has been idle the longest makes room") {
  Site site;
  site.change("\"sockets\":1024", "\"sockets\":64");  // 32 of them for clients
  site.start();
  std::vector<Stream> clients;
  for (int n = 0; n < 32; ++n) clients.push_back(resting(site, n));
  clients[0].write(request(1, numbered(100)));  // so that the second is the one that was idle the longest
  site.caches.next().say("DONE", "remark=hit", "x");
  CHECK(answer(clients[0]).body == "x");
  Stream late = resting(site, 101);
  CHECK(clients[1].ends());
  for (std::size_t n = 0; n < clients.size(); ++n) {
    if (n != 1) CHECK(!readable(clients[n].fd(), 0));
  }
}

// ---- Cache servers

namespace {

// The only cache server of the centre, whose connections the test accepts when it likes.
struct LateServer {
  Listener listener;
  explicit LateServer(Site& site) {
    site.depots[0].port = listener.port();
    site.list(site.depots[0].json() + "," + site.depots[2].json() + "," + site.depots[3].json());
  }
  // Its queue is full: a connection that is begun now does not come up.
  Stream fill_queue() {
    ::listen(listener.fd(), 0);
    return Stream::to(listener.port());
  }
  static void answer_next(Stream& on, const Ask& ask, const std::string& body) {
    const std::string line = on.line();
    CHECK(line.starts_with("fetch " + ask.id + " "));
    on.take(2);  // of its empty body
    on.write(ask.id + " DONE remark=hit " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }
};

}  // namespace

TEST_CASE("A request that waits for a late connection goes on one that is up") {
  Site site;
  LateServer server(site);
  site.start();
  Stream client = site.client();
  client.write(request(1, numbered(1)));
  Stream first = server.listener.accept();
  LateServer::answer_next(first, numbered(1), "one");
  CHECK(answer(client).body == "one");
  const Stream filler = server.fill_queue();
  client.write(request(2, numbered(2)));  // has the connection
  const std::string line = first.line();
  CHECK(line.starts_with("fetch " + numbered(2).id));
  first.take(2);
  client.write(request(3, numbered(3)));  // has one opened, which does not come up
  LateServer::answer_next(first, numbered(3), "three");
  CHECK(answer(client).body == "three");
  first.write(numbered(2).id + " DONE remark=hit 3\r\ntwo\r\n");
  CHECK(answer(client).body == "two");
}

TEST_CASE("A request that waits for a late connection does not go on one that has long been silent") {
  Site site;
  LateServer server(site);
  site.start();
  Stream client = site.client();
  client.write(request(1, numbered(1)));
  Stream first = server.listener.accept();
  LateServer::answer_next(first, numbered(1), "one");
  CHECK(answer(client).body == "one");
  client.write(request(2, numbered(2)));  // has the connection, and gets no answer: the machine may be gone
  CHECK(first.line().starts_with("fetch " + numbered(2).id));
  first.take(2);
  pass(milliseconds(1'200));
  const Stream filler = server.fill_queue();
  client.write(request(3, numbered(3, "book-slot")));  // has one opened, which does not come up
  pass(milliseconds(500));
  Site::until(*site.program, "unreached=1 ");
  CHECK(!readable(first.fd(), 0));
}

TEST_CASE("A request that waits for a late connection goes on a further one that comes up") {
  Site site;
  LateServer server(site);
  const Stream filler = server.fill_queue();
  site.change("\"connect_timeout\":400000000", "\"connect_timeout\":9000000000");
  site.start();
  Stream client = site.client();
  Ask ask = numbered(1, "book-slot");
  client.write(request(1, ask));
  Site::until(*site.program, "links=1;");  // it has been begun, and the system asks again a second later
  server.listener.accept();                // the filler: there is room in the queue now
  Stream second = server.listener.accept();
  LateServer::answer_next(second, ask, "booked");
  CHECK(answer(client).body == "booked");
  CHECK(site.program->counters().find("links=2;") != std::string::npos);
}

namespace {

// Tells a purge of the group of all requests here; by then it has been taken in.
std::int64_t purge_now(Site& site) {
  const std::int64_t purged_ms = now_ms();
  site.tell(4, big_endian(17, 2) + big_endian(static_cast<std::uint64_t>(purged_ms), 8), "purges=1 ");
  return purged_ms;
}

// The request's line lets no copy do that is older than the purge.
bool bars_older(const std::string& line, std::int64_t purged_ms) {
  const std::size_t oldest = line.find(",oldest=");
  return oldest != std::string::npos && std::stoll(line.substr(oldest + 8)) <= now_ms() - purged_ms;
}

}  // namespace

// Guards against a request that is answered from an older copy, though the purge was told while it waited for
// its connection (review/8).
TEST_CASE("A request that waits for a late connection heeds a purge that is told meanwhile") {
  Site site;
  LateServer server(site);
  const Stream filler = server.fill_queue();
  site.change("\"connect_timeout\":400000000", "\"connect_timeout\":9000000000");
  site.start();
  Stream client = site.client();
  Ask ask = numbered(1);
  client.write(request(1, ask));
  Site::until(*site.program, "links=1;");
  const std::int64_t purged_ms = purge_now(site);
  server.listener.accept();  // the filler: there is room in the queue now
  Stream late = server.listener.accept();
  CHECK(bars_older(late.line(), purged_ms));
  late.take(2);
  late.write(ask.id + " DONE remark=filled 3\r\nnew\r\n");
  CHECK(answer(client).body == "new");
}

namespace {

// The most requests that came to the server within one second of the next two, on any connection.
int most_in_a_second(Listener& listener) {
  std::vector<Stream> streams;
  std::deque<Clock::time_point> came;
  std::size_t most = 0;
  const auto end = Clock::now() + milliseconds(2'000);
  while (Clock::now() < end) {
    if (readable(listener.fd(), 1)) streams.push_back(listener.accept());
    for (Stream& stream : streams) {
      while (stream.more(0)) {
      }
      while (stream.buffered()) {
        if (stream.line().starts_with("fetch ")) came.push_back(Clock::now());
      }
    }
    while (!came.empty() && Clock::now() - came.front() > milliseconds(1'000)) came.pop_front();
    most = std::max(most, came.size());
  }
  return static_cast<int>(most);
}

}  // namespace

// Guards against a cold server that gets at once what was picked for it over seconds: each second's share had
// been within the budget by itself.
TEST_CASE("What has waited for a cold server's late connections keeps to its budget when it goes out") {
  constexpr double kCalls = 3.0 * 0.2 / (412.5 / 10'500.0);  // of mean work that the settings allow a second
  const double most = kCalls + 3.0 * std::sqrt(kCalls) + 3.0;  // FAULTS, term 1
  Site site;
  site.depots[0].born_ms = now_ms();
  LateServer server(site);
  const Stream filler = server.fill_queue();
  site.change("\"connect_timeout\":400000000", "\"connect_timeout\":9000000000");
  site.start();
  std::vector<Stream> clients;
  for (int n = 0; n < 120; ++n) {  // over 3.6 s; what is beyond the budget is refused at once
    clients.push_back(site.client());
    clients.back().write(request(1, numbered(n)));
    pass(milliseconds(30));
  }
  server.listener.accept();  // the filler: there is room in the queue now
  ::listen(server.listener.fd(), 64);
  CHECK(most_in_a_second(server.listener) <= most);
}

TEST_CASE("A repeat that waits for its connection past the time in which it is known as one is not sent") {
  Site site;
  Listener full;  // connections to the first cache server do not come up
  ::listen(full.fd(), 0);
  const Stream filler = Stream::to(full.port());
  site.depots[0].port = full.port();
  std::string hosts;
  for (const Depot& d : site.depots) hosts += (hosts.empty() ? "" : ",") + d.json();
  site.list(hosts);
  site.change("\"connect_timeout\":400000000", "\"connect_timeout\":9000000000");
  site.change("\"repeat\":\"single_shot\"",
              "\"repeat\":\"guarded\",\"key_scope\":\"all\",\"key_ttl\":700000000");
  site.start();
  Stream client = site.client();
  bool repeated = false;
  for (int n = 1; n < 40 && !repeated; ++n) {  // which of the two it goes to first is by the object
    client.write(request(1, numbered(n, "book-slot")));
    const auto h = site.caches.next(300);
    if (!h) {  // it waits at the first; its client gives it up, so that the next one can be asked
      client.write(record(2, 1, ""));
      CHECK(answer(client).head.empty());
      continue;
    }
    const auto broke = Clock::now();
    h->say("BROKE");  // it may have run: what follows is a repeat, at the other
    pass(milliseconds(500));
    site.program->stop();
    full.accept();  // the connection can come up from now on
    until(broke + milliseconds(1'500));
    site.program->signal(SIGCONT);
    CHECK(answer(client).head.find("Status: 5") == 0);
    while (readable(full.fd(), 1'200)) {  // what came up is taken, and says nothing of it
      Stream late = full.accept();
      CHECK(!late.more(300));
    }
    repeated = true;
  }
  CHECK(repeated);
}

TEST_CASE("A connection on which a second answer comes is not used again") {
  Site site;
  site.start();
  Stream client = site.client();
  client.write(request(1, numbered(1)));
  const Heard first = site.caches.next();
  first.say("DONE", "remark=hit", "one");
  CHECK(answer(client).body == "one");
  first.say("DONE", "remark=hit", "two");
  Site::until(*site.program, "late_answers=1 ");
  Ask again = numbered(1);
  again.id = hex16(0x9999);
  client.write(request(1, again));
  const Heard second = site.caches.next();
  CHECK((second.depot == first.depot && second.on != first.on));
  second.say("DONE", "remark=hit", "three");
  CHECK(answer(client).body == "three");
}
