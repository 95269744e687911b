// The real anisewick_depot as a process, with real files: killed while it writes, told to end, given bad
// settings; and the real anisewick before two such boxes, a parent and an origin.
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <random>

#include "boxes.hpp"
#include "peers.hpp"

using namespace anisewick;
using namespace anisewick::boxes;
using depot::Word;
using standin::Asker;
using standin::unix_ms;

namespace {

// Held until the end of the test: one that is only free could be taken by any connection that goes out.
class Ports {
 public:
  std::uint16_t next() {
    held_.push_back(std::make_unique<peers::Listener>(false));
    return static_cast<std::uint16_t>(held_.back()->port());
  }

 private:
  std::vector<std::unique_ptr<peers::Listener>> held_;
};

// The value of a field of a line of JSON; empty: it has none.
std::string field(const std::string& line, const std::string& name) {
  const std::size_t at = line.find("\"" + name + "\":");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 3;
  return line.substr(from, line.find_first_of(",}", from) - from);
}

struct Process {
  Process(const Folder& place, const Text& text, const std::string& name = "depot") {
    const std::string file = place.path + "/" + name + ".textproto";
    std::ofstream(file) << text.str();
    program = std::make_unique<peers::Program>(ANISEWICK_DEPOT, std::vector<std::string>{"run", file});
    // "disk_open" and "ready" come in either order.
    while (port == 0 || opened.empty()) {
      const std::string line = next();
      if (field(line, "event") != "\"ready\"") continue;
      const std::string at = field(line, "listen");
      port = static_cast<std::uint16_t>(std::stoi(at.substr(at.rfind(':') + 1)));
    }
  }
  std::string next() {
    const std::string line = program->line();
    REQUIRE(line.starts_with("{\"time\":\""));
    REQUIRE(line.ends_with("}"));
    if (field(line, "event") == "\"disk_open\"") opened = line;
    return line;
  }
  std::string counter(const std::string& name) {
    program->signal(SIGUSR1);
    std::string line;
    while (field(line, "event") != "\"counters\"") line = next();
    return field(line, name);
  }
  std::unique_ptr<peers::Program> program;
  std::string opened;
  std::uint16_t port = 0;
};

Asker::Want want(std::uint64_t object, std::uint32_t part = 0, bool fill = true) {
  Asker::Want w;
  w.object = object;
  w.part = part;
  w.rank = 2;
  if (fill) w.from = kOrigin;
  return w;
}

}  // namespace

TEST_CASE(
    "killed at sixty points while parts are written: whole parts are served, torn and purged ones never") {
  // Objects of 240,000 bytes in five parts. Some are purged while the box runs, some while it is down.
  Site site;
  standin::Origin::Ways ways;
  ways.size = 48'000;
  site.origin.ways(ways);
  Folder files, place;
  Text text{site.bus.port(), kBox, files.path, "memory_mb: 1"};
  site.bus.purge(0xdead, unix_ms());
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint64_t> sure;  // written before, by version
  std::uint64_t intact = 0, served = 0, purged = 0;
  std::uint64_t object = 0x1000;
  constexpr int kPoints = 60;
  for (int point = 0; point < kPoints; ++point) {
    std::mt19937_64 random(static_cast<std::uint64_t>(point) + 1);
    CAPTURE(point);
    Process box(place, text);
    Asker asker(box.port);
    // The bus has told all, once an old copy (or, at first, a new one) is served to who names no source.
    REQUIRE(asker.ask(want(0xf00)).word == Word::kDone);
    REQUIRE(soon([&] { return asker.ask(want(0xf00, 0, false)).word == Word::kDone; }));
    std::vector<std::pair<std::uint64_t, std::uint32_t>> gone;
    for (const auto& [key, version] : sure) {
      const auto a = asker.ask(want(key.first, key.second, false));
      if (site.origin.version(key.first) != version) {
        // Purged: nothing, until it is filled anew.
        REQUIRE(a.word == Word::kLack);
        ++purged;
        gone.push_back(key);
        continue;
      }
      ++intact;
      if (a.word == Word::kDone) {
        ++served;
        REQUIRE((a.body == standin::bytes_of(key.first, key.second, version, 48'000)));
      } else {
        gone.push_back(key);
      }
    }
    for (const auto& key : gone) sure.erase(key);
    // Purges while it runs, and new parts up to the moment of its end.
    if (!sure.empty()) {
      auto it = sure.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(random() % sure.size()));
      site.origin.change(it->first.first);
      site.bus.purge(it->first.first, unix_ms());
    }
    const int parts = 3 + static_cast<int>(random() % 25);
    std::vector<std::pair<std::uint64_t, std::uint32_t>> fresh;
    for (int i = 0; i < parts; ++i) {
      if (i % 5 == 0) ++object;
      const std::pair key{object, static_cast<std::uint32_t>(i % 5)};
      REQUIRE(asker.ask(want(key.first, key.second)).word == Word::kDone);
      fresh.push_back(key);
    }
    // Of what was written before the last batch it is certain that it lies there whole: the page cache
    // outlives the process. The rest may be there, or torn.
    const auto pending = std::stoull(box.counter("disk_admitted"));
    std::size_t whole = std::min(fresh.size(), static_cast<std::size_t>(pending / 48'000));
    if (whole > 1) {
      for (std::size_t i = 0; i + 1 < whole; ++i) sure[fresh[i]] = site.origin.version(fresh[i].first);
    }
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 60'000));  // the seeded point
    box.program->signal(SIGKILL);
    box.program.reset();
    if (!sure.empty() && random() % 2 == 0) {
      auto it = sure.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(random() % sure.size()));
      if (random() % 2 == 0) {
        site.origin.change(it->first.first);
        site.bus.purge(it->first.first, unix_ms());
      } else {
        const int group = static_cast<int>(it->first.first & 0xff);
        site.origin.change_group(group);
        site.bus.purge_group(group, unix_ms());
      }
    }
  }
  INFO("intact " << intact << " served " << served << " purged " << purged);
  CHECK(intact > 500);
  CHECK(served * 100 >= intact * 99);
  CHECK(purged >= 20);
}

TEST_CASE("SIGTERM ends it with a checkpoint, and it starts from that") {
  Site site;
  Folder files, place;
  const Text text{site.bus.port(), kBox, files.path};
  site.bus.purge(0xdead, unix_ms());
  {
    Process box(place, text);
    Asker asker(box.port);
    for (std::uint64_t o = 1; o <= 50; ++o) REQUIRE(asker.ask(want(o)).word == Word::kDone);
    box.program->signal(SIGTERM);
    const auto [code, said] = box.program->wait();
    CHECK(code == 0);
    CHECK(said.find("\"event\":\"counters\"") != std::string::npos);
  }
  Process box(place, text);
  CHECK(field(box.opened, "parts") == "50");
  CHECK(field(box.opened, "by_checkpoint") == "1");
  CHECK(field(box.opened, "by_scan") == "0");
}

TEST_CASE("the command line: help, version, checks and exit codes") {
  Folder place;
  const auto run = [&](std::vector<std::string> args) {
    peers::Program p(ANISEWICK_DEPOT, args);
    return p.wait();
  };
  const std::string good = place.path + "/good", bad = place.path + "/bad";
  std::ofstream(good) << Text{7070, kBox, place.path}.str();
  std::ofstream(bad) << Text{7070, kBox, {}, "memory_mb: 0\nfills { tries: 9 }"}.str();
  CHECK(run({"check", good}).first == 0);
  CHECK(run({"check", good}).second.empty());
  const auto [code, text] = run({"check", bad});
  CHECK(code == 2);
  CHECK(text ==
        bad + ":4: memory_mb is 0: write 1 to 1048576 MB\n" + bad + ":5: tries is 9: write 1 to 8 tries\n");
  CHECK(run({"run", bad}).first == 2);
  CHECK(run({"check", place.path + "/none"}).first == 2);
  CHECK(run({"--help"}).first == 0);
  CHECK(run({"--version"}).first == 0);
  CHECK(run({"fly"}).first == 2);
  CHECK(run({}).first == 2);
  // An address that is taken is found at run time.
  peers::Listener taken;
  std::ofstream(good) << Text{7070, kBox, {}, {}, {}, static_cast<std::uint16_t>(taken.port())}.str();
  const auto [failed, why] = run({"run", good});
  CHECK(failed == 1);
  CHECK(why.find("listen_failed") != std::string::npos);
}

TEST_CASE(
    "the doorman before two boxes, a parent and an origin: a restart keeps what was hot, a purge holds") {
  Site site;
  standin::Origin::Ways ways;
  ways.size = 20'000;
  site.origin.ways(ways);
  Folder place, files[3];
  std::unique_ptr<Process> boxes[3];
  std::uint16_t ports[3];
  const depot::Id ids[3] = {1, 2, kParent};
  const auto start = [&](int i, std::uint16_t port) {
    Text text{site.bus.port(), ids[i], files[i].path, i == 2 ? "role: PARENT" : ""};
    text.listen = port;
    boxes[i] = std::make_unique<Process>(place, text, "depot" + std::to_string(i));
    ports[i] = boxes[i]->port;
  };
  Ports held;
  for (int i = 0; i < 3; ++i) start(i, held.next());
  for (int i = 0; i < 3; ++i) site.add(ids[i], ports[i], i == 2 ? 1 : 0);
  site.bus.purge(0xdead, unix_ms());

  std::ifstream in(ANISEWICK_EXAMPLE);
  std::string config((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  // The example's list names its own depots: here all comes from the event bus.
  const std::size_t known = config.find("\"known\""), end = config.find("\"settings\"");
  config.replace(known, end - known, "\"known\": {\"offset\": 0, \"batch\": []},\n  ");
  config.replace(config.find("127.0.0.1:7070"), 14, "127.0.0.1:" + std::to_string(site.bus.port()));
  const std::string file = place.path + "/config.json";
  std::ofstream(file) << config;
  const std::uint16_t front = held.next();
  peers::Program doorman(ANISEWICK_PROGRAM, file, "127.0.0.1:" + std::to_string(front));
  std::unique_ptr<peers::Stream> client;
  REQUIRE(soon([&] {
    try {
      client = std::make_unique<peers::Stream>(peers::Stream::to(front));
      client->write(peers::begin(1) + peers::record(4, 1, peers::param("SCRIPT_NAME", "/_health")) +
                    peers::record(4, 1, "") + peers::record(5, 1, ""));
      return peers::answer(*client).has("Status: 200");
    } catch (const std::runtime_error&) {
      return false;
    }
  }));
  std::uint64_t call = 1;
  const auto ask = [&](std::uint64_t object, const std::string& cls = "guide-video",
                       const std::string& body = "") {
    peers::Ask a;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(object));
    a.object = text;
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++call));
    a.id = text;
    a.cls = cls;
    a.body = body;
    a.patience_ms = 3000;
    a.group = static_cast<int>(object & 0xff);
    client->write(peers::request(1, a));
    return peers::answer(*client);
  };
  // Hot objects: often enough for the doorman to admit them.
  const auto all = [&](std::uint64_t version) {
    for (std::uint64_t o = 0x11; o < 0x21; ++o) {
      // It may refuse what it cannot do in time while it learns how fast the boxes are, and says so at once.
      peers::Answer a;
      REQUIRE(soon([&] { return (a = ask(o)).has("Status: 200"); }));
      REQUIRE((a.body == standin::bytes_of(o, 0, o == 0x11 ? version : 0, 20'000)));
    }
  };
  for (int i = 0; i < 8; ++i) {
    all(0);
    std::this_thread::sleep_for(std::chrono::milliseconds(60));  // the rounds of the swap go by the clock
  }
  REQUIRE(ask(0x7, "book-slot", "slot 9").body == "wrote slot 9");
  CHECK(site.origin.fetches_of(0x7) == 1);
  REQUIRE(soon([&] {
    return std::stoi(boxes[0]->counter("disk_parts")) + std::stoi(boxes[1]->counter("disk_parts")) >= 16;
  }));
  const auto fetched = site.origin.counts().fetches;

  // Both boxes are killed, and the parent too; a purge comes meanwhile. They return at their addresses.
  for (auto& box : boxes) box.reset();
  site.origin.change(0x11);
  site.bus.purge(0x11, unix_ms());
  const std::int64_t purged = unix_ms();
  for (int i = 0; i < 3; ++i) start(i, ports[i]);
  for (int i = 0; i < 3; ++i) site.add(ids[i], ports[i], i == 2 ? 1 : 0, unix_ms());
  REQUIRE(soon([&] { return unix_ms() > purged + 1000; }));
  all(1);
  all(1);
  // Of sixteen hot objects only the purged one (and what the boxes were asked before they knew of every
  // purge) came over the link as bytes.
  CHECK(site.origin.counts().fetches <= fetched + 16);
  CHECK(std::stoi(boxes[0]->counter("disk_hits")) + std::stoi(boxes[1]->counter("disk_hits")) >= 4);
  doorman.signal(SIGTERM);
  CHECK(doorman.wait().first == 0);
}
