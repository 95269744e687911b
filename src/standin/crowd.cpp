#include "standin/crowd.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <unordered_set>

#include "anisewick/control.hpp"
#include "facade/facade.hpp"

namespace anisewick::standin {
namespace {

constexpr Time kMs = 1'000'000;
constexpr std::int64_t kUnixAhead = 1'780'000'000'000, kStep = 5, kFault = 8'000, kLooked = 10'000;
constexpr std::int64_t kGoodMs = 300, kPatienceMs = 1'500, kRampMs = 16'000, kToldLateMs = 2'000;
constexpr double kClientKbPerMs = 10.5, kUsualKb = 40.0, kLeastKb = 20.0, kMostKb = 1'200.0;
constexpr std::int64_t kHitMs = 3, kParentMs = 15, kOriginMs = 60, kRestMs = 3'000;
constexpr double kWeakBears = 150.0, kCrowdedMs = 600.0;
constexpr int kRemarkHit = 1, kRemarkFilled = 2, kRemarkByOrigin = 3;
constexpr double kColdFrom = 0.2, kFallMultiple = 3.0;
constexpr std::size_t kPlaces = 40;  // requests at a depot at a time; more are turned away
constexpr depot::Id kFirst = 0x100, kParent = 0x800, kOrigin = 0x900;
constexpr std::size_t kParents = 2;

class Crowd {
 public:
  explicit Crowd(const CrowdOptions& o) : o_(o), random_(o.seed * 7'919 + 3) {
    const auto add = [&](depot::Id id, int zone, int kind) {
      bus::Depot b;
      b.id = id;
      b.zone = zone;
      b.kind = kind;
      list_.push_back(b);
    };
    for (std::size_t i = 0; i < o.caches; ++i) add(kFirst + static_cast<depot::Id>(i), 0, 0);
    for (std::size_t i = 0; i < kParents; ++i) add(kParent + static_cast<depot::Id>(i), 1, 1);
    add(kOrigin, 1, 2);
    depots_.resize(o.caches + kParents);
    // They have held most of what is asked for long.
    for (Depot& d : depots_) {
      for (std::uint64_t object = 1; object <= o.objects; ++object) {
        if (random_() % 10 != 0) d.held.insert(object);
      }
    }
    for (std::size_t i = 0; i < o.doormen; ++i) {
      Doorman& d = doormen_.emplace_back();
      d.draw.seed(o.seed * 1'000'003 + i);
      begin(d, i);
    }
  }

  CrowdResult run() {
    for (; now_ < kFault + kLooked + kPatienceMs; now_ += kStep) {
      faults();
      ends();
      for (std::size_t i = 0; i < doormen_.size(); ++i) {
        Doorman& d = doormen_[i];
        for (const auto& [id, step] : d.facade->tick(at())) act(i, id, step);
        while (d.next_ms <= static_cast<double>(now_) && now_ < kFault + kLooked) {
          request(i);
          d.next_ms += -std::log(1.0 - unit(d.draw)) * 1000.0 / o_.rate;
        }
      }
    }
    for (const Doorman& d : doormen_) {
      for (const auto& [id, open] : d.open) r_.unanswered += now_ > open.arrived + kPatienceMs + 100;
    }
    const double asked = static_cast<double>(std::max<std::uint64_t>(1, asked_));
    r_.good = static_cast<double>(good_) / asked;
    r_.refused = static_cast<double>(refused_) / asked;
    r_.answered = static_cast<double>(answered_) / asked;
    r_.largest_answered = static_cast<double>(largest_answered_) /
                          static_cast<double>(std::max<std::uint64_t>(1, largest_asked_));
    for (const auto& [why, n] : why_) r_.why.emplace_back(why, static_cast<double>(n) / asked);
    std::sort(r_.why.begin(), r_.why.end(), [](const auto& a, const auto& b) { return a.second > b.second; });
    return r_;
  }

 private:
  struct Open {
    std::int64_t arrived = 0;
    std::uint64_t object = 0, attempt = 0;
    bool out = false;
    int attempts = 0;
  };
  struct Doorman {
    std::mt19937_64 draw;
    double next_ms = 500.0;
    std::unique_ptr<Facade> facade;
    std::map<std::uint64_t, Open> open;
  };
  struct Depot {
    std::unordered_set<std::uint64_t> held;
    struct Fill {
      std::int64_t until_ms = 0;
      bool by_origin = false;
    };
    std::map<std::uint64_t, Fill> filling;
    std::int64_t born_ms = -1, told_ms = -1;  // of one that was replaced
    std::int64_t down_until = -1, stands_until = -1;
    std::deque<std::int64_t> asked;  // within the last second, while it is cold
    std::size_t open = 0;
    std::uint64_t answers = 0;
    double usual = 0.0;  // requests a second while it was warm
  };
  struct Due {
    std::int64_t ms = 0;
    std::uint64_t order = 0, request = 0, attempt = 0;
    std::size_t doorman = 0, depot = 0;
    Report report;
    bool operator<(const Due& o) const { return std::pair(ms, order) > std::pair(o.ms, o.order); }
  };

  Time at() const { return (kUnixAhead + now_) * kMs; }
  static double unit(std::mt19937_64& r) { return static_cast<double>(r() >> 11) * 0x1.0p-53; }
  bool looked_at(std::int64_t arrived) const { return arrived >= kFault && arrived < kFault + kLooked; }

  void begin(Doorman& d, std::size_t i) {
    Settings s;
    s.seed = 0x9e37 + i;
    s.index = static_cast<int>(i);
    s.fronts = static_cast<int>(o_.doormen);
    ClassSettings c;
    c.aim = 400 * kMs;
    c.aim_stretch = 2.0;
    c.deadline = 3'000 * kMs;
    c.fresh = 600'000 * kMs;
    c.max_attempts = 4;
    s.classes = {c};
    s.zone_hub = {1, -1};
    if (o_.zone_counts_told) s.zone_fronts = {static_cast<int>(o_.doormen), 0};
    s.parent_kind = 1;
    s.origin_kind = 2;
    s.client_kb_per_s = 1'000.0 * kClientKbPerMs;
    s.joins = true;
    s.notes = Notes::kAll;
    s.scales = Scales::kNominal;
    s.cold_from = kColdFrom;
    s.ramp = kRampMs * kMs;
    s.fall_multiple = kFallMultiple;
    s.fall_window = 1'000 * kMs;
    s.purge_grace = 1'000 * kMs;
    s.purge_settle = 6'000 * kMs;
    s.max_retry_after = 1'000 * kMs;
    s.tick = 2 * kMs;
    d.facade = std::make_unique<Facade>(s);
    bus::Event whole;
    whole.kind = bus::Event::Kind::kWholeList;
    whole.depots = list_;
    d.facade->heed(at(), whole);
  }

  // ---- Requests.

  // From 0 to 1, evenly: the largest objects have the highest.
  static double size_place(std::uint64_t object) {
    return static_cast<double>(object * 0x9e3779b97f4a7c15ULL >> 11) * 0x1.0p-53;
  }
  static bool largest(std::uint64_t object) { return size_place(object) >= 0.9; }
  double size_kb(std::uint64_t object) const {
    const double place = size_place(object);
    return o_.sizes_vary ? kLeastKb * std::pow(kMostKb / kLeastKb, place * place) : kUsualKb;
  }

  void request(std::size_t i) {
    Doorman& d = doormen_[i];
    const std::uint64_t id = ++ids_;
    const double u = unit(d.draw);  // a few objects take most
    Open open;
    open.arrived = now_;
    open.object = 1 + static_cast<std::uint64_t>(u * u * static_cast<double>(o_.objects));
    d.open[id] = open;
    ++r_.requests;
    asked_ += looked_at(now_);
    largest_asked_ += looked_at(now_) && largest(open.object);
    Ask ask;
    ask.id = id;
    ask.object = open.object;
    ask.size_kb = size_kb(open.object);
    ask.group = static_cast<int>(open.object % 2);
    ask.give_up_at = at() + kPatienceMs * kMs;
    act(i, id, d.facade->pick(at(), ask));
  }
  void act(std::size_t i, std::uint64_t id, const Step& step) {
    Doorman& d = doormen_[i];
    const auto it = d.open.find(id);
    if (it == d.open.end() || step.what == Step::What::kWait) return;
    Open& open = it->second;
    if (step.what != Step::What::kSend) {
      if (looked_at(open.arrived)) ++refused_, ++why_[step.why];
      d.open.erase(it);
      return;
    }
    r_.early_twice += open.out;
    r_.most_attempts = std::max(r_.most_attempts, ++open.attempts);
    open.out = true;
    open.attempt = ++attempts_;
    const std::int64_t until = std::max(now_ + 1, step.until / kMs - kUnixAhead);
    send(i, id, open, step, until);
  }
  // What becomes of an attempt at a depot.
  void send(std::size_t i, std::uint64_t id, const Open& open, const Step& step, std::int64_t until) {
    const auto later = [&](std::int64_t ms, End end, int remark, std::size_t n) {
      due_.push({std::max(ms, now_ + 1), ++order_, id, open.attempt, i, n, {end, remark, 0}});
    };
    const std::size_t none = depots_.size();
    if (step.depot == kOrigin) return later(now_ + origin(), End::kServed, kRemarkByOrigin, none);
    const std::size_t n = step.depot >= kParent ? o_.caches + (step.depot - kParent) : step.depot - kFirst;
    Depot& depot = depots_[n];
    if (now_ < depot.down_until) return later(now_ + 1, End::kUnreached, 0, none);
    if (!bears(depot)) return later(now_ + 1, End::kUnreached, 0, none);
    if (depot.open >= kPlaces) return later(now_ + 1, End::kFull, 0, none);
    ++depot.open;
    ++depot.answers;
    const bool lost = o_.scene == Scene::kLost && now_ >= kFault && depot.answers % 50 == 0;
    if (lost) return later(until, End::kLate, 0, n);
    const std::int64_t from = std::max(now_, depot.stands_until);
    const auto sending = static_cast<std::int64_t>((size_kb(open.object) - kUsualKb) / kClientKbPerMs);
    const std::int64_t sent_after = kHitMs + std::max<std::int64_t>(0, sending);
    std::int64_t ready = from + sent_after;
    int remark = kRemarkHit;
    if (!depot.held.contains(open.object)) {
      // What is to cost the origin nothing comes from a parent that holds it, or not at all.
      const bool parent = step.source && *step.source >= kParent && *step.source < kOrigin;
      const bool held = parent && depots_[o_.caches + (*step.source - kParent)].held.contains(open.object);
      if (!step.source || (step.held_only && !held)) return later(from + kHitMs, End::kLacks, 0, n);
      remark = kRemarkFilled;
      // Whoever asks for the same meanwhile waits for the same fill.
      auto [fill, first] = depot.filling.try_emplace(open.object);
      if (first) {
        const auto [ms, by_origin] = fetch(*step.source, open.object);
        fill->second = {from + ms, by_origin};
      }
      ready = std::max(ready, fill->second.until_ms + sent_after - kHitMs);
      if (fill->second.by_origin) remark = kRemarkByOrigin;
    }
    const bool late = ready > until;
    later(late ? until : ready, late ? End::kLate : End::kServed, late ? 0 : remark, n);
  }
  std::int64_t origin() {
    ++origin_now_;
    if (o_.scene == Scene::kWeak) {
      // One after another; where many wait, each takes longer.
      const double waits = std::max(0.0, origin_until_ - static_cast<double>(now_));
      origin_until_ =
          static_cast<double>(now_) + waits + (waits > kCrowdedMs ? 2.0 : 1.0) * 1'000.0 / kWeakBears;
      return kOriginMs + static_cast<std::int64_t>(origin_until_) - now_;
    }
    const bool slow = o_.scene == Scene::kOrigin && now_ >= kFault && now_ < kFault + 6'000;
    return kOriginMs * (slow ? 10 : 1);
  }
  // How long a fill's source takes, and whether the origin was asked: a parent that lacks the object asks it.
  std::pair<std::int64_t, bool> fetch(depot::Id source, std::uint64_t object) {
    if (source == kOrigin || source < kParent) return {origin(), true};
    const bool held = !depots_[o_.caches + (source - kParent)].held.insert(object).second;
    return {kParentMs + (held ? 0 : origin()), !held};
  }
  // A cold cache falls where it gets more than it bears within a second, and is away for a while.
  bool bears(Depot& d) {
    if (d.born_ms < 0 || now_ >= d.born_ms + kRampMs) return true;
    const double warm = kColdFrom + (1.0 - kColdFrom) * static_cast<double>(now_ - d.born_ms) / kRampMs;
    const double n = kFallMultiple * d.usual * warm, most = n + 2.0 * std::sqrt(n) + 2.0;
    while (!d.asked.empty() && d.asked.front() <= now_ - 1'000) d.asked.pop_front();
    d.asked.push_back(now_);
    const double got = static_cast<double>(d.asked.size());
    const bool told = d.told_ms >= 0 && now_ >= d.told_ms + 1'000;  // the window began after it
    if (told) r_.most_of_bearable = std::max(r_.most_of_bearable, got / most);
    if (got <= most) return true;
    ++(told ? r_.falls_after_told : r_.falls_before_told);
    d.down_until = now_ + kRestMs;
    d.asked.clear();
    d.held.clear();
    d.filling.clear();
    return false;
  }
  void ends() {
    while (!due_.empty() && due_.top().ms <= now_) {
      const Due u = due_.top();
      due_.pop();
      if (u.depot < depots_.size()) {
        Depot& depot = depots_[u.depot];
        if (depot.open > 0) --depot.open;
        for (auto it = depot.filling.begin(); it != depot.filling.end();) {
          if (it->second.until_ms > now_) {
            ++it;
            continue;
          }
          depot.held.insert(it->first);
          it = depot.filling.erase(it);
        }
      }
      Doorman& d = doormen_[u.doorman];
      const auto it = d.open.find(u.request);
      if (it == d.open.end() || it->second.attempt != u.attempt) continue;
      it->second.out = false;
      const Step step = d.facade->report(at(), u.request, u.report);
      if (u.report.end != End::kServed) {
        act(u.doorman, u.request, step);
        continue;
      }
      good_ += looked_at(it->second.arrived) && now_ - it->second.arrived <= kGoodMs;
      answered_ += looked_at(it->second.arrived);
      largest_answered_ += looked_at(it->second.arrived) && largest(it->second.object);
      d.open.erase(it);
    }
  }

  // ---- Faults.

  void faults() {
    const std::int64_t since = now_ - kFault;
    if (now_ % 1'000 == 0) {
      if (since > 0) r_.origin_most = std::max(r_.origin_most, static_cast<double>(origin_now_));
      origin_now_ = 0;
    }
    if (o_.scene == Scene::kTold || o_.scene == Scene::kUntold) {
      if (since == 0) {
        for (std::size_t n = 0; n < o_.replaced; ++n) {
          const double usual =
              static_cast<double>(depots_[n].answers) * 1'000.0 / static_cast<double>(kFault - 500);
          depots_[n] = {};
          depots_[n].usual = usual;
          depots_[n].born_ms = now_;
          list_[n].started_ms = kUnixAhead + now_;
        }
      }
      if (since == (o_.scene == Scene::kTold ? 0 : kToldLateMs)) {
        bus::Event change;
        change.kind = bus::Event::Kind::kChanges;
        for (std::size_t n = 0; n < o_.replaced; ++n) {
          change.depots.push_back(list_[n]);
          depots_[n].told_ms = now_;
        }
        for (Doorman& d : doormen_) d.facade->heed(at(), change);
      }
    }
    if (o_.scene == Scene::kPauses && since >= 0 && since % 3'000 == 0) {
      for (std::size_t n = 0; n < o_.caches; n += 8) depots_[n].stands_until = now_ + 400;
    }
    if ((o_.scene == Scene::kPurge || o_.scene == Scene::kWeak) && since == 0) {
      bus::Event purge;
      purge.kind = bus::Event::Kind::kGroupPurge;
      purge.group = 0;
      purge.purged_ms = kUnixAhead + now_;
      for (Depot& d : depots_) std::erase_if(d.held, [](std::uint64_t object) { return object % 2 == 0; });
      for (Doorman& d : doormen_) d.facade->heed(at(), purge);
    }
  }

  const CrowdOptions o_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  std::vector<Doorman> doormen_;
  std::vector<Depot> depots_;
  std::vector<bus::Depot> list_;
  std::priority_queue<Due> due_;
  std::uint64_t ids_ = 0, attempts_ = 0, order_ = 0;
  double origin_until_ = 0.0;
  std::uint64_t asked_ = 0, good_ = 0, refused_ = 0, origin_now_ = 0;
  std::uint64_t answered_ = 0, largest_asked_ = 0, largest_answered_ = 0;
  std::map<std::string, std::uint64_t> why_;
  CrowdResult r_;
};

}  // namespace

const char* word(Scene scene) {
  static const char* const kWords[] = {"quiet",  "told",   "untold", "lost",
                                       "pauses", "origin", "purge",  "weak"};
  return kWords[static_cast<std::size_t>(scene)];
}

CrowdResult crowd(const CrowdOptions& options) { return Crowd(options).run(); }

}  // namespace anisewick::standin
