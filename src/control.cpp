// The decisions of anisewick. Interface: include/anisewick/control.hpp.
//
// Map: tuned values / small helpers / Hotness (counting, heap, rounds) / Server (health, cold budget) /
// Impl: membership, purges, routing (edge cache), source choice, attempts, outcomes, the public calls.
#include "anisewick/control.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "anisewick/learned.hpp"
#include "decisions/origin_throttle.hpp"
#include "decisions/recent_purges.hpp"

namespace anisewick {
namespace {

constexpr Time kMs = 1'000'000;
constexpr Time kSecond = 1'000 * kMs;

// Tuned values. None is taken from a deployment; "design" marks those the design page names.
constexpr std::size_t kTop = 800;           // design: K, of the heap and of the coldest admitted pooled
constexpr std::size_t kSetTimesTop = 4;     // design: the admitted set holds so many times K
constexpr Time kRoundGap = 50 * kMs;        // design: between two rounds
constexpr Time kHalving = 8 * kSecond;      // of all counts
constexpr std::uint32_t kOne = 1024;        // a request's count, so that halving keeps the order
constexpr std::uint32_t kLeast = kOne / 8;  // smaller counts are dropped after a halving
constexpr std::size_t kMaxCounted = 16 * kTop;
constexpr int kRankAdmitted = 2;      // design
constexpr int kRankEarly = 1;         // of new objects where many fronts share a location
constexpr double kSmooth = 0.2;       // weight of a new time to first byte or slowness sample
constexpr double kFailSmooth = 0.15;  // weight of a new attempt in the failing share
constexpr double kFailing = 0.3;      // a failing share that ejects
constexpr double kSlow = 2.5;         // this many times the others' slowness ejects
constexpr double kHandling = 0.05;    // seconds that an answer takes beyond its sending time
constexpr double kUnclear = 0.5;      // weight of a failure that may be the cache's or the source's
constexpr double kFairTime = 0.5;     // of the aim; a time-out of an attempt that had less says nothing
constexpr int kMostErrors = 3;        // of one request, after which it is the request that cannot be served
constexpr std::size_t kMaxServers = 4096;  // known ones, before the gone are forgotten
constexpr Time kTrial = 500 * kMs;    // one attempt in this time finds out whether an ejected one recovered
constexpr double kColdMargin = 0.7;   // share of a cold budget that is used
constexpr Time kPromptly = 20 * kMs;  // what goes out so soon counts from when it was decided
constexpr double kRateMemory = 10.0;  // seconds over which a warm server's usual load is remembered
constexpr double kRetryShare = 0.1;   // further attempts a request may cost, on average
constexpr double kRetryStore = 10.0;  // and so many may be saved up
constexpr double kCrowd = 1.25;       // a cache with so many times its part of the work out is passed over
constexpr double kCrowdSlack = 2.0;   // requests of mean size that it may always have out
constexpr double kLimitCut = 0.7;     // of the most work with a fill out lately, when fills come late or fail
constexpr Time kLimitPause = 300 * kMs;  // between two cuts
constexpr double kLimitGrow = 0.6;       // of the work of each fill in time
constexpr double kLateShare = 0.1;       // of fills; fewer late ones cut nothing
constexpr double kLateSmooth = 0.06;     // weight of a fill in it: single late answers are no crowd
constexpr double kLimitLeast = 2.0;      // requests of mean size, over the root of the location's fronts
constexpr double kLinksSmooth = 0.15;    // weight of an answer in the late share of the links
constexpr double kClearly = 2.0;         // this many times the other parent's time to first byte is slower
// What a refused client is told to stay away, at most. On sockets an overloaded centre kept more the longer
// it was: 0.83, 0.87, 0.87, 0.88 for 0, 250, 500, 1,000 ms. The simulator's overloaded days lose up to 0.05.
constexpr Time kComeBack = kSecond;
constexpr Time kAskAgain = kSecond;  // a failed call to discovery is repeated after this

std::uint64_t mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t hash_of(const std::string& s) {
  std::uint64_t h = 1469598103934665603ULL;
  for (const char c : s) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return mix(h);
}

// Exact counts, the heap of the K hottest that are not admitted, and the rounds that swap.
class Hotness {
 public:
  using Key = std::uint64_t;

  void count(Key key, Time now) {
    advance(now);
    Entry& e = table_[key];
    if (e.admitted) admitted_.erase({e.count, key});
    if (e.in_heap) heap_.erase({e.count, key});
    e.count += kOne;
    if (e.admitted) {
      admitted_.insert({e.count, key});
    } else if (e.in_heap || heap_.size() < kTop) {
      push(key, e);
    } else if (e.count > heap_.begin()->first) {
      table_[heap_.begin()->second].in_heap = false;
      heap_.erase(heap_.begin());
      push(key, e);
    }
  }
  bool admitted(Key key) const {
    const auto it = table_.find(key);
    return it != table_.end() && it->second.admitted;
  }
  std::vector<Counted> hottest() const {
    std::vector<Counted> all;
    for (const auto& [key, e] : table_) {
      if (e.admitted || e.in_heap) all.push_back({key, e.count, e.admitted});
    }
    return all;
  }
  // Into what is counted here, which goes before it.
  void take(const std::vector<Counted>& all) {
    for (const Counted& c : all) {
      Order& order = c.admitted ? admitted_ : heap_;
      if (order.size() >= (c.admitted ? kSetTimesTop * kTop : kTop) || table_.contains(c.key)) continue;
      table_[c.key] = {c.count, c.admitted, !c.admitted};
      order.insert({c.count, c.key});
    }
  }

 private:
  struct Entry {
    std::uint32_t count = 0;
    bool admitted = false;
    bool in_heap = false;
  };
  using Order = std::set<std::pair<std::uint32_t, Key>>;  // ordered, so its first is the heap's top

  void push(Key key, Entry& e) {
    e.in_heap = true;
    heap_.insert({e.count, key});
  }
  void advance(Time now) {
    if (next_round_ == 0) {
      next_round_ = now + kRoundGap;
      next_halving_ = now + kHalving;
    }
    if (now >= next_round_) {
      round();
      next_round_ = now + kRoundGap;
    }
    for (; now >= next_halving_ && !table_.empty(); next_halving_ += kHalving) halve();
    if (now >= next_halving_) next_halving_ = now + kHalving;
    if (table_.size() > kMaxCounted) halve();
  }
  void round() {
    while (!heap_.empty() && admitted_.size() < kSetTimesTop * kTop) admit(std::prev(heap_.end()));
    // Pool the K coldest admitted with the heap; the hottest of the pool are in. Both are ordered, so
    // that is: swap the hottest candidate for the coldest admitted while it is hotter.
    for (std::size_t n = 0; n < kTop && !heap_.empty(); ++n) {
      const auto hot = std::prev(heap_.end());
      const auto cold = admitted_.begin();
      if (hot->first <= cold->first) break;
      const auto out = *cold;
      admitted_.erase(cold);
      table_[out.second].admitted = false;
      admit(hot);
      push(out.second, table_[out.second]);
    }
  }
  void admit(Order::iterator it) {
    const auto entry = *it;
    heap_.erase(it);
    Entry& e = table_[entry.second];
    e.in_heap = false;
    e.admitted = true;
    admitted_.insert(entry);
  }
  void halve() {
    heap_.clear();
    admitted_.clear();
    for (auto it = table_.begin(); it != table_.end();) {
      Entry& e = it->second;
      e.count /= 2;
      if (e.count < kLeast) {
        it = table_.erase(it);
        continue;
      }
      if (e.admitted) admitted_.insert({e.count, it->first});
      if (e.in_heap) heap_.insert({e.count, it->first});
      ++it;
    }
  }

  std::map<Key, Entry> table_;
  Order heap_, admitted_;
  Time next_round_ = 0, next_halving_ = 0;
};

void add(Health& h, bool failed, double weight = 1.0) {
  h.failing += kFailSmooth * weight * ((failed ? 1.0 : 0.0) - h.failing);
}

enum class Role { kCache, kParent, kOrigin };

struct Server : Experience {
  Member m;
  Role role = Role::kCache;
  std::uint64_t hash = 0;
  bool listed = false;
  double open = 0.0;  // work that this front has out there

  bool up() const { return listed && m.state == State::kUp; }
  void served(Time now, double work) {  // asked-for work would overstate what a crowded server can do
    decay(now);
    rate += work / kRateMemory;
  }
  void decay(Time now) {
    rate *= std::exp(-static_cast<double>(now - rated) / (kRateMemory * kSecond));
    rated = now;
  }
};

struct Try {
  Server* server = nullptr;
  Server* source = nullptr;
  Time at = 0;
  Time charged_at = 0;  // what is charged to the budgets of server and source
  double charged = 0.0, charged_source = 0.0;
  double work = 0.0;
  bool fill = true;        // a miss may be filled
  bool held_only = false;  // from what a parent holds, not by way of the origin
  bool overdue = false;    // already counted as late
  bool open = true;
  bool may_have_run = true;
  bool unexplained = false;     // an error that may be the request's own fault
  Status status = Status::kOk;  // how it ended
  bool lacked() const { return held_only && status == Status::kMiss; }
};

struct Held {
  Request r;
  Time arrived = 0;
  Time wanted = 0;  // by then, by the settings of its arrival
  std::vector<Try> tries;
  bool stale_ok = false;
};

}  // namespace

struct Control::Impl {
  Settings s;
  std::uint64_t random;
  Hotness hotness;
  std::map<std::string, Server> servers;
  // Who may be asked, in the order of ids; made anew when the list changes, so that a request walks none of
  // the fleet beyond its own location and the parents.
  std::vector<Server*> caches, parents;
  Server* origin = nullptr;
  std::map<std::uint64_t, Held> held;
  std::set<std::pair<Time, std::uint64_t>> due;  // when each of them is wanted
  RecentPurges purges;
  OriginThrottle from_origin;
  double links_late = 0.0;       // smoothed share of what parents held that came late
  double retries = kRetryStore;  // further attempts in hand: a crowd must not be answered with more load
  std::vector<std::pair<double, double>> class_work;  // per class: sum of sending times, requests

  explicit Impl(const Settings& settings) : random(settings.seed) { retune(settings); }

  // What was learned stays, and so do the terms of requests that carry theirs.
  void retune(const Settings& settings) {
    s = settings;
    if (s.classes.empty()) s.classes.emplace_back();
    class_work.resize(std::max(class_work.size(), s.classes.size()));
  }
  std::size_t place(const Request& r) const {
    return r.cls >= 0 && r.cls < static_cast<int>(s.classes.size()) ? static_cast<std::size_t>(r.cls) : 0;
  }
  const ClassSettings& cls(const Request& r) const { return r.terms ? *r.terms : s.classes[place(r)]; }
  double work_of(const Request& r) const {  // seconds that it takes to send to a client
    return s.client_kb_per_s > 0.0 ? r.size_kb / s.client_kb_per_s : 0.0;
  }
  double mean_work(const Request& r) const {
    const auto& [sum, n] = class_work[place(r)];
    return n > 0.0 ? sum / n : work_of(r);
  }
  double draw() { return static_cast<double>((random = mix(random)) >> 11) * 0x1.0p-53; }
  // At this location; where that is not told all may be, and a cold server bears the sum of what they send.
  int fronts_here() const {
    const auto zone = static_cast<std::size_t>(s.zone);
    return std::max(1, zone < s.zone_fronts.size() ? s.zone_fronts[zone] : s.fronts);
  }
  double mean_work() const {  // of all classes
    double sum = 0.0, n = 0.0;
    for (const auto& [work, count] : class_work) {
      sum += work;
      n += count;
    }
    return n > 0.0 ? sum / n : 0.0;
  }
  double aim_of(const Request& r) const {  // how long an answer may take for the full worth
    const ClassSettings& c = cls(r);
    return static_cast<double>(c.aim) + c.aim_stretch * work_of(r) * kSecond;
  }
  Time wanted_by(const Held& h) const {
    const double aim = aim_of(h.r);
    const Time left = std::max<Time>(0, h.r.give_up_at - h.arrived);
    return h.arrived + (aim < static_cast<double>(left) ? static_cast<Time>(aim) : left);
  }

  // ---- Membership. A drained or gone server is never named again from the moment we hear of it (rule 3).
  void members(ListKind kind, const std::vector<Member>& list) {
    if (kind == ListKind::kFailed) return;
    if (kind != ListKind::kChanges) {
      for (auto& [id, server] : servers) server.listed = false;
    }
    for (const Member& m : list) {
      Server& server = servers[m.id];
      if (server.m.started_at != m.started_at) {  // a new process: what was learned is of the old one
        server.asked = server.sourced = Health{};
        server.first_byte = Smoothed{};
      }
      if (server.m.id.empty()) server.hash = hash_of(m.id);
      server.m = m;
      server.listed = m.state != State::kGone;
      server.role = m.kind == s.origin_kind   ? Role::kOrigin
                    : m.kind == s.parent_kind ? Role::kParent
                                              : Role::kCache;
    }
    if (servers.size() > kMaxServers) drop_gone();
    caches.clear();
    parents.clear();
    origin = nullptr;
    for (auto& [id, server] : servers) {
      if (!server.up()) continue;
      const bool serves = server.m.zone == s.zone || server.m.guest;
      if (server.role == Role::kCache && serves) caches.push_back(&server);
      if (server.role == Role::kParent) parents.push_back(&server);
      if (server.role == Role::kOrigin && origin == nullptr) origin = &server;
    }
  }
  void drop_gone() {
    std::set<const Server*> named;
    for (const auto& [id, h] : held) {
      for (const Try& t : h.tries) named.insert({t.server, t.source});
    }
    std::erase_if(servers, [&](const auto& kv) { return !kv.second.listed && !named.contains(&kv.second); });
  }

  // ---- What is learned, for a further process of this front, and taken by one that knows nothing yet. The
  // list goes before it: nothing is taken of a server that is not listed, or of another process of it.
  Learned learned() const {
    Learned all{{}, hotness.hottest(), from_origin, links_late, retries};
    for (const auto& [id, server] : servers) {
      if (server.listed) all.servers[id] = {server.m.started_at, server};
    }
    return all;
  }
  void learn(const Learned& all) {
    for (const auto& [id, of] : all.servers) {
      const auto it = servers.find(id);
      if (it == servers.end() || it->second.m.started_at != of.process || it->second.answered > 0) continue;
      static_cast<Experience&>(it->second) = of.what;
      it->second.crowd.filling = 0.0;  // what is out there now is the other's
    }
    hotness.take(all.objects);
    static_cast<Pace&>(from_origin) = all.origin;
    links_late = all.links_late;
    retries = std::min(kRetryStore, all.retries);
  }

  // ---- Purges (rule 5): no copy older than the purge will do, for as long as one may be left anywhere.
  void purged(Time now, const Purge& p) {
    purges.add(p, now - p.age);
    if (p.whole_group && p.age < kSecond) from_origin.purged(now, draw());
    purges.forget(now - s.purge_settle - kSecond);
  }
  // The oldest copy that will do; 0 only where no purge and no grace narrows or widens the default, and for
  // what is never kept.
  Time max_age(Time now, const Held& h) const {
    const ClassSettings& c = cls(h.r);
    if (c.never_kept || h.r.write) return 0;
    Time age = h.stale_ok && c.fresh > 0 && c.grace > 0 ? c.fresh + c.grace : 0;
    const Time at = purges.last(h.r.object, h.r.group);
    if (at != 0 && now <= at + s.purge_settle + kSecond) {
      const Time bound = std::max<Time>(1, now - at - kMs);
      const Time usual = age != 0 ? age : c.fresh;
      age = usual != 0 ? std::min(usual, bound) : bound;
    }
    return age;
  }

  // ---- Cold budgets (rule 4).
  double usual_rate(Role role, Time now) {
    double sum = 0.0;
    int n = 0;
    for (Server* server : role == Role::kCache ? caches : parents) {
      if (cold_share(*server, now) < 1.0) continue;
      server->decay(now);
      sum += server->rate;
      ++n;
    }
    return n > 0 ? sum / n : 0.0;
  }
  double cold_share(const Server& server, Time now) const {
    const bool parent = server.role == Role::kParent;
    const Time ramp = parent ? s.parent_ramp : s.ramp;
    const double from = parent ? s.parent_cold_from : s.cold_from;
    const Time age = now - server.m.started_at;
    if (server.role == Role::kOrigin || server.m.started_at == 0 || age >= ramp || ramp <= 0) return 1.0;
    return from + (1.0 - from) * std::max(0.0, static_cast<double>(age) / static_cast<double>(ramp));
  }
  bool fits(Server& server, Time now, double work) {
    const double share = cold_share(server, std::max(server.m.started_at, now - s.fall_window));
    server.sent.forget(now - s.fall_window);
    if (share >= 1.0 || s.fall_window <= 0) return true;
    const bool parent = server.role == Role::kParent;
    const double multiple = parent ? s.parent_fall_multiple : s.fall_multiple;
    if (multiple <= 0.0) return true;
    // A cache is named by its own location's fronts alone, a parent by all.
    const int fronts = parent ? std::max(1, s.fronts) : fronts_here();
    const double part = s.scales == Scales::kNone ? usual_rate(server.role, now) : server.m.scale / fronts;
    const double window = static_cast<double>(s.fall_window) / kSecond;
    const double budget = kColdMargin * multiple * share * part * window;
    const double mean = mean_work();
    if (!parent || budget >= mean || mean <= 0.0) return server.sent.sum + work <= budget;
    // A part under one request would round up to a request each, or shut the parent out. So the fronts take
    // turns, by a shift that all draw alike: in each slot as many as half the budget of all has mean requests
    // for (a window sees two slots) have it to share, and what one does not use in its turn is lost.
    const double all = budget * fronts / 2.0;
    const double many = std::max(1.0, std::floor(all / mean));
    const std::uint64_t shift = mix(static_cast<std::uint64_t>(now / s.fall_window) ^ server.hash);
    const auto count = static_cast<std::uint64_t>(fronts);
    const std::uint64_t place = (shift % count + static_cast<std::uint64_t>(std::max(0, s.index))) % count;
    return static_cast<double>(place) < many && server.sent.sum + work <= all / many;
  }

  void charge(Try& t, Time now) {
    t.charged_at = now;
    t.server->sent.add(now, s.fall_window, t.charged);
    if (t.charged_source > 0.0) t.source->sent.add(now, s.fall_window, t.charged_source);
  }
  void take_back_charge(const Try& t) {
    t.server->sent.take_back(t.charged_at, t.charged);
    if (t.charged_source > 0.0) t.source->sent.take_back(t.charged_at, t.charged_source);
  }
  // An attempt's bytes are about to go out. A cold server's budget is of what reaches it: what has waited for
  // its connection counts from now on, and goes only if it still fits.
  bool may_begin(Time now, Held& h) {
    if (h.tries.empty() || !h.tries.back().open) return true;
    Try& t = h.tries.back();
    const bool source_counts = t.charged_source > 0.0;
    const bool cold = cold_share(*t.server, now) < 1.0 || (source_counts && cold_share(*t.source, now) < 1.0);
    if (!cold || now - t.charged_at <= kPromptly) return true;
    take_back_charge(t);
    if (fits(*t.server, now, t.charged) && (!source_counts || fits(*t.source, now, t.charged_source))) {
      charge(t, now);
      return true;
    }
    t.charged = t.charged_source = 0.0;
    return false;
  }

  // ---- Health: ejects the failing and the slow, at most half of a group, and lets a trickle through.
  bool usable(Server& server, Health Server::*role, const std::vector<Server*>& group, Time now) {
    Health& h = server.*role;
    std::vector<double> slow;
    std::size_t out = 0;
    for (Server* other : group) {
      if ((other->*role).slowness.known) slow.push_back((other->*role).slowness.value);
      if (other != &server && (other->*role).out) ++out;
    }
    bool bad = h.failing > kFailing;
    if (h.slowness.known && slow.size() > 1) {
      std::nth_element(slow.begin(), slow.begin() + (slow.size() - 1) / 2, slow.end());
      bad = bad || h.slowness.value > kSlow * std::max(1.0, slow[(slow.size() - 1) / 2]);
    }
    h.out = bad && 2 * (out + 1) <= group.size();
    if (!h.out || now < h.next_trial) return !h.out;
    h.next_trial = now + kTrial;
    return true;
  }

  // ---- Routing: the edge cache by weighted rendezvous hash, so that little moves when one comes or goes.
  static std::uint64_t route_key(const Request& r) {
    return mix(r.object ^ mix(static_cast<std::uint64_t>(r.part) + 1));
  }
  static std::uint64_t count_key(const Request& r) { return r.object; }

  // An object passes through once at its location. Of n fronts there, each sees an n-th of the requests: what
  // is new to one is the location's first request by the chance of 1 in n, drawn by front and object.
  bool first_at_location(const Request& r) const {
    return mix(count_key(r) ^ s.seed) % static_cast<std::uint64_t>(fronts_here()) == 0;
  }

  static bool tried(const Held& h, const Server* server) {
    return std::any_of(h.tries.begin(), h.tries.end(),
                       [&](const Try& t) { return t.server == server && !t.lacked(); });
  }
  static bool tried_source(const Held& h, const Server* server) {
    return std::any_of(h.tries.begin(), h.tries.end(),
                       [&](const Try& t) { return t.source == server && !t.lacked(); });
  }

  double scale_of(const Server& server) const {
    return (s.scales == Scales::kNone || server.m.scale <= 0.0 ? 1.0 : server.m.scale) * server.m.share;
  }
  // An attempt is no longer out.
  void close(Try& t) {
    if (t.open) t.server->open = std::max(0.0, t.server->open - t.work);
    if (t.open && t.fill) t.server->crowd.filling = std::max(0.0, t.server->crowd.filling - t.work);
    t.open = false;
  }
  void drop(std::uint64_t id) {
    const auto it = held.find(id);
    if (it == held.end()) return;
    for (Try& t : it->second.tries) close(t);
    due.erase({it->second.wanted, id});
    held.erase(it);
  }

  Server* pick_cache(Time now, const Held& h) {
    std::vector<std::pair<double, Server*>> order;
    for (Server* server : caches) {
      const double u = (static_cast<double>(mix(route_key(h.r) ^ server->hash) >> 11) + 0.5) * 0x1.0p-53;
      order.emplace_back(-std::log(u) / scale_of(*server), server);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
      return a.first < b.first || (a.first == b.first && a.second->m.id < b.second->m.id);
    });
    double open = work_of(h.r), scales = 0.0;
    for (const Server* server : caches) {
      open += server->open;
      scales += scale_of(*server);
    }
    Server* crowded = nullptr;
    Server* second = nullptr;
    Server* last = nullptr;
    for (const auto& [score, server] : order) {
      if (!may_send(h, *server, now) || !fits(*server, now, mean_work(h.r))) continue;
      if (!tried(h, server)) {
        if (usable(*server, &Server::asked, caches, now)) {
          // Bounded load: an object too hot for one cache goes to the next ones too. Also meets a cache that
          // became slow before health shows it. Costs a second copy where it acts.
          const double part = kCrowd * open * scale_of(*server) / scales + kCrowdSlack * mean_work(h.r);
          if (server->open + work_of(h.r) <= part) return server;
          if (crowded == nullptr) crowded = server;
          continue;
        }
        if (second == nullptr) second = server;
      }
      if (last == nullptr) last = server;
    }
    if (crowded != nullptr) return crowded;
    return second != nullptr ? second : last;
  }

  // ---- Source: the two parents are drawn by the part's hash, and its home is taken unless the other is
  // clearly faster by smoothed time to first byte. Two drawn afresh for each request, or always the faster,
  // had many parents fetch the same objects from the origin.
  Server* pick_parent(Time now, const Held& h) {
    const int hub = static_cast<std::size_t>(s.zone) < s.zone_hub.size() ? s.zone_hub[s.zone] : -1;
    std::vector<Server*> near, far;
    double sum = 0.0;
    int known = 0;
    const double work = std::max(work_of(h.r), mean_work(h.r));
    for (Server* server : parents) {
      if (server->first_byte.known) {
        sum += server->first_byte.value;
        ++known;
      }
      if (tried_source(h, server) || !fits(*server, now, work)) continue;
      std::vector<Server*>& pool = server->m.zone == hub ? near : far;
      if (usable(*server, &Server::sourced, parents, now)) pool.push_back(server);
    }
    std::vector<Server*>& pool = near.empty() ? far : near;
    if (pool.empty()) return nullptr;
    const auto home = [&](const Server* p) { return mix(route_key(h.r) ^ p->hash); };
    const auto two = pool.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(2, pool.size()));
    std::partial_sort(pool.begin(), two, pool.end(),
                      [&](const Server* x, const Server* y) { return home(x) < home(y); });
    Server* first = pool[0];
    if (pool.size() == 1) return first;
    Server* other = pool[1];
    const double average = known > 0 ? sum / known : 0.0;
    const auto time = [&](const Server* p) { return p->first_byte.known ? p->first_byte.value : average; };
    return time(first) > kClearly * time(other) ? other : first;
  }

  // ---- Attempts. Rule 2: whether a further attempt, or a refusal, can do no harm.
  bool may_send(const Held& h, const Server& to, Time now) const {
    const ClassSettings& c = cls(h.r);
    if (const Time by = repeat_by(h); by != 0 && now >= by) return false;
    for (const Try& t : h.tries) {
      if (t.open && !s.second_copies) return false;
      if (c.repeat == Repeat::kSafe || (!t.open && !t.may_have_run)) continue;
      if (c.repeat == Repeat::kUnsafe) return false;
      if (c.key_scope == KeyScope::kZone && to.m.zone != t.server->m.zone) return false;
      if (c.key_scope == KeyScope::kCell && to.m.cell != t.server->m.cell) return false;
    }
    return true;
  }
  // Until when it may be repeated: a key is remembered for so long from the first attempt that may have run.
  // 0: no such bound. What waits for a connection must not go out later either.
  Time repeat_by(const Held& h) const {
    const ClassSettings& c = cls(h.r);
    if (c.repeat != Repeat::kKeyed) return 0;
    for (const Try& t : h.tries) {
      if (t.open || t.may_have_run) return t.at + c.key_ttl;
    }
    return 0;
  }
  bool may_refuse(const Held& h) const {
    const ClassSettings& c = cls(h.r);
    if (c.repeat == Repeat::kSafe || (c.repeat == Repeat::kKeyed && c.key_scope == KeyScope::kAll))
      return true;
    return std::none_of(h.tries.begin(), h.tries.end(),
                        [](const Try& t) { return t.open || t.may_have_run; });
  }

  void finish(Held& h, Actions& out, Why why) {
    const std::uint64_t id = h.r.id;
    if (may_refuse(h)) {
      out.push_back(Refuse{id, std::min(kComeBack, s.max_retry_after), why});
    } else {
      out.push_back(Fail{id, why});
    }
    drop(id);
  }

  void attempt(Time now, Held& h, Actions& out) {
    const ClassSettings& c = cls(h.r);
    const bool kept = !c.never_kept && !h.r.write;
    const Time last = h.r.give_up_at - 2 * s.tick - kMs;  // an outcome by then can still be answered in time
    const Time sending = static_cast<Time>(work_of(h.r) * kSecond);  // nothing is sent to a client faster
    if (now + sending >= last || static_cast<int>(h.tries.size()) >= c.max_attempts)
      return finish(h, out, Why::kNoTime);
    // A connection's end is no sign of a crowd: what follows it is not held back.
    const bool free = h.tries.empty() || h.tries.back().status == Status::kReset || h.tries.back().lacked();
    if (!free && retries < 1.0) return finish(h, out, Why::kNoRetries);
    Server* server = pick_cache(now, h);
    Server* source = nullptr;
    if (kept) source = pick_parent(now, h);
    if (source == nullptr) source = origin;
    if (server == nullptr && s.direct && source != nullptr && may_send(h, *source, now)) {
      server = source;
      source = origin != nullptr ? origin : source;
    }
    if (server == nullptr) return finish(h, out, Why::kNoServer);
    if (source == nullptr) source = server;
    const bool admitted = kept && hotness.admitted(count_key(h.r));
    Try t;
    t.work = work_of(h.r);
    // Crowded fills: what is held is still served, a miss is answered at once and costs the links nothing.
    // One fill at an idle cache always passes: a limit below a large part would shut it out and never grow.
    Crowd& crowd = server->crowd;
    t.fill = crowd.limit <= 0.0 || !kept || crowd.filling <= 0.0 || crowd.filling + t.work <= crowd.limit;
    if (!t.fill && server->role != Role::kCache) return finish(h, out, Why::kCrowdedFills);
    if (!t.fill) {
      source = server;
      h.stale_ok = true;  // an old copy within its grace beats a refusal
    }
    const bool lacked = !h.tries.empty() && h.tries.back().lacked();  // a token was taken for what follows
    if (t.fill && kept && !lacked && from_origin.paced(now)) {
      t.held_only = true;
      h.stale_ok = h.stale_ok || from_origin.tokens < 1.0;
      if (source->role == Role::kOrigin) source = server;
    }
    Attempt a;
    a.id = h.r.id;
    a.held_only = t.held_only;
    a.server = server->m.id;
    a.source = source->m.id;
    const int early = kept && !first_at_location(h.r) ? kRankEarly : 0;
    a.rank = server->role != Role::kCache ? 0 : admitted ? kRankAdmitted : early;
    a.max_age = max_age(now, h);
    a.join = s.joins && kept;
    const Time half = now + (last - now) / 2;
    const bool more = static_cast<int>(h.tries.size()) + 1 < c.max_attempts;
    const Time fair_end = now + static_cast<Time>(aim_of(h.r));
    a.until = more ? std::min(last, std::max({half, h.wanted, fair_end})) : last;
    a.begin_by = repeat_by(h);
    t.server = server;
    t.source = source;
    t.at = now;
    const double mean = mean_work(h.r);
    t.charged = server->role == Role::kParent ? std::max(work_of(h.r), mean) : mean;
    if (source != server && source->role != Role::kOrigin) t.charged_source = std::max(work_of(h.r), mean);
    charge(t, now);
    if (!free) retries -= 1.0;
    server->open += t.work;
    if (t.fill) {
      crowd.filling += t.work;
      const double faded = crowd.peak * std::exp2(-static_cast<double>(now - crowd.peak_at) / kSecond);
      crowd.peak = std::max(crowd.filling, faded);
      crowd.peak_at = now;
    }
    h.tries.push_back(t);
    out.push_back(a);
  }

  void outcome(Time now, const Outcome& o, Actions& out) {
    const auto it = held.find(o.id);
    if (it == held.end()) return;
    Held& h = it->second;
    if (o.attempt < 0 || o.attempt >= static_cast<int>(h.tries.size())) return;
    Try& t = h.tries[static_cast<std::size_t>(o.attempt)];
    limit_fills(now, h, t, o);
    close(t);
    t.status = o.status;
    t.may_have_run = o.status != Status::kFull && o.status != Status::kConnectFailed &&
                     o.status != Status::kMoot && o.status != Status::kMiss;
    const bool answer = o.status != Status::kTimeout && o.status != Status::kCancelled &&
                        o.status != Status::kMoot && o.status != Status::kConnectFailed;
    if (answer) t.server->answered = now;
    learn(now, h, t, o);
    if (o.closed) return drop(o.id);
    if (o.status == Status::kMiss && !t.fill) return finish(h, out, Why::kCrowdedFills);
    if (t.lacked() && !from_origin.take(now)) return finish(h, out, Why::kWeakOrigin);
    if (std::any_of(h.tries.begin(), h.tries.end(), [](const Try& x) { return x.open; })) return;
    const auto errors =
        std::count_if(h.tries.begin(), h.tries.end(), [](const Try& x) { return x.unexplained; });
    if (errors >= kMostErrors) return finish(h, out, Why::kErrors);
    attempt(now, h, out);
  }

  // The limit of work out with a fill allowed: cut when fills come late or fail, grown while in time.
  void limit_fills(Time now, const Held& h, const Try& t, const Outcome& o) {
    const bool ok = o.status == Status::kOk;
    const bool failed =
        o.note == Note::kOriginFailed || (!ok && t.source->role == Role::kOrigin &&
                                          (o.note == Note::kSourceRefused || o.note == Note::kSourceFailed));
    if (failed || o.note == Note::kFilledByOrigin) {
      const bool gave = ok && now <= h.wanted;
      if (!t.overdue && (failed || gave || links_late < kWeakShare))
        from_origin.ended(now, t.at, gave, draw());
      if (failed) return;  // says nothing of the links
    }
    // What parents held comes late where the links are crowded: then lateness is no sign of a weak origin.
    const double late = now > h.wanted ? 1.0 : 0.0;
    if (ok && o.note == Note::kFilled) links_late += kLinksSmooth * (late - links_late);
    if (!t.fill || t.overdue || (ok && (o.note == Note::kHit || o.note == Note::kStale))) return;
    if (o.status == Status::kTimeout && !fair(h, o)) return;
    if (o.status == Status::kTimeout && (t.server->answered < t.at || t.server->asked.out))
      return;  // one hangs
    if (ok && now <= h.wanted) {
      Crowd& crowd = t.server->crowd;
      crowd.late_share -= kLateSmooth * crowd.late_share;
      if (crowd.limit > 0.0 && crowd.filling > crowd.limit / 2.0) crowd.limit += kLimitGrow * t.work;
    } else if (ok || o.status == Status::kTimeout || o.status == Status::kFull) {
      fill_late(now, t);
    }
  }
  // Some clients wait for less than any cache needs; only an attempt that had its time shows a slow one.
  bool fair(const Held& h, const Outcome& o) const {
    return static_cast<double>(o.elapsed) >= kFairTime * aim_of(h.r);
  }
  void fill_late(Time now, const Try& t) {
    Crowd& crowd = t.server->crowd;
    crowd.late_share += kLateSmooth * (1.0 - crowd.late_share);
    if (crowd.late_share <= kLateShare || now < crowd.next_cut) return;
    crowd.next_cut = now + kLimitPause;
    const double from = crowd.limit > 0.0 ? std::min(crowd.limit, crowd.peak) : crowd.peak;
    crowd.limit = std::max(kLimitLeast * mean_work() / std::sqrt(fronts_here()), kLimitCut * from);
  }
  // A fill that is overdue counts as late at once: where all is slow, its end is seconds off.
  void find_overdue(Time now) {
    while (!due.empty() && due.begin()->first < now) {
      const auto it = held.find(due.begin()->second);
      due.erase(due.begin());
      Try* t = it == held.end() || it->second.tries.empty() ? nullptr : &it->second.tries.back();
      if (t == nullptr || !t->open || !t->fill || t->server->answered < t->at || t->server->asked.out)
        continue;
      t->overdue = true;
      if (!t->held_only && links_late < kWeakShare) from_origin.ended(now, t->at, false, draw());
      fill_late(now, *t);
    }
  }

  void learn(Time now, const Held& h, Try& t, const Outcome& o) {
    const bool ok = o.status == Status::kOk;
    const bool no_fill = o.note == Note::kHit || o.note == Note::kStale;
    if ((ok && no_fill) || o.status == Status::kConnectFailed || o.status == Status::kMoot) {
      if (t.charged_source > 0.0) t.source->sent.take_back(t.charged_at, t.charged_source);  // never asked
      t.charged_source = 0.0;
    }
    if (o.status == Status::kCancelled || o.status == Status::kMoot || o.status == Status::kMiss) return;
    if (o.status == Status::kTimeout && !fair(h, o)) return;
    const double elapsed = static_cast<double>(o.elapsed) / kSecond;
    const double work = work_of(h.r);
    if (ok) {
      // What one could serve, the other should have; and it was worth asking on.
      for (const Try& x : h.tries) {
        if (!x.unexplained) continue;
        retries = std::min(kRetryStore, retries + 1.0);
        if (x.server != t.server) blame(x, s.notes != Notes::kAll, false);
      }
      add(t.server->asked, false);
      t.server->served(now, work);
      if (!no_fill && o.note != Note::kJoined && t.source != t.server) t.source->served(now, work);
      if (o.note != Note::kHit && o.note != Note::kStale && o.note != Note::kJoined && t.source != t.server) {
        add(t.source->sourced, false);
        t.source->first_byte.add(
            o.first_byte > 0 ? static_cast<double>(o.first_byte) / kSecond : std::max(0.0, elapsed - work),
            kSmooth);
      }
      if (no_fill || s.notes == Notes::kNone)
        t.server->asked.slowness.add(elapsed / (work + kHandling), kSmooth);
      return;
    }
    if (o.note == Note::kNoFillPlace) return;
    if (o.note == Note::kOriginFailed) return;
    const bool source_fault = o.note == Note::kSourceRefused || o.note == Note::kSourceFailed;
    // It may be the request that can't be served by anyone. Another attempt will tell.
    t.unexplained = o.status == Status::kError && !source_fault;
    if (t.unexplained) return;
    const bool unclear =
        o.status == Status::kTimeout ||
        (s.notes != Notes::kAll && o.status != Status::kConnectFailed && o.status != Status::kReset);
    if (o.status == Status::kTimeout && !t.fill) {  // no fill was in it: that cache is slow
      add(t.server->asked, true);
      t.server->asked.slowness.add(elapsed / (work + kHandling), kSmooth);
      return;
    }
    blame(t, unclear, source_fault);
  }
  static void blame(const Try& t, bool unclear, bool source_fault) {
    if (source_fault || unclear) add(t.source->sourced, true, source_fault ? 1.0 : kUnclear);
    if (!source_fault) add(t.server->asked, true, unclear ? kUnclear : 1.0);
  }
};

Control::Control(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Control::~Control() = default;
Control::Control(Control&&) noexcept = default;
Control& Control::operator=(Control&&) noexcept = default;

void Control::members(Time, ListKind kind, const std::vector<Member>& list, Actions& out) {
  impl_->members(kind, list);
  if (impl_->s.push) return;
  if (kind == ListKind::kSaved) out.push_back(Subscribe{});
  if (kind == ListKind::kFailed) out.push_back(Alarm{kAskAgain, 0});
}

void Control::retune(const Settings& settings) { impl_->retune(settings); }

Learned Control::learned() const { return impl_->learned(); }

void Control::learn(const Learned& learned) { impl_->learn(learned); }

void Control::request(Time now, const Request& request, Actions& out) {
  Impl& i = *impl_;
  i.drop(request.id);  // ids are never repeated; if one is, the older is over
  i.find_overdue(now);
  Held& h = i.held[request.id];
  h.r = request;
  h.arrived = now;
  auto& [sum, n] = i.class_work[i.place(request)];
  sum += i.work_of(request);
  n += 1.0;
  i.retries = std::min(kRetryStore, i.retries + kRetryShare);
  h.wanted = i.wanted_by(h);
  i.due.insert({h.wanted, request.id});
  const bool kept = !i.cls(request).never_kept && !request.write;
  i.attempt(now, h, out);
  if (kept) i.hotness.count(Impl::count_key(request), now);
}

void Control::started(Time, std::uint64_t, int, Actions&) {}  // the outcome will tell how it went

void Control::outcome(Time now, const Outcome& outcome, Actions& out) { impl_->outcome(now, outcome, out); }

void Control::abandoned(Time, std::uint64_t id, Actions&) { impl_->drop(id); }

void Control::alarm(Time, std::uint64_t, Actions& out) { out.push_back(Subscribe{}); }

void Control::probed(Time, const std::string&, Status, const LoadReport&, Actions&) {}

void Control::told(Time, int, const std::string&, Actions&) {}

bool Control::may_begin(Time now, std::uint64_t id) {
  const auto it = impl_->held.find(id);
  return it != impl_->held.end() && impl_->may_begin(now, it->second);
}

Time Control::max_age(Time now, std::uint64_t id) const {
  const auto it = impl_->held.find(id);
  return it == impl_->held.end() ? 0 : impl_->max_age(now, it->second);
}

void Control::purged(Time now, const Purge& purge, Actions&) { impl_->purged(now, purge); }

}  // namespace anisewick
