// The disk tier against a plain model, damage, power cuts and failing disks; nothing here waits for time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "admission/keeper.hpp"
#include "disk/store.hpp"
#include "standin/faulty_files.hpp"

using namespace anisewick;
using namespace anisewick::disk;
using standin::MemoryDisk;

namespace {

constexpr std::int64_t kStart = 1'764'576'000'000;

copies::Copy copy_of(std::uint64_t object, std::uint32_t part, std::int64_t born, std::size_t size,
                     int group = 17, int rank = 2) {
  std::string bytes(size, '\0');
  std::mt19937_64 random(object * 31 + part + static_cast<std::uint64_t>(born));
  for (char& c : bytes) c = static_cast<char>(random());
  copies::Copy copy;
  copy.about.key = {object, part};
  copy.about.group = group;
  copy.about.rank = rank;
  copy.about.born_ms = born;
  copy.about.tag = "tag" + std::to_string(object % 1000) + "-" + std::to_string(born % 1000);
  copy.bytes = copies::bytes_of(std::move(bytes));
  return copy;
}

// A store on a disk in memory, every call done at once.
struct Rig {
  explicit Rig(MemoryDisk& d, Store::Limits l = small(), std::shared_ptr<standin::Faults> f = nullptr)
      : disk(d), faults(std::move(f)) {
    auto files = disk.folder();
    if (faults) files = standin::faulty_files(std::move(files), faults);
    store =
        std::make_unique<Store>(std::move(files), workers, keeper, l,
                                [this](const char* what, const std::string&) { said.emplace_back(what); });
    store->open(now, 4711, [this](const Recovered& r) {
      by_checkpoint = r.by_checkpoint;
      by_table = r.by_table;
      by_scan = r.by_scan;
      torn = r.torn;
      line = r.line;
      ledger_bad = r.ledger_bad;
    });
  }
  static Store::Limits small() {
    Store::Limits l;
    l.space_bytes = 4 << 20;
    l.segment_bytes = 256 << 10;
    l.segment_parts = 64;
    l.most_parts = 4096;
    l.checkpoint_ms = 0;
    return l;
  }
  void step(std::int64_t ms = 60) { store->tick(now += ms); }
  bool write(const copies::Copy& c) {
    const bool taken = store->offer(c, now);
    step();
    return taken;
  }
  std::optional<copies::Copy> read(const copies::Key& key) {
    std::optional<copies::Copy> out;
    store->read(key, now, [&](std::optional<copies::Copy> c) { out = std::move(c); });
    return out;
  }
  bool holds(const copies::Copy& c) {
    const auto got = read(c.about.key);
    if (got && got->about.born_ms == c.about.born_ms) {
      REQUIRE(*got->bytes == *c.bytes);
      REQUIRE(got->about.tag == c.about.tag);
      REQUIRE(got->about.group == c.about.group);
      return true;
    }
    return false;
  }
  void purge(purges::Entry::Kind kind, std::uint64_t what, std::int64_t at, std::uint64_t number = 0) {
    store->note({kind, what, at, number, number * 7, 0}, now);
  }
  bool close() {
    bool closed = false;
    store->close(now, [&] { closed = true; });
    return closed;
  }

  MemoryDisk& disk;
  std::shared_ptr<standin::Faults> faults;
  InlineWorkers workers;
  admission::AdmitAll keeper{admission::AdmitAll::Order::kFifo};
  std::int64_t now = kStart;
  std::vector<std::string> said;
  std::unique_ptr<Store> store;
  std::uint64_t by_checkpoint = 0, by_table = 0, by_scan = 0, torn = 0;
  std::string line;
  bool ledger_bad = false;
};

using Kind = purges::Entry::Kind;

}  // namespace

TEST_CASE("what is written is read again, also after a planned end, a crash and without a checkpoint") {
  MemoryDisk disk;
  std::vector<copies::Copy> copies;
  for (std::uint32_t i = 0; i < 40; ++i) copies.push_back(copy_of(100 + i, i % 3, kStart - i, 1 + i * 997));
  {
    Rig rig(disk);
    REQUIRE(rig.store->state() == Store::State::kOn);
    for (const auto& c : copies) REQUIRE(rig.write(c));
    for (const auto& c : copies) REQUIRE(rig.holds(c));
    REQUIRE(rig.close());
  }
  {
    Rig rig(disk);
    CHECK(rig.by_checkpoint > 1);
    CHECK(rig.by_table + rig.by_scan == 0);
    for (const auto& c : copies) REQUIRE(rig.holds(c));
    REQUIRE(rig.write(copy_of(999, 0, kStart, 5000)));
  }  // no planned end: the last segment has no table
  {
    Rig rig(disk);
    CHECK(rig.by_checkpoint > 1);
    CHECK(rig.by_scan == 1);
    REQUIRE(rig.holds(copy_of(999, 0, kStart, 5000)));
    for (const auto& c : copies) REQUIRE(rig.holds(c));
  }
  disk.remove("checkpoint");
  Rig rig(disk);
  CHECK(rig.by_checkpoint == 0);
  CHECK(rig.by_table > 1);
  CHECK(rig.torn == 0);
  for (const auto& c : copies) REQUIRE(rig.holds(c));
}

TEST_CASE("a torn part is never served, and its neighbours are") {
  // By the table of the segment, by the scan of one without, and by a checkpoint that knows no better.
  for (const std::string way : {"checkpoint", "table", "scan"}) {
    CAPTURE(way);
    MemoryDisk disk;
    std::vector<copies::Copy> parts;
    for (std::uint32_t i = 0; i < 5; ++i) parts.push_back(copy_of(7, i, kStart, 48'000));
    {
      Rig rig(disk);
      for (const auto& c : parts) REQUIRE(rig.write(c));
      if (way != "scan") REQUIRE(rig.close());
    }
    if (way == "table") disk.remove("checkpoint");
    // The third of the five: its head is at 64 + 2 records, and the damage in the middle of its bytes.
    const Place place{1, 0, 48'000, static_cast<std::uint8_t>(parts[2].about.tag.size())};
    disk.overwrite(segment_name(1), 64 + 2 * place.length() + 20'000, std::string(3, '\x5a'));
    Rig rig(disk);
    for (std::uint32_t i = 0; i < 5; ++i) {
      CAPTURE(i);
      CHECK(rig.holds(parts[i]) == (i != 2));
    }
    CHECK(rig.torn + rig.store->counters().torn == 1);
  }
}

TEST_CASE("purges hold over a restart, for objects, groups and what has no group told") {
  MemoryDisk disk;
  {
    Rig rig(disk);
    for (std::uint64_t o = 1; o <= 4; ++o) REQUIRE(rig.write(copy_of(o, 0, kStart, 3000, o == 3 ? 18 : 17)));
    REQUIRE(rig.write(copy_of(5, 0, kStart, 3000, depot::kUnknownGroup)));
    rig.purge(Kind::kObject, 1, kStart + 10, 8);
    rig.purge(Kind::kGroup, 18, kStart + 20, 9);
    REQUIRE(rig.write(copy_of(1, 0, kStart + 30, 3000)));  // made anew after the purge
  }
  Rig rig(disk);
  CHECK(rig.holds(copy_of(1, 0, kStart + 30, 3000)));
  CHECK(rig.holds(copy_of(2, 0, kStart, 3000)));
  CHECK_FALSE(rig.read({3, 0}));
  CHECK(rig.holds(copy_of(4, 0, kStart, 3000)));
  CHECK_FALSE(rig.read({5, 0}));
  CHECK(rig.store->witness() == purges::Witness{9, 63});
}

TEST_CASE("a damaged ledger makes the witness worthless; a torn end does not") {
  for (const bool middle : {false, true}) {
    CAPTURE(middle);
    MemoryDisk disk;
    {
      Rig rig(disk);
      for (std::uint64_t n = 1; n <= 4; ++n) rig.purge(Kind::kObject, n, kStart + 1, n);
    }
    const std::string name = ledger_name(1);
    REQUIRE(disk.contents(name).size() == kHead + 4 * kLine);
    disk.overwrite(name, kHead + (middle ? 1 : 3) * kLine + 9, "damage");
    Rig rig(disk);
    CHECK(rig.ledger_bad == middle);
    CHECK(rig.store->witness().number == (middle ? 0u : 3u));
  }
}

TEST_CASE("a purge that comes while the store opens holds for all that lies there") {
  struct Later final : Workers {
    bool submit(Lane, std::function<void()> work, std::function<void()> done, bool) override {
      jobs.push_back([work, done] {
        work();
        done();
      });
      return true;
    }
    void run() {
      while (!jobs.empty()) {
        const auto job = jobs.front();
        jobs.pop_front();
        job();
      }
    }
    std::deque<std::function<void()>> jobs;
  };
  MemoryDisk disk;
  for (int life = 0; life < 5; ++life) {
    Rig rig(disk);
    REQUIRE(rig.write(copy_of(100 + static_cast<std::uint64_t>(life), 0, kStart, 3000)));
    REQUIRE(rig.close());
  }
  {
    Later workers;
    admission::AdmitAll keeper(admission::AdmitAll::Order::kFifo);
    Store store(disk.folder(), workers, keeper, Rig::small(), [](const char*, const std::string&) {});
    store.open(kStart, 1, [](const Recovered&) {});
    store.note({Kind::kObject, 102, kStart + 1, 5, 6, 0}, kStart);
    workers.run();
    REQUIRE(store.state() == Store::State::kOn);
    CHECK_FALSE(store.find({102, 0}));
    CHECK(store.find({103, 0}));
  }
  Rig rig(disk);
  CHECK_FALSE(rig.store->find({102, 0}));
  // Forgotten only when no segment from before it is left.
  purges::Ledger ledger = rig.store->ledger();
  ledger.forget(5, kStart + 100'000);
  CHECK(ledger.voids(copy_of(102, 0, kStart, 1).about));
}

TEST_CASE("what stood before a gap is doubtful, what came after is not, and that too lasts") {
  MemoryDisk disk;
  const auto old = copy_of(1, 0, kStart, 3000), fresh = copy_of(2, 0, kStart, 3000);
  {
    Rig rig(disk);
    REQUIRE(rig.write(old));
    rig.store->note({Kind::kGap, 0, kStart + 500, 0, 0, 0}, rig.now);
    REQUIRE(rig.write(fresh));
    CHECK(rig.store->find(old.about.key)->doubtful);
    CHECK_FALSE(rig.store->find(fresh.about.key)->doubtful);
  }
  Rig rig(disk);
  REQUIRE(rig.store->find(old.about.key)->doubtful);
  CHECK_FALSE(rig.store->find(fresh.about.key)->doubtful);
  rig.store->confirm(old.about.key, kStart + 600);
  CHECK_FALSE(rig.store->find(old.about.key)->doubtful);
  CHECK(rig.read(old.about.key)->about.born_ms == kStart + 600);
}

TEST_CASE("a folder that cannot be used gives one line, and the tier is off or read-only") {
  MemoryDisk disk;
  { Rig rig(disk); }
  SECTION("another process has it") {
    const auto other = disk.folder();
    REQUIRE(other->lock("lock") == 0);
    const auto faults = std::make_shared<standin::Faults>();
    faults->lock_error = -EWOULDBLOCK;
    Rig rig(disk, Rig::small(), faults);
    CHECK(rig.store->state() == Store::State::kOff);
    CHECK(rig.line == "the folder is in use by another process");
    CHECK(rig.said == std::vector<std::string>{"disk_off"});
  }
  SECTION("a newer version wrote it") {
    std::string bytes = disk.contents("store");
    // Version 2, with a checksum that holds: what a later version would write.
    bytes[8] = 2;
    std::uint64_t store = 0;
    REQUIRE(store_from(bytes, store) == Fit::kBad);
    disk.put("store", store_bytes(store, 2));
    Rig rig(disk);
    CHECK(rig.store->state() == Store::State::kOff);
    CHECK(rig.line == "the folder was written by a newer version");
  }
  SECTION("it cannot be written") {
    {
      Rig rig(disk);
      REQUIRE(rig.write(copy_of(1, 0, kStart, 3000)));
    }
    const auto faults = std::make_shared<standin::Faults>();
    faults->lock_error = faults->open_error = faults->write_error = -EROFS;
    Rig rig(disk, Rig::small(), faults);
    CHECK(rig.store->state() == Store::State::kReadOnly);
    CHECK(rig.holds(copy_of(1, 0, kStart, 3000)));
    CHECK_FALSE(rig.write(copy_of(2, 0, kStart, 3000)));
    rig.step(10'000);
    CHECK(rig.store->state() == Store::State::kReadOnly);
    rig.purge(Kind::kObject, 1, kStart + 1, 5);
    CHECK_FALSE(rig.read({1, 0}));
  }
  SECTION("it is missing") {
    InlineWorkers workers;
    admission::AdmitAll keeper(admission::AdmitAll::Order::kFifo);
    int error = 0;
    auto files = posix_files("/nowhere/at/all", error);
    CHECK(error == -ENOENT);
    Store store(
        std::move(files), workers, keeper, {}, [](const char*, const std::string&) {}, what_error(error));
    store.open(kStart, 1, [](const Recovered& r) { CHECK(r.line == "No such file or directory"); });
    CHECK(store.state() == Store::State::kOff);
    CHECK_FALSE(store.offer(copy_of(1, 0, kStart, 10), kStart));
  }
}

TEST_CASE("a disk that fails, fills up or does half of what it is told keeps what it has") {
  MemoryDisk disk;
  const auto faults = std::make_shared<standin::Faults>();
  Rig rig(disk, Rig::small(), faults);
  const auto first = copy_of(1, 0, kStart, 30'000), second = copy_of(2, 0, kStart, 30'000);
  REQUIRE(rig.write(first));
  SECTION("short reads and writes") {
    faults->short_calls = true;
    REQUIRE(rig.write(second));
    CHECK(rig.holds(first));
    CHECK(rig.holds(second));
  }
  SECTION("errors of writing, and their end") {
    faults->write_error = -EIO;
    rig.write(second);
    CHECK(rig.store->state() == Store::State::kReadOnly);
    CHECK(rig.holds(first));
    CHECK_FALSE(rig.read(second.about.key));
    faults->write_error = 0;
    rig.step(6000);
    REQUIRE(rig.write(second));
    CHECK(rig.holds(second));
    CHECK(rig.store->state() == Store::State::kOn);
  }
  SECTION("a full disk: half a part is not served, segments go until it fits") {
    faults->space = 10'000;
    rig.write(second);
    CHECK(rig.store->state() == Store::State::kReadOnly);
    CHECK_FALSE(rig.read(second.about.key));
    CHECK(rig.holds(first));
    faults->space = -1;
    rig.step(6000);
    REQUIRE(rig.write(second));
    CHECK(rig.holds(second));
  }
  SECTION("errors of reading: given up after three, tried again later") {
    faults->read_error = -EIO;
    for (int i = 0; i < 5; ++i) CHECK_FALSE(rig.read(first.about.key));
    CHECK(rig.store->counters().read_errors == 3);
    CHECK(rig.store->counters().refused_reads == 2);
    faults->read_error = 0;
    rig.step(6000);
    CHECK(rig.holds(first));
  }
  SECTION("a purge that cannot be written is in force, and asked for again after a restart") {
    faults->sync_error = -EIO;
    bool durable = false;
    rig.store->note({Kind::kObject, 1, kStart + 1, 12, 34, 0}, rig.now, [&] { durable = true; });
    CHECK_FALSE(rig.read(first.about.key));
    CHECK_FALSE(durable);
    { disk.cut_power(1); }
    Rig again(disk);
    CHECK(again.store->witness().number == 0);
  }
}

TEST_CASE("every power cut leaves a store that serves only whole, unpurged parts") {
  int served = 0, intact = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryDisk disk;
    std::map<std::uint64_t, copies::Copy> synced;  // what stood before the last planned end
    std::map<std::uint64_t, std::int64_t> purged, durable;
    for (int life = 0; life < 3; ++life) {
      Rig rig(disk);
      REQUIRE(rig.store->state() == Store::State::kOn);
      rig.now = kStart + life * 100'000;
      // Nothing that was durably purged, and nothing torn, in any life.
      for (std::uint64_t o = 0; o < 24; ++o) {
        const auto got = rig.read({o, 0});
        if (got) {
          REQUIRE(*got->bytes == *copy_of(o, 0, got->about.born_ms, got->bytes->size()).bytes);
          const auto p = durable.find(o);
          REQUIRE((p == durable.end() || got->about.born_ms > p->second));
        }
        const auto s = synced.find(o);
        if (s != synced.end() && (!purged.contains(o) || purged[o] < s->second.about.born_ms)) {
          ++intact;
          served += got ? 1 : 0;
        }
      }
      const int steps = 5 + static_cast<int>(random() % 60);
      for (int i = 0; i < steps; ++i) {
        const std::uint64_t o = random() % 24;
        const std::int64_t born = rig.now;
        if (random() % 5 == 0) {
          purged[o] = born;
          rig.store->note({Kind::kObject, o, born, born > 0 ? static_cast<std::uint64_t>(born) : 1, 1, 0},
                          rig.now, [&, o, born] { durable[o] = born; });
        } else {
          rig.store->offer(copy_of(o, 0, born, 1 + random() % 30'000), rig.now);
        }
        rig.step(1 + static_cast<std::int64_t>(random() % 80));
      }
      if (random() % 3 == 0) {
        rig.close();
        synced.clear();
        for (std::uint64_t o = 0; o < 24; ++o) {
          if (auto got = rig.read({o, 0})) synced[o] = *got;
        }
      } else {
        synced.clear();
        disk.cut_power(random());
      }
    }
  }
  INFO("served " << served << " of " << intact);
  CHECK(served == intact);
  CHECK(intact > 500);
}

TEST_CASE("the index is the model: puts, removals, segments that go") {
  struct Held {
    Row row;
    int asked = 0;
  };
  const bool good = rc::check("index against map", [] {
    Index index(300);
    std::map<std::pair<std::uint64_t, std::uint32_t>, Held> model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 40), rc::gen::inRange(1, 7)));
    std::map<std::uint64_t, std::uint32_t> ends;
    for (const auto& [what, key, segment] : steps) {
      const copies::Key k{static_cast<std::uint64_t>(key % 20), static_cast<std::uint32_t>(key / 20)};
      const auto at = model.find({k.object, k.part});
      const Index::Slot slot = index.find(k);
      RC_ASSERT((slot == Index::kNone) == (at == model.end()));
      if (what <= 2) {
        Row row;
        row.key = k;
        row.born_ms = what;
        row.rank = key % 4;
        row.place = {static_cast<std::uint64_t>(segment), ends[static_cast<std::uint64_t>(segment)] += 3, 100,
                     5};
        const bool newer =
            at == model.end() || std::pair(at->second.row.place.segment, at->second.row.place.offset) <
                                     std::pair(row.place.segment, row.place.offset);
        RC_ASSERT(index.put(row) == newer);
        if (newer) model[{k.object, k.part}] = {row, 0};
      } else if (what == 3 && slot != Index::kNone) {
        index.remove(slot);
        model.erase(at);
      } else if (what == 4 && slot != Index::kNone) {
        index.ask(slot);
        at->second.asked = std::min(15, at->second.asked + 1);
      } else if (what == 5) {
        index.drop(static_cast<std::uint64_t>(segment));
        std::erase_if(model, [&](const auto& kv) {
          return kv.second.row.place.segment == static_cast<std::uint64_t>(segment);
        });
      }
      RC_ASSERT(index.size() == model.size());
      for (std::uint64_t s = 1; s < 7; ++s) {
        std::uint64_t live = 0, hot = 0;
        std::uint32_t parts = 0;
        for (const auto& [mk, held] : model) {
          if (held.row.place.segment != s) continue;
          live += held.row.place.length();
          hot += held.asked > 0 ? held.row.place.length() : 0;
          ++parts;
        }
        const Index::Segment* got = index.segment(s);
        RC_ASSERT((got == nullptr) == (parts == 0));
        if (got == nullptr) continue;
        RC_ASSERT(got->live_bytes == live);
        RC_ASSERT(got->hot_bytes == hot);
        RC_ASSERT(index.rows_of(s).size() == parts);
      }
    }
    for (const auto& [k, held] : model) {
      const Index::Slot slot = index.find({k.first, k.second});
      RC_ASSERT(slot != Index::kNone);
      RC_ASSERT(index.row(slot).place.offset == held.row.place.offset);
      RC_ASSERT(index.asked(slot) == held.asked);
    }
  });
  CHECK(good);
}

TEST_CASE("the store keeps within its space and its index, and what is asked for outlives the queue") {
  MemoryDisk disk;
  Store::Limits limits = Rig::small();
  limits.space_bytes = 2 << 20;
  InlineWorkers workers;
  admission::Ranked::Limits ranked;
  admission::Ranked keeper(ranked);
  std::int64_t now = kStart;
  Store store(disk.folder(), workers, keeper, limits, [](const char*, const std::string&) {});
  store.open(now, 1, [](const Recovered&) {});
  const copies::Key loved{1, 0};
  store.asked(loved, 2, now);
  REQUIRE(store.offer(copy_of(1, 0, kStart, 20'000), now));
  for (std::uint64_t o = 2; o < 600; ++o) {
    store.tick(now += 60);
    store.asked({o, 0}, 2, now);
    store.offer(copy_of(o, 0, kStart, 20'000), now);
    if (o % 3 == 0) store.asked(loved, 2, now);
    REQUIRE(store.space() <= limits.space_bytes + limits.segment_bytes / 8);
  }
  CHECK(store.counters().segments_gone > 10);
  CHECK(store.counters().again > 0);
  CHECK(store.find(loved));
  CHECK_FALSE(store.find({2, 0}));
}
