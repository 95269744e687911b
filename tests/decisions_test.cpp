// The cache box's decisions, each driven by a table of times and events or by generated ones beside a plain
// model.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "admission/keeper.hpp"
#include "depot/fields.hpp"
#include "depot/request.hpp"
#include "purges/continuity.hpp"
#include "purges/ledger.hpp"
#include "serving/serving.hpp"
#include "shelf/shelf.hpp"

using namespace anisewick;

namespace {

copies::About about(std::uint64_t object, std::int64_t born, int group = 1) {
  copies::About a;
  a.key = {object, 0};
  a.group = group;
  a.born_ms = born;
  return a;
}
bus::Event purge(std::uint64_t number, std::uint64_t object, std::int64_t at) {
  bus::Event e;
  e.number = number;
  e.kind = bus::Event::Kind::kObjectPurge;
  e.object = object;
  e.purged_ms = at;
  return e;
}
bus::Event list(std::uint64_t number, std::int64_t started = 0) {
  bus::Event e;
  e.number = number;
  e.kind = number == 1 ? bus::Event::Kind::kWholeList : bus::Event::Kind::kChanges;
  e.depots.emplace_back();
  e.depots[0].started_ms = started;
  return e;
}

using purges::Continuity;
using purges::Entry;

}  // namespace

TEST_CASE("continuity: what proves that nothing was missed, and what does not") {
  const bus::Event p7 = purge(7, 1, 5000), nothing{};
  const purges::Witness w{7, purges::digest_of(p7)};
  struct Case {
    const char* what;
    purges::Witness witness;
    bool any;
    std::vector<bus::Event> told;  // on one connection, before the first empty frame
    bool gap;
  };
  const Case cases[] = {
      {"the witness comes back, and nothing else", w, true, {p7}, false},
      {"with the list before it and purges after it", w, true, {list(6), p7, purge(8, 2, 1), list(9)}, false},
      {"a number is missing after it", w, true, {p7, purge(9, 2, 1)}, true},
      {"a number is missing before it", w, true, {list(5), p7}, true},
      {"nothing comes: the bus has forgotten, or counts below", w, true, {}, true},
      {"another event at its number", w, true, {purge(7, 1, 5001)}, true},
      {"the same purge at another number", w, true, {purge(8, 1, 5000)}, true},
      {"only later ones: the history is cut", w, true, {purge(8, 2, 1)}, true},
      {"no witness, and copies from before", {}, true, {list(1), p7}, true},
      {"no witness, and nothing stored", {}, false, {list(1)}, false},
      {"told twice", w, true, {p7, p7, purge(8, 2, 1), p7}, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.what);
    Continuity continuity(c.witness, c.any, 1000);
    continuity.begun();
    for (const bus::Event& e : c.told) {
      CHECK_FALSE(continuity.heard(e).gap);
      CHECK(continuity.state(0) == Continuity::State::kUnproven);
    }
    CHECK(continuity.heard(nothing).gap == c.gap);
    CHECK(continuity.state(0) == Continuity::State::kProven);
    CHECK_FALSE(continuity.heard(nothing).gap);
  }
}

TEST_CASE("continuity over losses: known for a while, the new witness, a hole in the middle") {
  Continuity c({}, false, 1000);
  CHECK(c.ask_from(true) == 0);
  c.begun();
  c.heard(list(1));
  c.heard(list(2));  // names no time: no witness
  c.heard({});
  CHECK(c.witness().number == 0);
  c.heard(purge(3, 9, 77));
  CHECK(c.witness().number == 3);
  c.heard(list(4, 123));
  CHECK(c.witness().number == 4);
  c.lost(10'000);
  CHECK(c.state(11'000) == Continuity::State::kProven);
  CHECK(c.state(11'001) == Continuity::State::kUnproven);
  CHECK(c.ask_from(false) == 3);
  c.begun();
  CHECK(c.state(10'500) == Continuity::State::kProven);  // until the proof comes or the time is over
  c.heard(list(4, 123));
  CHECK_FALSE(c.heard({}).gap);
  CHECK(c.state(99'000) == Continuity::State::kProven);
  CHECK(c.heard(purge(7, 2, 3)).gap);  // 5 and 6 never came
  c.lost(100'000);
  // A bus that counts anew: its own numbers prove what comes later.
  CHECK(c.ask_from(false) == 6);
  c.begun();
  c.heard(purge(7, 5, 500));
  CHECK(c.heard({}).gap);
  CHECK(c.witness() == purges::Witness{7, purges::digest_of(purge(7, 5, 500))});
}

TEST_CASE(
    "continuity over a silence of the same connection: its next empty frame proves all, but for a hole") {
  const bool hole = GENERATE(false, true);
  Continuity c({}, false, 1000);
  c.begun();
  c.heard(list(1));  // names no time: there is no witness
  c.heard({});
  c.lost(10'000);
  CHECK(c.state(11'001) == Continuity::State::kUnproven);
  CHECK_FALSE(c.heard(purge(hole ? 3 : 2, 9, 77)).gap);
  CHECK(c.state(11'001) == Continuity::State::kUnproven);  // more may be on its way
  CHECK(c.heard({}).gap == hole);
  CHECK(c.state(99'000) == Continuity::State::kProven);
}

TEST_CASE(
    "the ledger against a plain list of purges, in any order, bounded, and made again from its entries") {
  const bool good = rc::check("ledger", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 30), rc::gen::inRange(1, 200)));
    purges::Ledger ledger(12);
    std::vector<Entry> model;
    for (const auto& [kind, what, at] : steps) {
      Entry e;
      e.kind = kind < 6 ? Entry::Kind::kObject : kind < 9 ? Entry::Kind::kGroup : Entry::Kind::kGap;
      e.what = static_cast<std::uint64_t>(what);
      e.at_ms = at;
      ledger.add(e);
      model.push_back(e);
      RC_ASSERT(ledger.objects() <= 12u);
    }
    purges::Ledger again(12);
    for (const Entry& e : ledger.entries()) again.add(e);
    // A purge that is covered changes nothing, and each that was added is.
    for (const Entry& e : model) RC_ASSERT(e.kind == Entry::Kind::kGap || ledger.covers(e));
    for (std::uint64_t object = 0; object < 30; ++object) {
      for (const int group : {0, 7, depot::kUnknownGroup}) {
        for (std::int64_t born = 0; born < 210; born += 7) {
          const bool must = std::any_of(model.begin(), model.end(), [&](const Entry& e) {
            if (e.kind == Entry::Kind::kObject) return e.what == object && e.at_ms >= born;
            if (e.kind == Entry::Kind::kGroup) {
              return (group == depot::kUnknownGroup || e.what == static_cast<std::uint64_t>(group)) &&
                     e.at_ms >= born;
            }
            return false;
          });
          const bool is = ledger.voids(about(object, born, group));
          // What is void is never let through; the floor that bounds the memory may take more.
          RC_ASSERT(!must || is);
          RC_ASSERT(again.voids(about(object, born, group)) == is);
          const bool doubt = std::any_of(model.begin(), model.end(), [&](const Entry& e) {
            return e.kind == Entry::Kind::kGap && e.what > 5 && e.at_ms > born;
          });
          RC_ASSERT(!doubt || ledger.doubtful(about(object, born, group), 5));
        }
      }
    }
  });
  CHECK(good);
  purges::Ledger ledger(100);
  ledger.add({Entry::Kind::kObject, 1, 50, 0, 0, 4});
  ledger.add({Entry::Kind::kObject, 2, 50, 0, 0, 9});
  ledger.add({Entry::Kind::kObject, 3, 500, 0, 0, 4});
  ledger.forget(5, 100);
  CHECK_FALSE(ledger.voids(about(1, 10)));  // nothing stored can be so old
  CHECK(ledger.voids(about(2, 10)));
  CHECK(ledger.voids(about(3, 10)));
}

TEST_CASE("judging a copy: age, fresh time, grace, doubt, purges, and the group that the asker tells") {
  const serving::Class forever{"video", 0, 0, false}, page{"page", 8000, 4000, false};
  purges::Ledger ledger;
  ledger.add({Entry::Kind::kGroup, 7, 50'000, 0, 0, 0});
  constexpr std::int64_t kNow = 100'000;
  using serving::Fit;
  struct Case {
    const serving::Class& cls;
    std::int64_t age, oldest;
    bool doubt;
    Fit fit;
    bool renew;
  };
  const Case cases[] = {
      {forever, 90'000, 0, false, Fit::kServe, false},     {forever, 5000, 4000, false, Fit::kAsk, false},
      {forever, 4000, 4000, false, Fit::kServe, false},    {forever, 10, 0, true, Fit::kAsk, false},
      {page, 6000, 0, false, Fit::kServe, false},          {page, 6401, 0, false, Fit::kServe, true},
      {page, 8000, 0, false, Fit::kServe, true},           {page, 8001, 0, false, Fit::kAsk, false},
      {page, 8001, 12'000, false, Fit::kServeStale, true}, {page, 12'001, 99'000, false, Fit::kAsk, false},
      {page, 3000, 2000, false, Fit::kAsk, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.cls.name, c.age, c.oldest, c.doubt);
    depot::Request r;
    r.oldest_ms = c.oldest;
    const auto j = serving::judge(about(1, kNow - c.age), c.doubt, c.cls, r, ledger, kNow);
    CHECK(j.fit == c.fit);
    CHECK(j.renew == c.renew);
  }
  depot::Request r;
  CHECK(serving::judge(about(1, 50'000, 7), false, forever, r, ledger, kNow).fit == Fit::kVoid);
  CHECK(serving::judge(about(1, 50'001, 7), false, forever, r, ledger, kNow).fit == Fit::kServe);
  CHECK(serving::judge(about(1, 40'000, depot::kUnknownGroup), false, forever, r, ledger, kNow).fit ==
        Fit::kVoid);
  r.group = 8;  // the asker knows better
  CHECK(serving::judge(about(1, 40'000, depot::kUnknownGroup), false, forever, r, ledger, kNow).fit ==
        Fit::kServe);
}

TEST_CASE("a fill's course: what is asked again, when no more, and what those who wait are told") {
  using What = serving::Fill::What;
  using depot::Word;
  const serving::FillLimits limits{10, 1000, 3, 20};
  struct Case {
    End end;
    bool write, origin;
    int remark;
    What what;  // of the first time
    Word word;  // of the last
    int told;
  };
  const Case cases[] = {
      {End::kFull, false, true, 0, What::kAgain, Word::kWait, serving::kSrcRefused},
      {End::kFull, true, true, 0, What::kAgain, Word::kWait, serving::kSrcRefused},
      {End::kUnreached, true, true, 0, What::kAgain, Word::kWait, serving::kSrcBroke},
      {End::kBroke, false, true, 0, What::kAgain, Word::kBroke, serving::kSrcBroke},
      {End::kBroke, false, false, serving::kSrcBroke, What::kAgain, Word::kBroke, serving::kOriginFailed},
      {End::kBroke, true, true, 0, What::kOver, Word::kBroke, serving::kSrcBroke},
      {End::kReset, true, true, 0, What::kOver, Word::kBroke, serving::kSrcBroke},
      {End::kLate, true, true, 0, What::kOver, Word::kBroke, serving::kSrcBroke},
      {End::kLate, false, true, 0, What::kAgain, Word::kBroke, serving::kSrcBroke},
      {End::kLacks, false, false, 0, What::kOver, Word::kLack, serving::kSrcLacks},
      {End::kOver, true, true, 0, What::kOver, Word::kPast, 0},
  };
  for (const Case& c : cases) {
    CAPTURE(static_cast<int>(c.end), c.write);
    std::minstd_rand random(5);
    serving::Fill fill(limits, c.write, c.origin, 10'000);
    auto next = fill.failed(c.end, c.remark, 0, random);
    CHECK(next.what == c.what);
    int tries = 1;
    for (; next.what == What::kAgain; next = fill.failed(c.end, c.remark, 0, random)) {
      CHECK(next.pause_ms >= (10 << (tries - 1)));
      CHECK(next.pause_ms <= (20 << (tries - 1)));
      ++tries;
    }
    CHECK(tries <= limits.tries);
    CHECK(next.refusal.word == c.word);
    CHECK(next.refusal.remark == c.told);
    // Without time there is no further try.
    serving::Fill late(limits, false, true, 5);
    CHECK(late.failed(End::kFull, 0, 0, random).what == What::kOver);
  }
}

TEST_CASE("the pacer gives each transfer its pace, and all of them the link's, in order") {
  serving::Pacer pacer(1'000'000, 500'000);
  serving::Pacer::Transfer a, b, c;
  CHECK(pacer.book(a, 1000, 0) == 0);
  CHECK(pacer.book(b, 1000, 0) == 1000);     // the link is taken for 1 ms
  CHECK(pacer.book(a, 1000, 1000) == 2000);  // its own pace: 2 ms a piece
  CHECK(pacer.book(c, 1000, 1000) == 3000);
  CHECK(pacer.load(1000) == Approx(0.003));
  CHECK(pacer.book(a, 1000, 900'000) == 900'000);  // what was not used is not saved up
}

TEST_CASE("the shelf against a plain model: ranks, last use, room") {
  const bool good = rc::check("shelf", [] {
    constexpr std::size_t kRoom = 5 * (256 + 100);
    shelf::Shelf shelf(kRoom);
    std::deque<std::pair<std::uint64_t, int>> model;  // least lately used first
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 9), rc::gen::inRange(0, 4)));
    for (const auto& [what, key, rank] : steps) {
      const auto object = static_cast<std::uint64_t>(key);
      const auto at =
          std::find_if(model.begin(), model.end(), [&](const auto& m) { return m.first == object; });
      if (what <= 1) {
        copies::Copy copy;
        copy.about = about(object, 1);
        copy.about.rank = rank;
        copy.bytes = copies::bytes_of(std::string(100, 'x'));
        bool kept = rank > 0;
        if (kept) {
          if (at != model.end()) model.erase(at);
          if (model.size() == 5) {
            auto worst = std::min_element(model.begin(), model.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; });
            kept = worst->second <= rank;
            if (kept) model.erase(worst);
          }
          if (kept) model.emplace_back(object, rank);
        }
        RC_ASSERT(shelf.put({copy, 0}) == kept);
      } else if (what == 2 && at != model.end()) {
        const auto entry = std::pair(object, rank > 0 ? rank : at->second);
        model.erase(at);
        model.push_back(entry);
        shelf.use({object, 0}, rank);
      } else if (what == 3) {
        if (at != model.end()) model.erase(at);
        shelf.remove({object, 0});
      }
      RC_ASSERT(shelf.size() == model.size());
      RC_ASSERT(shelf.bytes() <= kRoom);
      for (std::uint64_t o = 0; o < 9; ++o) {
        const bool in = std::any_of(model.begin(), model.end(), [&](const auto& m) { return m.first == o; });
        RC_ASSERT((shelf.find({o, 0}) != nullptr) == in);
      }
    }
  });
  CHECK(good);
}

TEST_CASE("admission: ranks, one-hit objects, size, ghosts, the budget, and bounded memory") {
  admission::Ranked::Limits limits;
  limits.keys = 1024;
  limits.ghosts = 64;
  limits.write_bytes_per_s = 1000;
  limits.write_burst_bytes = 100'000;
  admission::Ranked keeper(limits);
  const auto offer = [&](std::uint64_t o, int rank, std::uint32_t bytes = 100, std::int64_t now = 0) {
    keeper.asked({o, 0}, now);
    return keeper.admit({{o, 0}, bytes, rank}, now);
  };
  CHECK_FALSE(offer(1, 0));
  CHECK(offer(2, 2));
  CHECK_FALSE(offer(3, 1));  // seen once
  CHECK(offer(3, 1));
  const std::uint32_t large = 97 << 10;
  CHECK_FALSE(offer(4, 1, large));
  CHECK_FALSE(offer(4, 1, large));
  // The budget: what is only kept leaves half of it to what the doorman admitted.
  CHECK_FALSE(offer(5, 1, 60'000));
  CHECK_FALSE(offer(5, 1, 60'000));
  CHECK(keeper.over_budget() == 1);
  CHECK(offer(5, 2, 60'000));
  CHECK_FALSE(offer(6, 2, 60'000));
  CHECK(offer(6, 2, 60'000, 30'000));  // half a minute later
  const std::size_t bytes = keeper.bytes();
  for (std::uint64_t o = 100; o < 20'000; ++o) offer(o, 1);
  CHECK(keeper.bytes() == bytes);
  CHECK(bytes < 16'384);
}

TEST_CASE("which segment goes: the oldest, unless too much of it is asked for, and not for ever") {
  admission::Ranked keeper({});
  std::vector<admission::Segment> segments(16, {1000, 1000, 100});
  CHECK(keeper.victim(segments) == 0);
  segments[0].hot_bytes = 900;
  segments[2].hot_bytes = 50;
  segments[9].hot_bytes = 0;  // too young to tell
  for (int i = 0; i < 4; ++i) CHECK(keeper.victim(segments) == 2);
  CHECK(keeper.victim(segments) == 0);
  // Of it, what was asked for is written again, up to a fifth.
  const admission::Held hot{{1, 0}, 150, 1, 2}, cold{{2, 0}, 10, 1, 0}, once{{3, 0}, 10, 1, 1},
      ranked{{4, 0}, 10, 2, 1};
  CHECK(keeper.again(hot, segments[0], 0, 0));
  CHECK_FALSE(keeper.again(hot, segments[0], 100, 0));
  CHECK_FALSE(keeper.again(cold, segments[0], 0, 0));
  CHECK_FALSE(keeper.again(once, segments[0], 0, 0));
  CHECK(keeper.again(ranked, segments[0], 0, 0));
}

TEST_CASE("requests read from bytes split anywhere are the same, and never more than is bounded is held") {
  const bool good = rc::check("request reader", [] {
    std::string bytes;
    std::vector<std::string> bodies;
    const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      std::string body(static_cast<std::size_t>(sizes[i]), '\r');
      depot::Fetch f;
      const std::string id = "id" + std::to_string(i);
      f.id = id;
      f.profile = "page";
      f.thing = "00000000000000aa";
      f.nth = "03";
      f.max_ms = 5;
      f.rank = static_cast<int>(i % 4);
      f.refresh = f.no_store_up = i % 2 == 0;
      f.body = body;
      bytes += depot::fetch_bytes(f);
      if (i % 3 == 0) bytes += depot::abort_bytes(id);
    }
    const auto read = [&](std::size_t step) {
      depot::RequestReader reader;
      std::vector<depot::Request> out;
      for (std::size_t at = 0; at < bytes.size(); at += step) {
        RC_ASSERT(reader.feed(std::string_view(bytes).substr(at, step), out));
      }
      RC_ASSERT(!reader.midway());
      return out;
    };
    const auto whole = read(bytes.size() + 1);
    const auto pieces = read(static_cast<std::size_t>(*rc::gen::inRange(1, 40)));
    RC_ASSERT(whole.size() == pieces.size());
    std::size_t n = 0;
    for (std::size_t i = 0; i < whole.size(); ++i) {
      RC_ASSERT(whole[i].id == pieces[i].id);
      RC_ASSERT(whole[i].body == pieces[i].body);
      RC_ASSERT(whole[i].fault.empty());
      if (whole[i].verb != depot::Request::Verb::kFetch) continue;
      RC_ASSERT(whole[i].nth == "03");
      RC_ASSERT(whole[i].part == 3u);
      RC_ASSERT(whole[i].refresh == (n % 2 == 0));
      RC_ASSERT(whole[i].rank == static_cast<int>(n % 4));
      ++n;
    }
    RC_ASSERT(n == sizes.size());
  });
  CHECK(good);
}
