#include "standin/permits.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>

#include "fleet/work/crew.hpp"
#include "work.pb.h"

namespace anisewick::standin {
namespace {

constexpr std::int64_t kPass = 650, kLongest = 400, kPermit = 800;
constexpr const char* kDepot = "s-00000001";

enum class Event {
  kPass,
  kOwnerActs,
  kReads,
  kReadLate,
  kAnswered,
  kSaved,
  kTold,
  kSends,
  kEnds,
  kKilled,
  kFollowed
};
const char* word(Event e) {
  static const char* const kWords[] = {"650 ms pass",
                                       "the owner's change stands",
                                       "the doorman reads the picture",
                                       "its read is carried out, the answer is under way",
                                       "that answer comes",
                                       "its state is on disk",
                                       "the owner hears its word",
                                       "it sends a request",
                                       "that ends",
                                       "it is killed and starts again",
                                       "another owner follows"};
  return kWords[static_cast<std::size_t>(e)];
}
constexpr std::size_t kEvents = 11;

// One world, played from the start for each sequence of events: a doorman and two that own the duty in turn.
class World {
 public:
  World() {
    for (std::size_t i = 0; i < crews_.size(); ++i) start(i, {});
    crews_[0]->own(1, now_);
    wire::Work f;
    f.set_name("job");
    for (const char* id : {kDepot, "s-00000002"}) {
      auto& m = id == kDepot ? *f.add_machines() : *f.add_others();
      m.set_id(id);
    }
    crews_[0]->call({work::Wish::What::kTake, "job", {}, 7, f.SerializeAsString(), 1});
    while (state() != work::State::kAnnounced && now_ < 20'000) {
      now_ += 10;
      for (std::size_t i = 0; i < crews_.size(); ++i) {
        crews_[i]->durable(crews_[i]->changed());
        ask(i);
        while (!asked_[i].empty()) answer(i, 0, carry_out(i, 0));
      }
      hear();
    }
  }

  std::vector<Event> can(const PermitsOptions& o) const {
    std::vector<Event> out{Event::kPass};
    if (!asked_[owner_].empty()) out.push_back(Event::kOwnerActs);
    if (!asked_[kDoorman].empty()) out.push_back(Event::kReads);
    if (!asked_[kDoorman].empty() && !late_) out.push_back(Event::kReadLate);
    if (late_) out.push_back(Event::kAnswered);
    if (saved_ != crews_[kDoorman]->saved()) out.push_back(Event::kSaved);
    if (crews_[kDoorman]->word_now()) out.push_back(Event::kTold);
    if (!open_ && !leaves()) out.push_back(Event::kSends);
    if (open_) out.push_back(Event::kEnds);
    if (kills_ < o.kills) out.push_back(Event::kKilled);
    if (owners_ < o.owners) out.push_back(Event::kFollowed);
    return out;
  }
  // False: something was sent to what is out, or is open there.
  bool play(Event e) {
    switch (e) {
      case Event::kPass:
        now_ += kPass;
        if (open_ && now_ >= *open_) open_.reset();
        break;
      case Event::kOwnerActs:
        answer(owner_, 0, carry_out(owner_, 0));
        break;
      case Event::kReads:
        answer(kDoorman, 0, carry_out(kDoorman, 0));
        break;
      case Event::kReadLate:
        late_ = carry_out(kDoorman, 0);
        asked_[kDoorman].erase(asked_[kDoorman].begin());
        break;
      case Event::kAnswered:
        settle(kDoorman, *std::exchange(late_, std::nullopt));
        break;
      case Event::kSaved:
        saved_ = crews_[kDoorman]->saved();
        crews_[kDoorman]->durable(crews_[kDoorman]->changed());
        break;
      case Event::kTold:
        hear();
        break;
      case Event::kSends:
        if (out()) return false;
        open_ = now_ + kLongest;
        break;
      case Event::kEnds:
        open_.reset();
        break;
      case Event::kKilled:
        ++kills_;
        open_.reset();
        late_.reset();
        start(kDoorman, saved_);
        break;
      case Event::kFollowed:
        ++owners_;
        crews_[owner_]->own(0, now_);
        owner_ = 2;
        crews_[owner_]->own(2, now_);
        break;
    }
    for (std::size_t i = 0; i < crews_.size(); ++i) ask(i);
    return !(out() && open_);
  }
  // What can be seen of it, now and for the next two seconds.
  std::string look() const {
    std::string s = registers_.at(work::kNowKey);
    s += saved_ + crews_[kDoorman]->saved() + std::to_string(asked_[owner_].size()) +
         std::to_string(asked_[kDoorman].size()) + (late_ ? late_->value : "") + std::to_string(owner_) +
         std::to_string(kills_) + std::to_string(open_ ? *open_ - now_ : -1);
    if (const auto w = crews_[kDoorman]->word_now()) s += work::encode(*w);
    const work::Steps& steps = crews_[owner_]->steps();
    s += work::encode(steps.now()) + std::to_string(steps.fenced());
    for (std::int64_t t = now_; t <= now_ + 2'000; t += kPass) {
      s += std::to_string(crews_[kDoorman]->left(t).size());
      for (const work::Active& a : steps.now().active) s += steps.waits_for(a, t);
    }
    return s;
  }
  bool ready() const { return state() == work::State::kAnnounced; }

 private:
  static constexpr std::size_t kDoorman = 1;

  void start(std::size_t i, const std::string& saved) {
    asked_[i].clear();
    crews_[i] = std::make_unique<work::Crew>(
        "n" + std::to_string(i), 100 + 10 * i + static_cast<std::size_t>(kills_),
        work::Times{kPermit, 20'000, kLongest, 300}, saved,
        [](const std::string&) { return std::pair(false, std::uint64_t{0}); },
        [] { return std::uint64_t{0}; });
    crews_[i]->sees({[this, i](const std::string& depot) {
                       work::Line line{depot};
                       line.open = i == kDoorman && depot == kDepot && open_ ? 1 : 0;
                       return line;
                     },
                     [](const std::string&) { return true; }, [] { return true; }, [] { return false; },
                     [] { return std::vector<std::pair<std::string, std::uint32_t>>{}; }});
  }
  work::State state() const {
    const auto it = registers_.find(work::kNowKey);
    const auto now = it == registers_.end() ? std::nullopt : work::now_from(it->second);
    const work::Active* a = now ? now->of(kDepot) : nullptr;
    return a == nullptr ? work::State::kWaiting : a->state;
  }
  bool out() const { return state() == work::State::kOut; }
  bool leaves() const { return !crews_[kDoorman]->left(now_).empty(); }

  // Only what concerns the picture is an event of its own; the rest is carried out at once.
  void ask(std::size_t i) {
    if (i != kDoorman) crews_[i]->durable(crews_[i]->changed());
    for (int round = 0; round < 20; ++round) {
      auto asks = crews_[i]->next(now_, 1'780'000'000'000 + now_);
      if (asks.empty()) return;
      for (work::Ask& a : asks) {
        asked_[i].push_back({std::move(a), now_});
        const bool picture = asked_[i].back().first.key == work::kNowKey;
        const bool event = i == kDoorman || (i == owner_ && !asked_[i].back().first.read);
        if (picture && event && ready_once_) continue;
        const std::size_t at = asked_[i].size() - 1;
        answer(i, at, carry_out(i, at));
      }
      ready_once_ = ready_once_ || state() == work::State::kAnnounced;
    }
  }
  agreement::Proposer::Result carry_out(std::size_t i, std::size_t at) {
    const auto& [ask, asked_ms] = asked_[i][at];
    std::string& value = registers_[ask.key];
    agreement::Proposer::Result r;
    r.key = ask.key;
    r.asked_ms = asked_ms;
    r.what = agreement::Proposer::Result::What::kLeft;
    if (auto to = ask.change(value); to && !ask.read) {
      value = *to;
      r.what = agreement::Proposer::Result::What::kChanged;
    }
    r.value = value;
    return r;
  }
  void answer(std::size_t i, std::size_t at, const agreement::Proposer::Result& r) {
    asked_[i].erase(asked_[i].begin() + static_cast<std::ptrdiff_t>(at));
    settle(i, r);
  }
  void settle(std::size_t i, const agreement::Proposer::Result& r) {
    std::uint64_t higher = 0;
    crews_[i]->settled(r, now_, higher);
  }
  void hear() {
    for (std::size_t i = 0; i < crews_.size(); ++i) {
      if (const auto w = crews_[i]->word_now()) crews_[owner_]->heard("n" + std::to_string(i), *w, now_);
      crews_[i]->spoken_of(crews_[owner_]->steps().now().number);
    }
  }

  std::int64_t now_ = 10'000;
  std::map<std::string, std::string> registers_;
  std::array<std::unique_ptr<work::Crew>, 3> crews_;
  std::array<std::vector<std::pair<work::Ask, std::int64_t>>, 3> asked_;
  std::optional<agreement::Proposer::Result> late_;
  std::string saved_;
  std::optional<std::int64_t> open_;
  std::size_t owner_ = 0;
  int kills_ = 0, owners_ = 0;
  bool ready_once_ = false;
};

}  // namespace

PermitsResult explore_permits(const PermitsOptions& o) {
  PermitsResult r;
  std::unordered_set<std::string> seen;
  std::vector<std::vector<Event>> level{{}};
  for (int depth = 0; depth < o.depth && !level.empty(); ++depth) {
    std::vector<std::vector<Event>> next;
    for (const auto& path : level) {
      const auto from = [&] {
        auto world = std::make_unique<World>();
        for (const Event e : path) world->play(e);
        return world;
      };
      const auto events = from()->can(o);
      for (const Event e : events) {
        if (r.states >= o.most_states) return r;
        const auto world = from();
        auto longer = path;
        longer.push_back(e);
        ++r.states;
        if (!world->play(e)) {
          for (const Event x : longer) r.breach.emplace_back(word(x));
          return r;
        }
        if (seen.insert(world->look()).second) next.push_back(std::move(longer));
      }
    }
    level = std::move(next);
    r.depth = depth + 1;
  }
  return r;
}

}  // namespace anisewick::standin
