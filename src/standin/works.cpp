#include "standin/works.hpp"

#include <algorithm>
#include <random>

#include "work.pb.h"

namespace anisewick::standin {
namespace {

constexpr std::int64_t kLongestMs = 900;
constexpr std::int64_t kUnixAhead = 1'780'000'000'000;

std::string depot_name(std::size_t d) { return depot::text_of(static_cast<depot::Id>(0x100 + d)); }

class Works {
 public:
  explicit Works(const WorksOptions& o)
      : o_(o), random_(o.seed * 104'729 + 3), born_(o.depots, 1), out_(o.depots, 0), back_at_(o.depots, 0) {
    EnsembleOptions e;
    e.seed = o.seed;
    e.members = o.members;
    e.voters = o.voters;
    e.duties = 1;
    e.loss = o.loss;
    e.twice = 0.03;
    e.careless = o.careless;
    e.delay_ms = o.delay_ms;
    e.work = true;
    e.times = {800, 20'000, kLongestMs, 300};
    seen_.assign(o.members, std::vector<Seen>(o.depots));
    told_.assign(o.members, std::vector<std::int64_t>(o.depots, 1));
    e.started = [this](std::size_t i, member::Member& m) { started(i, m); };
    e.flushed = [this](std::size_t i) { flushed(i); };
    fleet_ = std::make_unique<Ensemble>(e);
  }

  WorksResult run() {
    // One comes later, whom nobody has heard of.
    if (o_.faults && o_.members > 3) fleet_->kill(o_.members - 1);
    fleet_->until([&] { return owner() != Ensemble::npos; }, 15'000);
    fleet_->run(3'000);
    take();
    const std::int64_t end = fleet_->now() + o_.faults_ms;
    std::int64_t next = fleet_->now() + 500;
    while (fleet_->now() < end) {
      step();
      if (!o_.faults || fleet_->now() < next) continue;
      next = fleet_->now() + static_cast<std::int64_t>(100 + random_() % 1'500);
      fault();
    }
    fleet_->split({});
    fleet_->loss(o_.loss);
    for (std::size_t i = 0; i < o_.members; ++i) {
      fleet_->full_disk(i, false);
      if (!fleet_->up(i)) fleet_->start(i);
      if (stopped_.erase(i) > 0) fleet_->go_on(i);
    }
    calm_ = true;
    const std::int64_t from = fleet_->now();
    while (!r_.ended && fleet_->now() < from + o_.calm_ms) {
      step();
      const std::size_t who = owner();
      if (who == Ensemble::npos) continue;
      if (o_.calls && fleet_->now() > from + 2'000 && random_() % 200 == 0) {
        fleet_->at(who).work_call({work::Wish::What::kResume, "job", {}, 0, {}}, fleet_->clock(who));
      }
      const auto& crew = *fleet_->at(who).crew();
      const auto slot = crew.library().slot_of("job");
      if (!slot || !crew.steps().fenced()) continue;
      const work::Board& b = crew.library().board(*slot);
      r_.ended = b.phase == work::Phase::kEnded;
      r_.done = static_cast<std::size_t>(std::count(b.states.begin(), b.states.end(), work::State::kDone));
      r_.waits.clear();
      for (const work::Active& a : crew.steps().now().active) {
        r_.waits += a.machine + " " + work::word(a.state) + ": " + crew.steps().waits_for(a, 0) + "; ";
      }
    }
    r_.took_ms = fleet_->now() - from;
    return r_;
  }

 private:
  struct Seen {
    std::uint64_t answers = 0, fills = 0;
  };
  struct Open {
    std::size_t member = 0, depot = 0;
    std::int64_t until = 0;
  };

  std::size_t owner() const { return fleet_->owner(work::kDuty); }

  void started(std::size_t i, member::Member& m) {
    // Its connections ended with the process before it, and it knows what the bus tells now.
    std::erase_if(open_, [&](const Open& o) { return o.member == i; });
    for (std::size_t d = 0; d < o_.depots; ++d) {
      seen_[i][d] = {};
      told_[i][d] = bus_lies_ ? told_[i][d] : born_[d];
    }
    m.wall(kUnixAhead + static_cast<std::int64_t>(random_() % 4'000));  // walls up to 4 s apart
    m.crew()->sees({[this, i](const std::string& name) {
                      work::Line line{name};
                      for (std::size_t d = 0; d < o_.depots; ++d) {
                        if (depot_name(d) != name) continue;
                        line.open = static_cast<std::uint32_t>(
                            std::count_if(open_.begin(), open_.end(),
                                          [&](const Open& o) { return o.member == i && o.depot == d; }));
                        line.born_ms = told_[i][d];
                        line.answers = seen_[i][d].answers;
                        line.fills = seen_[i][d].fills;
                      }
                      return line;
                    },
                    [](const std::string&) { return true; }, [] { return true; }, [] { return false; }});
  }

  // Truth: what a register says is out is out, from then on until it is back.
  void flushed(std::size_t i) {
    if (!fleet_ || !fleet_->up(i)) return;
    const work::Crew& crew = *fleet_->at(i).crew();
    const work::Now& now = crew.steps().fenced() ? crew.steps().now() : crew.permit().now();
    if (now.number <= number_) return;
    number_ = now.number;
    if (now.term < term_) breach(r_.terms_fell, "a change of an older term stands in the register");
    term_ = std::max(term_, now.term);
    model(crew, now);
    std::size_t busy = 0;
    for (const work::Active& a : now.active) busy += a.state != work::State::kFailed;
    const auto gone = static_cast<std::size_t>(
        std::count_if(now.active.begin(), now.active.end(),
                      [](const work::Active& a) { return work::left_alone(a.state); }));
    if (gone > 2) breach(r_.reserve_breaches, std::to_string(gone) + " bear nothing, and 2 can be spared");
    if (busy > 2) breach(r_.over_limit, std::to_string(busy) + " are in progress, and 2 are allowed");
    for (std::size_t d = 0; d < o_.depots; ++d) {
      const work::Active* a = now.of(depot_name(d));
      const bool out = a != nullptr && (a->state == work::State::kOut || a->state == work::State::kFailed);
      if (out && out_[d] == 0) {
        out_[d] = a->number;
        if (!was_out_.insert(d).second) breach(r_.repeated_steps, depot_name(d) + " is called out twice");
        for (const Open& o : open_) {
          if (o.depot == d) breach(r_.open_at_out, depot_name(d) + " is out, and something is open there");
        }
        back_at_[d] = fleet_->now() + static_cast<std::int64_t>(300 + random_() % 3'000);
      }
      if (!out) out_[d] = 0;
    }
  }

  // A job as a plain model: where a machine may go from each state, and the job from each phase.
  void model(const work::Crew& crew, const work::Now& now) {
    using work::Phase;
    using work::State;
    const auto slot = crew.library().slot_of("job");
    if (!slot) return;
    const work::Board& b = crew.library().board(*slot);
    if (b.version < board_) return;
    board_ = b.version;
    const bool phase_may = b.phase == phase_ || phase_ == Phase::kNone || phase_ == Phase::kClaimed ||
                           (phase_ == Phase::kRunning && b.phase != Phase::kClaimed) ||
                           (phase_ == Phase::kPaused && b.phase != Phase::kClaimed) ||
                           (phase_ == Phase::kStopping && b.phase == Phase::kEnded);
    if (!phase_may)
      breach(r_.illegal,
             std::string("the job goes from ") + work::word(phase_) + " to " + work::word(b.phase));
    phase_ = b.phase;
    for (std::size_t p = 0; p < o_.wanted && p < b.states.size(); ++p) {
      const work::Active* a = now.of(depot_name(p));
      const State to = work::final(b.states[p]) || a == nullptr ? b.states[p] : a->state;
      State& from = model_[p];
      // It has left the picture, and the board here is from before its end was written: the next one tells.
      // Should it be taken up again instead, that is seen.
      if (a == nullptr && to == State::kWaiting && from >= State::kOut && from < State::kDone) continue;
      const bool put_back = from == State::kAnnounced || from == State::kAsked || from == State::kDraining;
      const bool may = to == from ||
                       (to > from && to <= State::kDone && (to < State::kBack || was_out_.contains(p))) ||
                       (put_back && to == State::kWaiting) ||
                       (to == State::kStopped && from < State::kOut && phase_ >= Phase::kStopping) ||
                       (to == State::kSkipped && from < State::kOut);
      if (!may)
        breach(r_.illegal, depot_name(p) + " goes from " + work::word(from) + " to " + work::word(to));
      from = to;
    }
  }
  void call() {
    using What = work::Wish::What;
    const std::size_t i = random_() % o_.members;
    if (!fleet_->up(i) || stopped_.contains(i)) return;
    const std::uint64_t lot = random_() % 20;
    const What what = lot == 0   ? What::kStop
                      : lot < 8  ? What::kPause
                      : lot < 17 ? What::kResume
                                 : What::kBack;
    fleet_->at(i).work_call(
        {what, "job", what == What::kBack ? depot_name(random_() % o_.wanted) : "", 0, {}}, fleet_->clock(i));
  }

  void step() {
    if (o_.calls && !calm_ && random_() % 100 == 0) call();
    fleet_->run(static_cast<std::int64_t>(1 + random_() % 9));
    const std::int64_t now = fleet_->now();
    for (auto it = open_.begin(); it != open_.end();) {
      if (it->until > now) {
        ++it;
        continue;
      }
      Seen& s = seen_[it->member][it->depot];
      ++s.answers;
      if (fresh_until_.contains(it->depot) && now < fresh_until_[it->depot]) ++s.fills;
      it = open_.erase(it);
    }
    for (std::size_t d = 0; d < o_.depots; ++d) {
      // Staff have done their work: a new process, cold for a while.
      if (out_[d] != 0 && back_at_[d] != 0 && now >= back_at_[d]) {
        back_at_[d] = 0;
        born_[d] = kUnixAhead + now + 10'000;
        fresh_until_[d] = now + 1'500;
      }
      for (std::size_t i = 0; i < o_.members; ++i) {
        if (told_[i][d] != born_[d] && random_() % 40 == 0 && !bus_lies_) told_[i][d] = born_[d];
      }
    }
    bus_lies_ = now % 20'000 < 3'000 && o_.faults;  // and tells nothing for a while
    for (std::size_t i = 0; i < o_.members; ++i) {
      if (!fleet_->up(i) || stopped_.contains(i) || random_() % static_cast<std::uint64_t>(o_.send_ms) > 5)
        continue;
      // A doorman that is there for the first time says ready once it has read the picture.
      if (fleet_->at(i).crew()->caught_up()) knows_.insert(i);
      if (!knows_.contains(i)) continue;
      const auto left = fleet_->at(i).crew()->left(fleet_->clock(i));
      const std::size_t d = random_() % o_.depots;
      if (std::find(left.begin(), left.end(), depot_name(d)) != left.end()) continue;
      ++r_.sends;
      if (out_[d] != 0) breach(r_.sends_to_out, "n" + std::to_string(i) + " sends to " + depot_name(d));
      const std::int64_t lasts =
          random_() % 8 == 0 ? kLongestMs : static_cast<std::int64_t>(2 + random_() % 60);
      open_.push_back({i, d, now + lasts});
    }
  }

  void take() {
    wire::Work f;
    f.set_name("job");
    f.set_at_once(2);
    f.set_warm_answers(5);
    f.set_warm_within_s(5);
    f.set_back_within_s(3'600);
    for (std::size_t d = 0; d < o_.depots; ++d) {
      auto& m = d < o_.wanted ? *f.add_machines() : *f.add_others();
      m.set_id(depot_name(d));
      m.set_centre("c");
      m.set_capacity(1.0);
    }
    auto& c = *f.add_centres();
    c.set_name("c");
    c.set_peak(static_cast<double>(o_.depots - 2));
    for (std::size_t i = 0; i < 2; ++i) {
      const std::size_t at = random_() % (o_.members - 1);  // twice, at two doors perhaps
      if (fleet_->up(at)) {
        fleet_->at(at).work_call({work::Wish::What::kTake, "job", {}, 0, f.SerializeAsString()},
                                 fleet_->clock(at));
      }
    }
  }

  void fault() {
    const std::size_t n = o_.members, i = random_() % n, own = owner();
    const std::size_t who = own != Ensemble::npos && random_() % 2 == 0 ? own : i;
    switch (random_() % 9) {
      case 0:
        if (!fleet_->up(who)) break;
        ++r_.kills;
        fleet_->kill(who);
        stopped_.erase(who);
        // What it had sent is on its way, or ends with it.
        std::erase_if(open_, [&](const Open& o) { return o.member == who; });
        break;
      case 1:
      case 2:
        if (!fleet_->up(i)) fleet_->start(i);
        break;
      case 3:
        if (!fleet_->up(who) || stopped_.contains(who)) break;
        ++r_.stops;
        fleet_->stop(who);
        stopped_.insert(who);
        break;
      case 4:
        for (const std::size_t s : std::exchange(stopped_, {})) {
          if (fleet_->up(s)) fleet_->go_on(s);
        }
        break;
      case 5: {
        ++r_.cuts;
        std::set<std::size_t> side{who};
        for (std::size_t k = 0; k < n; ++k) {
          if (random_() % 4 == 0) side.insert(k);
        }
        fleet_->split(side);
        break;
      }
      case 6:
        ++r_.cuts;
        fleet_->cut(i, random_() % n, true);
        break;
      case 7:
        fleet_->split({});
        fleet_->loss(random_() % 2 == 0 ? 0.2 : o_.loss);
        break;
      default:
        fleet_->full_disk(i, random_() % 3 == 0);
    }
  }

  void breach(std::uint64_t& counter, const std::string& what) {
    ++counter;
    if (r_.first.empty()) r_.first = "at " + std::to_string(fleet_->now()) + " ms: " + what;
  }

  const WorksOptions o_;
  std::mt19937_64 random_;
  std::vector<std::int64_t> born_;
  std::vector<std::uint64_t> out_;  // the picture in which it was called out; 0: it is not
  std::vector<std::int64_t> back_at_;
  std::map<std::size_t, std::int64_t> fresh_until_;
  std::vector<std::vector<Seen>> seen_;
  std::vector<std::vector<std::int64_t>> told_;  // born, as each knows it
  std::vector<Open> open_;
  std::set<std::size_t> was_out_, stopped_, knows_;
  std::uint64_t number_ = 0, term_ = 0;
  bool bus_lies_ = false, calm_ = false;
  std::map<std::size_t, work::State> model_;
  work::Phase phase_ = work::Phase::kNone;
  std::uint64_t board_ = 0;
  WorksResult r_;
  std::unique_ptr<Ensemble> fleet_;
};

}  // namespace

WorksResult works(const WorksOptions& options) { return Works(options).run(); }

}  // namespace anisewick::standin
