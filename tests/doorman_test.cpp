// The program against scripted peers on real sockets: one test a rule, and one for each failure found.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "depot/depot.hpp"
#include "peers.hpp"
#include "site.hpp"

using namespace anisewick;
using namespace anisewick::peers;

namespace {

// Each has an id of its own, as every request of a client has.
Ask booking(int patience_ms = 10'000) {
  static std::uint64_t bookings = 0;
  Ask a;
  a.cls = "book-slot";
  a.id = hex16(0x77000u + ++bookings);
  a.patience_ms = patience_ms;
  a.body = "seat=7";
  return a;
}
Ask numbered(int n) {
  Ask a;
  a.id = hex16(0x1000u + static_cast<unsigned>(n));
  a.object = hex16(0xabc000u + static_cast<unsigned>(n));
  return a;
}
bool failed(const Answer& a) {
  return a.protocol == 0 && a.has("Status: 5") && !a.has("503") && !a.has("X-Come-Back-Ms");
}

}  // namespace

TEST_CASE("Requests on one connection each get one whole answer, in the order of the depots") {
  Site site;
  site.start();
  CHECK(site.hello == big_endian(1, 8));
  CHECK(site.health().has("Status: 200"));
  Stream client = site.client();
  const Ask second = numbered(2);
  client.write(request(1) + request(7, second));
  const Heard one = site.caches.next(), two = site.caches.next();
  const bool swapped = one.id != kId;
  const Heard& first = swapped ? two : one;
  CHECK(
      (first.id == kId && first.fields.at("profile") == "slot-page" && first.fields.at("thing") == kObject));
  CHECK((first.fields.at("nth") == "0" && first.fields.at("from") == "s-00000008"));
  CHECK((first.fields.at("mode") == "collapse" && !first.fields.contains("oldest")));
  CHECK((std::stoi(first.fields.at("max")) > 1000 && std::stoi(first.fields.at("max")) <= 10'000));
  std::string big;
  for (int i = 0; i < 240'000; ++i) big.push_back(static_cast<char>(i * 31 >> 3));
  (swapped ? one : two).say("DONE", "ver=1,born=1,remark=hit", "small");
  CHECK(answer(client).body == "small");
  first.say("DONE", "ver=1,born=1,remark=filled,waited=3", big);
  const Answer whole = answer(client);
  CHECK((whole.id == 1 && whole.has("Status: 200") && whole.body == big));
}

TEST_CASE("A client's own copy that holds is answered without bytes") {
  Site site;
  site.start();
  Stream client = site.client();
  Ask ask;
  ask.tag = "4be0c1927d55a6f3";
  client.write(request(1, ask));
  const Heard h = site.caches.next();
  CHECK(h.fields.at("seen") == "4be0c1927d55a6f3");
  h.say("KEEP", "ver=4be0c1927d55a6f3,born=1,remark=hit");
  const Answer a = answer(client);
  CHECK((a.has("Status: 200") && a.has("X-Ok304: 1") && a.body.empty()));
}

// Guards against a client that is told to use its copy by an answer that names another one (review/10).
TEST_CASE("A client's copy is called current only by an answer that names it") {
  Site site;
  site.start();
  Stream client = site.client();
  Ask ask = numbered(1);
  ask.tag = "4be0c1927d55a6f3";
  const std::vector<std::pair<std::string, std::function<void(const Heard&)>>> contradicting{
      {"another copy", [](const Heard& h) { h.say("KEEP", "ver=4bexc192xd5xa6f3,born=1,remark=hit"); }},
      {"a longer tag", [](const Heard& h) { h.say("KEEP", "ver=4be0c1927d55a6f30,born=1,remark=hit"); }},
      {"no copy", [](const Heard& h) { h.say("KEEP", "born=1,remark=hit"); }},
      {"bytes", [](const Heard& h) { h.say("KEEP", "ver=4be0c1927d55a6f3,born=1", "bytes"); }},
  };
  for (const auto& [what, answer_so] : contradicting) {
    INFO(what);
    client.write(request(1, ask));
    answer_so(site.caches.next());
    const Heard again = site.caches.next();
    CHECK((again.verb == "fetch" && again.id == ask.id));
    again.say("DONE", "ver=aa,born=1,remark=hit", "whole");
    const Answer a = answer(client);
    CHECK((a.body == "whole" && !a.has("X-Ok304")));
  }
  CHECK(site.program->counters().find("contradicting_answers=4 ") != std::string::npos);
}

// Guards against a repeat of what may have run, by a word that its own answer contradicts.
TEST_CASE("An answer that says that nothing ran and brings bytes proves nothing") {
  Site site;
  site.start();
  Stream client = site.client();
  for (const char* word : {"WAIT", "LACK", "PAST"}) {
    INFO(word);
    client.write(request(1, booking()));
    site.caches.next().say(word, "-", "booked");
    CHECK(failed(answer(client)));
    CHECK_FALSE(site.caches.next(100));
  }
}

TEST_CASE("A booking that may have run is never sent again and never refused") {
  Site site;
  site.start();
  Stream client = site.client();
  const std::vector<std::pair<std::string, std::function<void(const Heard&)>>> endings{
      {"BROKE", [](const Heard& h) { h.say("BROKE", "remark=origin_failed"); }},
      {"nonsense", [](const Heard& h) { h.on->write("what\r\n"); }},
      {"silence", [](const Heard&) {}},
      {"reset", [](const Heard& h) { h.on->reset(); }},
  };
  for (const auto& [what, end] : endings) {
    INFO(what);
    client.write(request(1, booking(what == "silence" ? 900 : 10'000)));
    const Heard h = site.caches.next();
    CHECK((h.verb == "fetch" && h.body == "seat=7"));
    end(h);
    CHECK(failed(answer(client)));
    if (what == "silence") CHECK(site.caches.next().verb == "abort");
    // The next thing that any depot hears is another request: the booking went nowhere else.
    client.write(request(1, numbered(1)));
    const Heard after = site.caches.next();
    CHECK(after.id == numbered(1).id);
    after.say("DONE", "remark=hit", "x");
    CHECK(answer(client).body == "x");
  }
}

TEST_CASE("A booking that never ran is tried elsewhere") {
  Site site;
  site.start();
  Stream client = site.client();
  for (const char* word : {"WAIT", "LACK", "PAST"}) {
    INFO(word);
    client.write(request(1, booking()));
    const Heard first = site.caches.next();
    first.say(word);
    const Heard second = site.caches.next();
    CHECK((second.id == first.id && second.depot != first.depot && second.body == "seat=7"));
    second.say("DONE", "-", "booked");
    CHECK(answer(client).body == "booked");
  }
}

TEST_CASE("A depot that cannot be reached proves that nothing ran") {
  const bool silent = GENERATE(false, true);
  INFO((silent ? "silent" : "refused"));
  Site site("", false);
  std::vector<Stream> fillers;
  std::unique_ptr<Listener> full;
  if (silent) {  // a full queue of connections: new ones never come up
    full = std::make_unique<Listener>(true, site.caches.port(0));
    ::listen(full->fd(), 0);
    fillers.push_back(Stream::to(full->port()));
  }
  site.start();
  Stream client = site.client();
  for (int n = 0; n < 8; ++n) {
    Ask ask = numbered(n);
    ask.cls = "book-slot";
    client.write(request(1, ask));
    const Heard h = site.caches.next();
    CHECK((h.depot == 1 && h.id == ask.id));
    h.say("DONE", "-", "booked");
    CHECK(answer(client).body == "booked");
  }
  CHECK(site.program->counters().find("unreached=0 ") == std::string::npos);
}

TEST_CASE("What the decisions give up is refused at once and told when to come back") {
  Site site;
  site.start();
  Stream client = site.client();
  client.write(request(1));
  site.caches.next().say("WAIT");
  Answer a;
  for (int n = 0; n < 7; ++n) {  // at most 8 attempts, and then a refusal, whatever time is left
    const Heard h = site.caches.next();
    REQUIRE(h.id == kId);
    h.say("WAIT");
  }
  a = answer(client);
  REQUIRE((a.has("Status: 503") && a.has("X-Come-Back-Ms: ")));
  const int ms = std::stoi(a.head.substr(a.head.find("X-Come-Back-Ms: ") + 16));
  CHECK((ms > 0 && ms <= 1000));
}

TEST_CASE("A depot that drains gets nothing new, neither as cache nor as source") {
  Site site;
  site.start();
  Stream client = site.client();
  client.write(request(1));
  const Heard before = site.caches.next();
  CHECK(before.fields.at("from") == "s-00000008");
  Depot cache = site.depots[before.depot], parent = site.depots[2];
  cache.state = parent.state = 1;
  site.tell(2, cache.record() + parent.record(), "lists=2 ");
  before.say("DONE", "remark=hit", "still whole");  // what it has taken it may finish
  CHECK(answer(client).body == "still whole");
  for (int n = 0; n < 12; ++n) {
    client.write(request(1, numbered(n)));
    const Heard h = site.caches.next();
    CHECK((h.depot != before.depot && h.fields.at("from") == "s-00000009"));
    h.say("DONE", "remark=hit", "x");
    answer(client);
  }
}

TEST_CASE("A cold cache and a cold parent are asked for little") {
  Site site;
  site.start();
  Depot cache = site.depots[0], parent = site.depots[2];
  cache.born_ms = parent.born_ms = now_ms();
  site.tell(2, cache.record() + parent.record(), "lists=2 ");
  Stream one = site.client(), two = site.client();
  for (int n = 0; n < 60; ++n) (n % 2 ? one : two).write(request(1 + n / 2, numbered(n)));
  int cold = 0, filled = 0;
  for (int n = 0; n < 60; ++n) {
    const Heard h = site.caches.next();
    cold += h.depot == 0;
    filled += h.fields.contains("from") && h.fields.at("from") == "s-00000008";
  }
  // Of the second in which it may get 3 x 20% of its link: 412.5 KB at 10,500 KB a second are 39 ms each.
  CHECK((cold > 0 && cold <= 15));
  CHECK(filled <= 3);
}

TEST_CASE("No copy from before a purge will do, known at the start or told later") {
  const std::int64_t then = now_ms() - 700;
  Site site(R"(,{"offset":2,"ban":{"url":"00000000000000aa","ts":)" + std::to_string(then) +
            R"(}},{"offset":3,"ban":{"tag":5,"ts":)" + std::to_string(then) + "}}");
  site.start();
  Stream client = site.client();
  const auto check = [&](const std::string& object, int group, std::int64_t purged) {
    Ask ask;
    ask.object = object;
    ask.group = group;
    client.write(request(1, ask));
    const Heard h = site.caches.next();
    INFO("object " << object << " of group " << group);
    CHECK(h.fields.contains("oldest") == (purged != 0));
    if (purged != 0) CHECK(std::stoll(h.fields.at("oldest")) <= std::max<std::int64_t>(1, now_ms() - purged));
    if (purged != 0) CHECK(std::stoll(h.fields.at("oldest")) >= 1);
    h.say("DONE", "remark=hit", "x");
    answer(client);
  };
  check("00000000000000aa", 1, then);
  check("00000000000000ab", 5, then);
  check("00000000000000ab", 6, 0);
  const std::int64_t later = now_ms();
  site.tell(3, big_endian(0xac, 8) + big_endian(static_cast<std::uint64_t>(later), 8), "purges=3 ");
  check("00000000000000ac", 1, later);
  site.tell(4, big_endian(6, 2) + big_endian(static_cast<std::uint64_t>(later), 8), "purges=4 ");
  check("00000000000000ab", 6, later);
  check("00000000000000ad", 7, 0);
}

TEST_CASE("An attempt out of time is aborted, the next one goes elsewhere, and a late answer is dropped") {
  Site site;
  site.start();
  Stream client = site.client();
  Ask ask;
  ask.patience_ms = 3000;
  client.write(request(1, ask));
  const Heard first = site.caches.next();
  // The depot says something meanwhile, so that its connection is not taken for one to a vanished machine:
  // more than belongs to it, which is dropped.
  first.on->write("00000000000000ff DONE ver=1,born=1 1\r\nx\r\n");
  Heard abort = site.caches.next(), second = site.caches.next();
  if (abort.verb != "abort") std::swap(abort, second);  // on two connections either may be read first
  CHECK((abort.verb == "abort" && abort.id == first.id && abort.depot == first.depot));
  CHECK((second.verb == "fetch" && second.id == first.id && second.depot != first.depot));
  first.say("DONE", "remark=hit", "late");
  while (site.program->counters().find("late_answers=2 ") == std::string::npos) {
  }
  second.say("DONE", "remark=hit", "right");
  CHECK(answer(client).body == "right");
}

TEST_CASE("What spoils an answer or ends a connection touches no other request") {
  Site site;
  site.start();
  Stream client = site.client();
  const std::vector<std::pair<std::string, std::function<void(const Heard&)>>> spoilt{
      {"noise", [](const Heard& h) { h.on->write("\x01\xff\r\n"); }},
      {"an unknown word", [](const Heard& h) { h.say("D0NE", "ver=1"); }},
      {"a copy that the client has not", [](const Heard& h) { h.say("KEEP", "ver=1,born=1"); }},
      {"too long", [](const Heard& h) { h.on->write(h.id + " DONE ver=1,born=1 3221225472\r\nabc"); }},
      {"broken off and left open", [](const Heard& h) { h.on->write(h.id + " DONE ver=1,born=1 9\r\nabc"); }},
      {"reset", [](const Heard& h) { h.on->reset(); }},
  };
  for (const auto& [what, spoil] : spoilt) {
    INFO(what);
    client.write(request(1, numbered(1)) + request(2, numbered(2)) + request(3, booking()));
    std::vector<Heard> all;
    for (int n = 0; n < 3; ++n) all.push_back(site.caches.next());
    for (const Heard& h : all) {
      if (h.id == numbered(1).id) spoil(h);
    }
    const auto started = std::chrono::steady_clock::now();
    const Heard again = site.caches.next();  // and only that one
    CHECK((again.verb == "fetch" && again.id == numbered(1).id));
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(3));
    again.say("DONE", "remark=hit", "x");
    CHECK(answer(client).id == 1);
    for (const Heard& h : all) {
      if (h.id != numbered(1).id) h.say("DONE", "remark=hit", "y");
    }
    CHECK((answer(client).body == "y" && answer(client).body == "y"));
  }
}

TEST_CASE("A booking does not go out on a connection that the depot has just ended") {
  Site site;
  site.start();
  Stream client = site.client();
  std::vector<Heard> idle;
  for (int n = 0; n < 12; ++n) {  // to either depot, so that both have an idle connection
    client.write(request(1, numbered(n)));
    idle.push_back(site.caches.next());
    idle.back().say("DONE", "remark=hit", "x");
    answer(client);
  }
  site.program->stop();  // it finds the request first, and then that the connections have ended
  client.write(request(1, booking()));
  std::set<Stream*> streams;
  for (const Heard& h : idle) streams.insert(h.on);
  CHECK(streams.size() == 2);
  for (Stream* s : streams) s->reset();
  site.program->signal(SIGCONT);
  site.caches.next().say("DONE", "-", "booked");
  CHECK(answer(client).body == "booked");
}

TEST_CASE("A depot that fell silent is asked next on a new connection") {
  Site site;
  site.start();
  Stream client = site.client();
  client.write(request(1, booking(900)));
  const Heard silent = site.caches.next();
  CHECK(failed(answer(client)));
  CHECK(site.caches.next().verb == "abort");
  for (;;) {
    client.write(request(1, booking()));
    const Heard next = site.caches.next();
    next.say("DONE", "-", "booked");
    CHECK(answer(client).body == "booked");
    if (next.depot != silent.depot) continue;
    CHECK(next.on != silent.on);
    break;
  }
}

TEST_CASE("A client that leaves is owed nothing, and its attempt is given up") {
  Site site;
  site.start();
  const bool aborts = GENERATE(true, false);
  Stream client = site.client();
  client.write(request(1) + request(2, numbered(2)));
  const Heard one = site.caches.next(), two = site.caches.next();
  if (!aborts) {
    client.reset();
    CHECK((site.caches.next().verb == "abort" && site.caches.next().verb == "abort"));
    return;
  }
  client.write(record(2, 1, ""));
  const Heard abort = site.caches.next();
  CHECK((abort.verb == "abort" && abort.id == kId));
  const Answer end = answer(client);
  CHECK((end.id == 1 && end.head.empty()));
  (one.id == kId ? one : two).say("DONE", "remark=hit", "late");
  (one.id == kId ? two : one).say("DONE", "remark=hit", "other");
  const Answer other = answer(client);
  CHECK((other.id == 2 && other.body == "other"));
}

TEST_CASE("Malformed input closes that connection only, and what cannot be passed on is answered") {
  Site site;
  site.start();
  Stream good = site.client(), bad = site.client();
  good.write(request(1));
  const Heard h = site.caches.next();
  bad.write("GET / HTTP/1.1\r\n\r\n");
  CHECK(bad.ends());
  h.say("DONE", "remark=hit", "whole");
  CHECK(answer(good).body == "whole");
  std::vector<Ask> wrong(19);
  wrong[0].id = "short";
  wrong[1].object = "7f3a9c21e0b4d65z";
  wrong[2].cls = "slot-page x=1";
  wrong[3].cls = "unknown";
  wrong[4].path = "/other/";
  wrong[5].nth = "";
  wrong[6].nth = "-1";
  wrong[7].nth = "1e12";
  wrong[8].batch = "-1";
  wrong[9].batch = "256";
  wrong[10].batch = "nan";
  wrong[11].size = "1e300";
  wrong[12].size = "-4";
  wrong[13].patience = "99999999999999999999999";
  wrong[14].patience = "60000";
  wrong[15].patience = "soon";
  wrong[16].length = "-7";
  wrong[17].length = "7";
  wrong[18].tag = "4be0,seen=1";
  for (const Ask& ask : wrong) {
    good.write(request(1, ask));
    CHECK(answer(good).has("Status: 4"));
  }
}

TEST_CASE("A slow reader gets every byte and holds up nobody") {
  Site site;
  site.start();
  Stream slow = site.client(), quick = site.client();
  const std::string big(240'000, 'b');
  std::set<int> ids;
  for (int n = 0; n < 32; ++n) {
    slow.write(request(n + 1, numbered(n)));
    site.caches.next().say("DONE", "remark=hit", big);
  }
  quick.write(request(1));
  site.caches.next().say("DONE", "remark=hit", "quick");
  CHECK(answer(quick).body == "quick");
  for (int n = 0; n < 32; ++n) {
    const Answer a = answer(slow);
    CHECK(a.body == big);
    ids.insert(a.id);
  }
  CHECK(ids.size() == 32);
}

TEST_CASE("Ready only once the list of depots is there") {
  Site site("", true, false);
  site.start();
  CHECK(site.health().has("Status: 503"));
  std::string list;
  for (const Depot& d : site.depots) list += d.record();
  site.tell(1, list, "lists=1 ");
  CHECK(site.health().has("Status: 200"));
}

TEST_CASE("A lost event bus is joined again from the last number") {
  Site site;
  site.start();
  site.tell(2, site.depots[0].record(), "lists=2 ");
  site.bus.reset();
  site.reconnected();
  CHECK(site.hello == big_endian(2, 8));
  site.bus.write("\x7f\xff\xff\xff nonsense");
  site.reconnected();
  CHECK(site.hello == big_endian(2, 8));
}

TEST_CASE("SIGHUP moves to the new event bus from the last number, and a bad file changes nothing") {
  Site site;
  site.start();
  Stream client = site.client();
  client.write(request(1));
  const Heard h = site.caches.next();
  site.tell(2, site.depots[0].record(), "lists=2 ");
  site.change("\"name\":", "\"name\"");
  site.program->signal(SIGHUP);
  CHECK(site.program->line().find("stays in force: not JSON") != std::string::npos);
  Listener moved;
  site.change("\"name\"", "\"name\":");
  site.change("127.0.0.1:" + std::to_string(site.bus_port()), "127.0.0.1:" + std::to_string(moved.port()));
  site.change("\"batch\":[", R"("batch":[{"offset":3,"ban":{"tag":5,"ts":1}},)");
  site.program->signal(SIGHUP);
  CHECK(site.bus.ends());
  site.reconnected(moved);
  CHECK(site.hello == big_endian(3, 8));  // with what the new file knows
  h.say("DONE", "remark=hit", "whole");
  CHECK(answer(client).body == "whole");
  Depot drained = site.depots[h.depot];
  drained.state = 1;
  site.tell(2, "", "lists=2 ");  // number 3 again changes nothing
  site.tell(2, drained.record(), "lists=3 ");
  client.write(request(1));
  CHECK(site.caches.next().depot != h.depot);
}

TEST_CASE("SIGHUP brings classes and takes them, and what is open keeps its own") {
  Site site;
  site.start();
  Stream client = site.client();
  const auto reload = [&](const std::string& from, const std::string& to, const std::string& said) {
    site.change(from, to);
    site.program->signal(SIGHUP);
    CHECK(site.program->line().find(said) != std::string::npos);
  };
  const auto ask = [&](const std::string& cls, const std::string& id) {
    Ask a;
    a.cls = cls;
    a.id = id;
    client.write(request(1, a));
  };
  ask("slot-page_b", "9b1f03aa5c7e2d40");
  CHECK(answer(client).has("Status: 404"));
  // In front of the others: no number may shift under what is open.
  const std::string fresh =
      R"({"name":"slot-page_b","aim":400000000,"credit":1,"deadline":9000000000,"repeat":"free"},)";
  ask("slot-page", "9b1f03aa5c7e2d41");
  Heard h = site.caches.next();
  reload("\"categories\":[", "\"categories\":[" + fresh, "configuration 2 is in force, with 3 classes");
  h.say("DONE", "remark=hit", "one");
  CHECK(answer(client).body == "one");
  ask("slot-page_b", "9b1f03aa5c7e2d42");
  h = site.caches.next();
  CHECK(h.fields["profile"] == "slot-page_b");
  // It is dropped, and the others may be tried only once: the one that is open is tried again all the same.
  site.change("\"max_attempts\":8", "\"max_attempts\":1");
  reload(fresh, "", "configuration 3 is in force, with 2 classes");
  h.say("WAIT");
  h = site.caches.next();
  h.say("DONE", "remark=hit", "two");
  CHECK(answer(client).body == "two");
  ask("slot-page_b", "9b1f03aa5c7e2d43");
  CHECK(answer(client).has("Status: 404"));
  ask("slot-page", "9b1f03aa5c7e2d44");
  site.caches.next().say("WAIT");
  CHECK(answer(client).has("Status: 503"));
  // Files that are no good change nothing, and requests go on being served.
  int n = 0;
  const std::vector<std::pair<std::string, std::string>> bad{
      {"\"deadline\":9000000000,\"repeat\":\"free\"", "\"deadline\":0,\"repeat\":\"free\""},
      {"\"max_attempts\":1,", ""},
      {"\"rules\":{", "\"rulez\":{"},
      {"\"name\":\"slot-page\"", "\"name\":\"book-slot\""},
      {",\"purge_grace\":1000000000", ""},
  };
  for (const auto& [from, to] : bad) {
    INFO(from << " as " << to);
    site.keep();
    reload(from, to, "the old configuration stays in force: ");
    site.restore();
    ask("slot-page", "9b1f03aa5c7e2d5" + std::to_string(n++));
    site.caches.next().say("DONE", "remark=hit", "on");
    CHECK(answer(client).body == "on");
  }
}

// Guards against a sound file that is turned down, so that a class which it makes single-shot runs twice, and
// against a cut file that is taken (review/7).
TEST_CASE("SIGHUP takes a class without optional keys, and no file without its known events") {
  Site site;
  site.change("\"aim\":600000000,", "\"aim\":600000000,\"aim_stretch\":1.6,");  // every class has it
  site.start();
  Stream client = site.client();
  const auto reload = [&](const std::string& from, const std::string& to, const std::string& said) {
    site.change(from, to);
    site.program->signal(SIGHUP);
    CHECK(site.program->line().find(said) != std::string::npos);
  };
  site.change(R"("class_fresh":[8000000000,0],"grace_for":[0,0],"never_kept":[false,true])",
              R"("class_fresh":[0,8000000000,0],"grace_for":[0,0,0],"never_kept":[false,false,true])");
  const std::string free = R"("deadline":9000000000,"repeat":"free")";
  const std::string single_shot = R"("deadline":9000000000,"repeat":"single_shot")";
  site.change(free, single_shot);
  reload(R"("categories":[)",
         R"("categories":[{"name":"new","aim":400000000,"credit":1,"deadline":9000000000,"repeat":"free"},)",
         "configuration 2 is in force, with 3 classes");
  const auto runs_once = [&](int n) {
    client.write(request(1, numbered(n)));
    site.caches.next().on->reset();
    return failed(answer(client)) && !site.caches.next(100);
  };
  CHECK(runs_once(1));
  Ask added = numbered(2);
  added.cls = "new";
  client.write(request(1, added));
  site.caches.next().say("DONE", "remark=hit", "new");
  CHECK(answer(client).body == "new");
  site.change(R"("known":{)", R"("unknown":{)");
  reload(single_shot, free, "the old configuration stays in force: 'known' is missing");
  CHECK(runs_once(3));
}

TEST_CASE("Clients that say nothing, too little or too much are answered or left, and hold no one up") {
  Site site;
  site.change("\"sockets\":1024", "\"sockets\":64");
  site.start();
  const std::string much(60'000, 'x');
  const std::vector<std::string> endings{
      "", "half", begin(1), begin(1) + record(4, 1, much) + record(4, 1, much),
      begin(1) + record(4, 1, params_of({})) + record(4, 1, "") + record(5, 1, much) + record(5, 1, much)};
  std::vector<Stream> bad, stay;
  for (int n = 0; n < 60; ++n) {  // more than are accepted, and some that ask once and stay
    (n % 2 ? bad : stay).push_back(site.client());
    if (n % 2) bad.back().write(endings[static_cast<std::size_t>(n) / 2 % endings.size()]);
    if (n % 2 == 0) stay.back().write(request(1, numbered(n)));
    if (n % 2 == 0) site.caches.next().say("DONE", "remark=hit", "x");
    if (n % 2 == 0) CHECK(answer(stay.back()).body == "x");
  }
  for (Stream& s : bad) CHECK((s.more() || s.ends()));
}

TEST_CASE("The id of an open request is not passed on again") {
  Site site;
  site.start();
  Stream one = site.client(), two = site.client();
  one.write(request(1));
  const Heard h = site.caches.next();
  Ask same;
  same.object = "00000000000000aa";
  two.write(request(1, same));
  CHECK(answer(two).has("Status: 409"));
  h.say("DONE", "remark=hit", "x");
  CHECK(answer(one).body == "x");
  two.write(request(1, same));  // it is over, and the id means nothing any more
  site.caches.next().say("DONE", "remark=hit", "y");
  CHECK(answer(two).body == "y");
}

TEST_CASE("A depot that restarts, or a new one at its address, gets new connections") {
  const bool restarts = GENERATE(true, false);
  Site site;
  site.start();
  Stream client = site.client();
  std::size_t asked = 2;
  const auto both = [&] {  // a request to each of the two
    std::set<std::size_t> seen;
    for (int n = 0; n < 40 && seen.size() < 2; ++n) {
      client.write(request(1, numbered(n)));
      const Heard h = site.caches.next();
      seen.insert(h.depot);
      h.say("DONE", "remark=hit", "x");
      answer(client);
    }
    CHECK(seen.size() == 2);
  };
  both();
  CHECK(site.caches.accepted() == asked);
  Depot old = site.depots[0], fresh = old;
  fresh.born_ms = now_ms() - 3000;
  if (!restarts) {
    old.state = 2;
    fresh.id = 77;
  }
  site.tell(2, (restarts ? "" : old.record()) + fresh.record(), "lists=2 ");
  both();
  CHECK(site.caches.accepted() == asked + 1);
}

TEST_CASE("Out of descriptors, it serves on once some are free") {
  Site site;
  rlimit usual{};
  ::getrlimit(RLIMIT_NOFILE, &usual);
  const rlimit few{40, usual.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &few);
  site.start();
  ::setrlimit(RLIMIT_NOFILE, &usual);
  std::vector<Stream> many;
  for (int n = 0; n < 60; ++n) many.push_back(site.client());
  CHECK(site.program->running());
  many.clear();
  CHECK(site.health().has("Status: 200"));
}

TEST_CASE("After SIGTERM it takes and finishes what comes, then exits with 0") {
  Site site;
  site.start();
  Stream before = site.client();
  before.write(request(1));
  const Heard h = site.caches.next();
  const auto told = std::chrono::steady_clock::now();
  site.program->signal(SIGTERM);
  Stream after = site.client();
  after.write(request(1, numbered(1)));
  site.caches.next().say("DONE", "remark=hit", "new");
  CHECK(answer(after).body == "new");
  while (std::chrono::steady_clock::now() - told < std::chrono::milliseconds(1300)) readable(after.fd(), 50);
  CHECK(site.program->running());  // one is still open
  h.say("DONE", "remark=hit", "finished");
  CHECK(answer(before).body == "finished");
  const auto [code, said] = site.program->wait();
  CHECK(code == 0);
  CHECK(said.find("taken=2 ") != std::string::npos);
  CHECK(said.find("served=2 ") != std::string::npos);
}

TEST_CASE("A bad configuration is one plain line and no start") {
  char path[] = "/tmp/anisewick-test-XXXXXX";
  const Fd file(::mkstemp(path));
  std::ofstream(path) << "{\"listen\":1}";
  for (const std::string& config : std::vector<std::string>{"", "/nowhere", path}) {
    Program program(ANISEWICK_PROGRAM, config, "127.0.0.1:0");
    const auto [code, said] = program.wait();
    INFO(said);
    CHECK((code > 0 && said.starts_with("anisewick: ") && said.find('\n') + 1 == said.size()));
  }
  ::unlink(path);
}

TEST_CASE("Reports tell what went to each depot since the last one, and why requests were given up") {
  ::setenv("ANISEWICK_REPORT_MS", "20", 1);
  Site site;
  site.start();
  ::unsetenv("ANISEWICK_REPORT_MS");
  Stream client = site.client();
  client.write(request(1, numbered(1)));
  site.caches.next().say("DONE", "remark=hit", "x");
  CHECK(answer(client).body == "x");
  client.write(request(1, booking(1)));  // less time than it takes: given up unsent
  CHECK(answer(client).has("Status: "));
  std::string all;
  const auto told = [&](const char* what) { return all.find(what) != std::string::npos; };
  for (int n = 0; n < 500 && !(told("\"attempts\":1") && told("\"hits\":1") && told("\"no_time\":1")); ++n) {
    const std::string line = site.program->line();
    CHECK(line.rfind("anisewick: report {\"unix_ms\":", 0) == 0);
    all += line;
  }
  CHECK((told("\"taken\":1") || told("\"taken\":2")));
  CHECK((told("\"s-00000001\":{\"kind\":0") || told("\"s-00000002\":{\"kind\":0")));
  CHECK((told("\"opened\":1") && told("\"no_time\":1") && told("\"hits\":1")));
}

TEST_CASE("Two requests share a connection where handshakes have a price, and have one each elsewhere") {
  const bool priced = GENERATE(false, true);
  INFO(priced);
  Site site;
  if (priced) site.change(R"("settings":{)", R"("settings":{"prices":{"handshake":0.08},)");
  site.start();
  Stream client = site.client();
  std::vector<Heard> heard;
  for (int n = 1; n <= 3; ++n) {  // of one object, so at one depot
    Ask ask;
    ask.id = numbered(n).id;
    client.write(request(static_cast<std::uint16_t>(n), ask));
    heard.push_back(site.caches.next());
    CHECK(heard.back().depot == heard[0].depot);
  }
  CHECK(site.caches.accepted() == (priced ? 2 : 3));  // the third finds both places of the first taken
  for (const Heard& h : heard) h.say("DONE", "remark=hit", "x");
  for (int n = 1; n <= 3; ++n) CHECK(answer(client).body == "x");
}
