#include "fleet/member/member.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::member {

using agreement::Mistake;
using agreement::mistaken;
using membership::Address;
using talk::Talk;
using Verdict = gate::Gate::Verdict;
using Step = ownership::Tenure::Step;
using TenureChange = ownership::Tenure::Change;

namespace {

constexpr std::size_t kFanOut = 3;              // members that news is pushed to, a round
constexpr std::size_t kMostHeld = 1024;         // answers that wait for the disk
constexpr std::size_t kMostCallsWaiting = 512;  // of staff, at one member
constexpr std::size_t kCallsAtOnce = 8;
constexpr std::int64_t kFindMs = 200;  // between two questions for the voters
constexpr std::int64_t kPushMs = 60;   // first, between two tries to bring a call to the owner; doubles
constexpr std::int64_t kMostPushMs = 1000;
constexpr std::int64_t kRanksMs = 100;  // between two looks at who the heirs are
constexpr std::int64_t kHeirsMs = 1000;
constexpr std::int64_t kBehindMs = 60;  // between two rounds of an owner to those who are behind
constexpr std::size_t kBehindAtOnce = 16;
constexpr std::int64_t kSettleLeases = 10;  // so long another must be the first heir before a duty moves
constexpr std::int64_t kHeededMs = 30;      // an answer to the owner waits so long for the disk
constexpr std::int64_t kHeededAgainMs = 500;
constexpr std::int64_t kWordMs = 250;     // between two words on machines in progress
constexpr std::int64_t kWordNewsMs = 30;  // where something has changed
constexpr int kCutOff = 5;                // of Swim's health: it may be we who are cut off

const std::string kDutyKey = "duty.";

std::uint64_t origin_of(const std::string& name) {
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return h;
}

membership::Peer peer_of(const Settings& s, std::uint64_t incarnation) {
  membership::Peer p;
  p.name = s.name;
  p.gossip = s.address;
  p.incarnation = incarnation;
  p.zone = s.zone;
  return p;
}

std::vector<std::string> named(const Settings& s) {
  std::vector<std::string> names;
  for (const auto& [name, address] : s.voters) names.push_back(name);
  const bool among = std::find(names.begin(), names.end(), s.name) != names.end();
  return among ? names : std::vector<std::string>{};
}

// Reckoned from before the first answer could leave: a clock that was set back must not use a number twice.
std::uint64_t serial_after(std::uint64_t serial, std::int64_t unix_ms) {
  return std::max(serial + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, unix_ms)));
}

}  // namespace

Member::Member(const Settings& settings, std::uint64_t session, std::uint64_t incarnation, talk::Saved saved,
               std::uint64_t seed, std::int64_t now_ms)
    : settings_(settings),
      session_(session),
      origin_(origin_of(settings.name)),
      random_(seed),
      swim_(peer_of(settings, incarnation), settings.swim, random_()),
      voter_(settings.name, std::move(saved.voter), named(settings)),
      proposer_(session, settings.proposer, random_()),
      gate_(mistaken(Mistake::kGateForgets) ? gate::Terms{} : std::move(saved.terms)),
      calls_(saved.calls.begin(), saved.calls.end()),
      serial_(saved.serial),
      started_ms_(now_ms) {
  bool gap = false;
  heed_ = order_.take(0, saved.upto, std::move(saved.order), gap);
  durable_ = order_.upto();
  for (const ownership::Duty& duty : settings_.duties) {
    Post p(ownership::Tenure(settings_.name, session, settings_.lease, random_()));
    p.sure = gate_.highest(duty.name) > 0 || mistaken(Mistake::kUnsureHeeds);
    posts_.emplace(duty.name, std::move(p));
  }
  if (posts_.contains(work::kDuty)) {
    crew_ = std::make_unique<work::Crew>(
        settings_.name, session_, settings_.work, saved.work,
        [this](const std::string& machine) {
          const auto id = depot::id_from(machine);
          const orders::Entry* e = id ? order_.of(*id) : nullptr;
          return e == nullptr ? std::pair(false, std::uint64_t{0}) : std::pair(e->held, e->number);
        },
        [this] { return order_.upto(); });
    crew_changed_ = crew_->changed();
  }
  if (posts_.contains(zones::kDuty)) {
    zones_ = std::make_unique<zones::Zones>(settings_.zones, settings_.name,
                                            settings_.home.empty() ? settings_.zone : settings_.home,
                                            session_, saved.zones, now_ms);
    zones_changed_ = zones_->changed();
    if (crew_) {
      crew_->unrest_by([this] {
        for (const zones::Entry& e : zones_->picture().entries) {
          if (e.phase != zones::Phase::kIn) return "the zone " + e.zone + " is " + zones::word(e.phase);
        }
        return std::string();
      });
    }
  }
  swim_.join(settings_.seeds, now_ms);
  if (voter_.founded()) proposer_.know(voter_.saved().fleet, voter_.saved().voters);
}

Member::Post* Member::post(const std::string& duty) {
  const auto it = posts_.find(duty);
  return it == posts_.end() ? nullptr : &it->second;
}

bool Member::owns(const std::string& duty, std::int64_t now_ms) const {
  const auto it = posts_.find(duty);
  return it != posts_.end() && it->second.tenure.owns(now_ms) && !it->second.releasing;
}

std::pair<std::string, std::uint64_t> Member::owner(const std::string& duty) const {
  const auto it = posts_.find(duty);
  return it == posts_.end() ? std::pair<std::string, std::uint64_t>{}
                            : std::pair{it->second.owner, it->second.term};
}

bool Member::ownerless(const std::string& duty, std::int64_t now_ms) const {
  const auto it = posts_.find(duty);
  if (it == posts_.end() || it->second.owner.empty() || it->second.heard_ms < 0) return true;
  return now_ms - it->second.heard_ms > 2 * settings_.lease.lease_ms;
}

// ---- Out.

std::optional<Address> Member::address_of(const std::string& name) const {
  if (const auto it = swim_.members().find(name); it != swim_.members().end()) return it->second.peer.gossip;
  for (const auto& [voter, address] : settings_.voters) {
    if (voter == name) return address;
  }
  return std::nullopt;
}

void Member::say(const Address& to, Talk t) {
  ++(t.kind == Talk::Kind::kAsk ? counters_.asked : counters_.told);
  out_.push_back({to, talk::Packet{settings_.name, std::move(t)}});
}

void Member::say_to(const std::string& name, Talk t) {
  if (const auto to = address_of(name)) say(*to, std::move(t));
}

const membership::Swim::Member* Member::somebody() {
  // One draw, and then on to the next who is there.
  const auto& all = swim_.members();
  if (all.empty()) return nullptr;
  auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(random_() % all.size()));
  for (std::size_t looks = 0; looks < all.size(); ++looks) {
    if (it->second.state == membership::State::kAlive) return &it->second;
    if (++it == all.end()) it = all.begin();
  }
  return nullptr;
}

Talk Member::tell(const std::string& duty, std::uint64_t from) const {
  Talk t;
  t.kind = Talk::Kind::kTell;
  t.duty = duty;
  const Post& p = posts_.at(duty);
  t.term = p.term;
  t.owner = p.owner;
  t.renewal = p.renewal;
  if (duty == kHolds) {
    t.from = std::min(from, order_.upto());
    t.entries = order_.since(t.from, talk::kMostTold, t.to);
  }
  if (duty == work::kDuty && crew_) {
    t.known = std::max(crew_->permit().now().number, crew_->steps().now().number);
  }
  if (duty == zones::kDuty && zones_ && !zones_->picture().plain()) t.word = zones_->tell({}, last_tick_ms_);
  return t;
}

Talk Member::ask(const std::string& duty, bool answer) const {
  Talk t = tell(duty, order_.upto());
  t.kind = Talk::Kind::kAsk;
  if (duty == kHolds) t.known = order_.upto();
  t.entries.clear();
  t.answer = answer;
  return t;
}

void Member::answer(agreement::Voter::Reply reply, const std::string& to, const Address& address) {
  if (mistaken(Mistake::kAnswerBeforeDisk)) reply.version = 0;
  if (held_.size() >= kMostHeld) held_.pop_front();
  held_.push_back({reply.version == 0 ? 0 : version(), to, address, std::move(reply.message)});
}

std::optional<Save> Member::take_save() {
  if (saving_ > persisted_ || version() <= persisted_) return std::nullopt;
  Save save;
  save.version = saving_ = version();
  save.state.voter = voter_.saved();
  // What was met before the register was read is no knowledge that lasts: after a restart it would pass for
  // it.
  save.state.terms = gate_.terms();
  for (const auto& [duty, p] : posts_) {
    if (!p.sure && duty != kHolds) save.state.terms.erase(duty);
  }
  order_saves_.emplace_back(save.version, order_.upto());
  save.state.serial = serial_;
  save.state.calls.assign(calls_.begin(), calls_.end());
  for (const auto& [depot, entry] : order_.entries()) save.state.order.push_back(entry);
  save.state.upto = order_.upto();
  if (crew_) save.state.work = crew_->saved();
  if (zones_) save.state.zones = zones_->saved();
  return save;
}

void Member::persisted(std::uint64_t version, std::int64_t now_ms) {
  persisted_ = std::max(persisted_, version);
  while (!order_saves_.empty() && order_saves_.front().first <= persisted_) {
    durable_ = std::max(durable_, order_saves_.front().second);
    order_saves_.pop_front();
  }
  while (!crew_saves_.empty() && crew_saves_.front().first <= persisted_) {
    crew_->durable(crew_saves_.front().second);
    crew_saves_.pop_front();
  }
  while (!zones_saves_.empty() && zones_saves_.front().first <= persisted_) {
    zones_->durable(zones_saves_.front().second);
    zones_saves_.pop_front();
  }
  settle(now_ms);
}

// ---- In.

void Member::tick(std::int64_t now_ms) {
  last_tick_ms_ = now_ms;
  for (membership::Out& o : swim_.tick(now_ms)) out_.push_back({o.to, std::move(o.message)});
  ranks(now_ms);
  find_voters(now_ms);
  duties(now_ms);
  push_calls(now_ms);
  gossip(now_ms);
  machines(now_ms);
  say_word(now_ms);
  see_zones(now_ms);
  say_heeded(now_ms);
  proposer_.tick(now_ms);
  settle(now_ms);
}

void Member::heard(const membership::Message& message, const Address& from, std::int64_t now_ms) {
  for (membership::Out& o : swim_.heard(message, from, now_ms)) out_.push_back({o.to, std::move(o.message)});
}

void Member::heard(const talk::Packet& packet, const Address& from, std::int64_t now_ms) {
  if (packet.from == settings_.name) return;  // an echo, or a second process of this name
  if (const auto* m = std::get_if<agreement::Message>(&packet.what)) {
    using Kind = agreement::Message::Kind;
    const bool founded = voter_.founded();
    if (auto reply = voter_.heard(packet.from, *m)) answer(std::move(*reply), packet.from, from);
    if (!founded && voter_.founded()) note("founded", {}, 0, {}, "a voter of the fleet from now on");
    if (m->kind == Kind::kInstalled && m->voters) {
      if (!proposer_.know(m->fleet, *m->voters))
        note("other_fleet", {}, 0, packet.from, "it is of another fleet");
    }
    if (packet.from == mover_.in() && (m->kind == Kind::kAbstains || m->kind == Kind::kInstalled) &&
        (m->fleet == 0 || m->fleet == proposer_.fleet()))
      mover_.seat(m->seat);
    proposer_.heard(packet.from, *m, now_ms);
  } else {
    hear(std::get<Talk>(packet.what), packet.from, from, now_ms);
  }
  settle(now_ms);
}

// ---- Agreement.

// Everything that follows from what is known now, until nothing more does.
void Member::settle(std::int64_t now_ms) {
  while (!waiting_.empty() && waiting_.front().version <= persisted_) {
    const Waiting w = std::move(waiting_.front());
    waiting_.pop_front();
    heed(std::get<Talk>(w.packet.what), w.packet.from, w.from, now_ms);
  }
  for (bool again = true; again;) {
    work(now_ms);
    route(now_ms);
    again = false;
    // To its own proposer by hand; the others by the network.
    while (!held_.empty() && held_.front().version <= persisted_) {
      const Held h = std::move(held_.front());
      held_.pop_front();
      if (h.to == settings_.name) {
        again = true;
        if (h.message.kind == agreement::Message::Kind::kInstalled && h.message.voters)
          proposer_.know(h.message.fleet, *h.message.voters);
        proposer_.heard(settings_.name, h.message, now_ms);
      } else {
        out_.push_back({h.address, talk::Packet{settings_.name, h.message}});
      }
    }
    results(now_ms);
  }
  work(now_ms);
  route(now_ms);
}

void Member::route(std::int64_t) {
  for (agreement::Proposer::Out& o : proposer_.take_out()) {
    if (o.to == settings_.name) {
      if (auto reply = voter_.heard(settings_.name, o.message)) {
        answer(std::move(*reply), settings_.name, {});
      }
    } else if (const auto to = address_of(o.to)) {
      out_.push_back({*to, talk::Packet{settings_.name, std::move(o.message)}});
    }
  }
}

void Member::results(std::int64_t now_ms) {
  for (const auto& r : proposer_.take_results()) {
    const auto op = ops_.extract(r.op);
    if (op.empty()) continue;
    if (op.mapped() == Whose::kVoters) {
      if (const auto voters = mover_.settled(r, proposer_.voters())) {
        note("voters", {}, voters->epoch, {}, voters->next.empty() ? "replaced" : "being replaced");
        proposer_.know(proposer_.fleet(), *voters);
        // All hear of it at once; whoever does not is told when it refuses.
        agreement::Message install;
        install.kind = agreement::Message::Kind::kInstall;
        install.fleet = proposer_.fleet();
        install.voters = *voters;
        std::set<std::string> to;
        for (const auto& s : voters->now) to.insert(s.name);
        for (const auto& s : voters->next) to.insert(s.name);
        for (const std::string& name : to) {
          if (name == settings_.name) {
            if (auto reply = voter_.heard(name, install)) answer(std::move(*reply), name, {});
          } else if (const auto at = address_of(name)) {
            out_.push_back({*at, talk::Packet{settings_.name, install}});
          }
        }
      }
      continue;
    }
    if (op.mapped() == Whose::kDuty) {
      const std::string duty = r.key.substr(kDutyKey.size());
      Post* p = post(duty);
      if (p == nullptr || !p->doing) continue;
      const Step step = *std::exchange(p->doing, std::nullopt);
      const TenureChange change = p->tenure.settled(step, r, now_ms);
      // What was to be given up is not, if it could be renewed since.
      const bool known = r.what != agreement::Proposer::Result::What::kUnknown;
      if (step != Step::kRead && known) p->releasing = false;
      const auto& seen = p->tenure.seen();
      if (seen.term >= p->term && !seen.owner.empty()) {
        if (look(duty, seen.term, now_ms) != Verdict::kRefuse) {
          life(*p, seen.owner, seen.term, seen.renewal, now_ms);
        }
      }
      if (known) {
        look(duty, seen.term, now_ms);
        if (!std::exchange(p->sure, true)) dirty();
      }
      became(duty, *p, change, step == Step::kRelease ? "handed over" : "agreed", now_ms);
      continue;
    }
    std::uint64_t higher = 0;
    if (op.mapped() == Whose::kWork) {
      if (!crew_->settled(r, now_ms, higher)) {
        ++counters_.late_refused;
        look(work::kDuty, higher, now_ms);
      }
      continue;
    }
    if (op.mapped() == Whose::kZones) {
      if (!zones_->settled(r, now_ms, higher)) {
        ++counters_.late_refused;
        look(zones::kDuty, higher, now_ms);
      }
      continue;
    }
    if (settler_.settled(r, higher)) continue;
    ++counters_.late_refused;
    look(kHolds, higher, now_ms);
  }
}

// ---- Ownership.

// In a large fleet this is work: only where the membership has changed, and now and then, for members grow
// up.
void Member::reckon_heirs(std::int64_t now_ms) {
  heirs_of_ = swim_.changes() + 1;
  heirs_until_ms_ = now_ms + kHeirsMs;
  std::vector<ownership::Candidate> grown, all;
  const auto add = [&](const membership::Peer& p, std::int64_t up_ms) {
    if (p.draining) return;
    all.push_back({p.name, p.zone, 1.0});
    if (up_ms >= settings_.young_ms) grown.push_back(all.back());
  };
  add(swim_.self(), now_ms - started_ms_);
  for (const auto& [name, m] : swim_.members()) {
    if (m.state != membership::State::kAlive) continue;
    add(m.peer, std::int64_t{1000} * m.peer.up_s + now_ms - m.heard_ms);
  }
  const auto& candidates = grown.empty() ? all : grown;
  heirs_ = ownership::heirs(settings_.duties, candidates);
}

void Member::ranks(std::int64_t now_ms) {
  if (now_ms < next_ranks_ms_) return;
  next_ranks_ms_ = now_ms + kRanksMs;
  if (heirs_of_ != swim_.changes() + 1 || now_ms >= heirs_until_ms_) reckon_heirs(now_ms);
  for (auto& [duty, p] : posts_) {
    ownership::Tenure::View view;
    const auto list = heirs_.find(duty);
    int rank = -1, place = 0;
    std::string first;
    if (list != heirs_.end()) {
      for (const std::string& name : list->second) {
        if (first.empty()) first = name;
        if (name == settings_.name) rank = place;
        // An owner that is silent is no heir of itself.
        if (name != p.tenure.seen().owner || p.tenure.seen().owner == settings_.name) ++place;
      }
    }
    view.rank = rank;
    view.fit = rank >= 0 && !draining_ && swim_.health() < kCutOff;
    view.look_often = p.heard_ms < 0 ? now_ms - started_ms_ > 2 * settings_.lease.lease_ms
                                     : now_ms - p.heard_ms > 3 * settings_.lease.lease_ms;
    // A duty moves slowly, and only to one that has been the first heir all the while.
    const bool other = !first.empty() && first != settings_.name && p.tenure.held();
    if (!other) p.other_since_ms = -1;
    if (other && p.other_since_ms < 0) p.other_since_ms = now_ms;
    view.give_up =
        draining_ || (other && now_ms - p.other_since_ms >= kSettleLeases * settings_.lease.lease_ms);
    // Alone among those who were told of, it keeps what it has: there is nobody to hand it to.
    if (swim_.alive() == 0) view.give_up = draining_;
    p.view = view;
  }
}

void Member::duties(std::int64_t now_ms) {
  for (auto& [duty, p] : posts_) {
    if (!settings_.careless) became(duty, p, p.tenure.look(now_ms), "its lease ended", now_ms);
    if (p.doing || proposer_.voters().epoch == 0) continue;
    Step step = p.tenure.next(p.view, now_ms);
    if (step == Step::kNone && !p.sure) step = Step::kRead;
    if (step == Step::kNone) continue;
    using Mode = agreement::Proposer::Mode;
    const Mode mode = step == Step::kRead ? Mode::kRead : Mode::kChange;
    if (proposer_.busy(kDutyKey + duty)) continue;
    ops_[proposer_.begin(kDutyKey + duty, p.tenure.change(step), now_ms, mode)] = Whose::kDuty;
    p.doing = step;
    if (step == Step::kRelease) p.releasing = true;  // nothing more is done for it from here on
  }
}

void Member::became(const std::string& duty, Post& p, TenureChange change, const char* why,
                    std::int64_t now_ms) {
  if (change == TenureChange::kNone) return;
  if (change == TenureChange::kTook) {
    p.releasing = false;
    p.other_since_ms = -1;
    note("owner", duty, p.tenure.term(), settings_.name, why);
    if (duty == kHolds) {
      heeded_by_.clear();
      forget_ops();
      settler_.took(p.tenure.term());
    }
    p.hot = 4;
    return;
  }
  note("owner_no_more", duty, p.tenure.term(), settings_.name, why);
  p.releasing = false;
  if (duty == kHolds) {
    settler_.lost();
    mover_.stop();
    forget_ops();
  }
  if (change != TenureChange::kReleased) return;
  // The first three heirs may take it at once, in their order.
  std::vector<ownership::Candidate> others;
  for (const auto& [name, m] : swim_.members()) {
    if (m.state == membership::State::kAlive && !m.peer.draining) others.push_back({name, m.peer.zone, 1.0});
  }
  const auto lists = ownership::heirs(settings_.duties, others);
  Talk t = tell(duty, order_.upto());
  t.kind = Talk::Kind::kRelease;
  t.term = p.tenure.term();
  t.owner = settings_.name;
  std::size_t told = 0;
  if (const auto list = lists.find(duty); list != lists.end()) {
    for (const std::string& name : list->second) {
      if (told++ == kFanOut) break;
      say_to(name, t);
      say_to(name, t);
    }
  }
  p.heard_ms = now_ms;
}

// What the owner of the order does, and of the voters.
void Member::work(std::int64_t now_ms) {
  const auto it = posts_.find(kHolds);
  if (it == posts_.end()) return;
  Post& p = it->second;
  const bool owner = settings_.careless ? p.tenure.held() : owns(kHolds, now_ms);
  if (!owner || p.releasing) return;
  durable_by_[origin_] = durable_;
  for (auto& ask : settler_.next(gone_, durable_by_)) {
    const std::uint64_t op = proposer_.begin(ask.key, std::move(ask.change), now_ms);
    op == 0 ? settler_.again(ask.key) : void(ops_[op] = Whose::kOrder);
  }
  for (auto& a : settler_.take_advances()) {
    // The same way as everybody: through the gate.
    Talk t;
    t.duty = kHolds;
    t.term = p.tenure.term();
    t.owner = settings_.name;
    t.renewal = p.tenure.renewal();
    t.from = a.from;
    t.to = a.to;
    t.entries = std::move(a.entries);
    hear(t, settings_.name, settings_.address, now_ms);
    p.hot = std::max(p.hot, 2);
    next_behind_ms_ = now_ms;
  }
  for (const auto& a : settler_.take_answers()) {
    if (a.id.origin == origin_) {
      if (a.verdict == orders::Settler::Verdict::kFull) {
        note("call_refused", kHolds, p.tenure.term(), settings_.name, "the fleet's order is full");
        std::erase_if(calls_, [&](const orders::Call& c) { return c.id == a.id; });
        dirty();
      }
      continue;
    }
    for (const auto& [name, m] : swim_.members()) {
      if (origin_of(name) != a.id.origin) continue;
      Talk t;
      t.kind = Talk::Kind::kSettled;
      t.duty = kHolds;
      t.term = p.tenure.term();
      t.owner = settings_.name;
      t.call.id = a.id;
      t.verdict = static_cast<std::uint8_t>(a.verdict);
      say(m.peer.gossip, std::move(t));
    }
  }
  std::vector<std::string> keys = orders::shard_keys();
  for (const auto& [duty, post] : posts_) keys.push_back(kDutyKey + duty);
  if (crew_) {
    for (std::string& key : work::all_keys()) keys.push_back(std::move(key));
  }
  if (zones_) {
    keys.push_back(zones::kNowKey);
    keys.push_back(zones::kSaidKey);
  }
  for (auto& ask : mover_.next(proposer_.voters(), keys)) {
    using Mode = agreement::Proposer::Mode;
    const Mode mode = ask.copy ? Mode::kCopy : Mode::kChange;
    const std::uint64_t op = proposer_.begin(ask.key, std::move(ask.change), now_ms, mode);
    op == 0 ? mover_.again(ask.key) : void(ops_[op] = Whose::kVoters);
  }
}

// Work on machines: what its registers are asked, and what became of it.
void Member::machines(std::int64_t now_ms) {
  if (!crew_) return;
  Post& p = *post(work::kDuty);
  const bool mine = (settings_.careless ? p.tenure.held() : p.tenure.owns(now_ms)) && !p.releasing;
  crew_->own(mine ? p.tenure.term() : 0, now_ms);
  if (proposer_.voters().epoch != 0) {
    for (work::Ask& ask : crew_->next(now_ms, now_ms + ahead_ms_)) {
      using Mode = agreement::Proposer::Mode;
      const Mode mode = ask.read ? Mode::kRead : Mode::kChange;
      const std::uint64_t op = proposer_.begin(ask.key, std::move(ask.change), now_ms, mode);
      op == 0 ? crew_->again(ask.key) : void(ops_[op] = Whose::kWork);
    }
  }
  for (const auto& change : crew_->steps().take_changes()) {
    note("work", work::kDuty, p.tenure.term(), change.machine, change.state);
  }
  for (const auto& said : crew_->take_said()) {
    note("work_call", work::kDuty, 0, said.wish.job + said.wish.machine,
         std::string(work::word(said.wish.what)) + ": " + said.what);
  }
  for (const std::string& machine : crew_->steps().take_holds()) {
    if (const auto id = depot::id_from(machine)) call(*id, true, now_ms + ahead_ms_, now_ms);
  }
  if (crew_->changed() == crew_changed_) return;
  crew_changed_ = crew_->changed();
  dirty();
  crew_saves_.emplace_back(version(), crew_changed_);
}

// Zones: what doormen see goes to the owner, its judgement to the register, and from there to all.
void Member::see_zones(std::int64_t now_ms) {
  if (!zones_) return;
  Post& p = *post(zones::kDuty);
  const bool mine = (settings_.careless ? p.tenure.held() : p.tenure.owns(now_ms)) && !p.releasing;
  zones_->own(mine ? p.tenure.term() : 0, now_ms);
  if (p.heard_ms >= 0 && !p.owner.empty()) zones_->follower().owner_lived(mine ? now_ms : p.heard_ms);
  if (proposer_.voters().epoch != 0) {
    for (zones::Ask& ask : zones_->next(now_ms, now_ms + ahead_ms_)) {
      using Mode = agreement::Proposer::Mode;
      const Mode mode = ask.read ? Mode::kRead : Mode::kChange;
      const std::uint64_t op = proposer_.begin(ask.key, std::move(ask.change), now_ms, mode);
      op == 0 ? zones_->again(ask.key) : void(ops_[op] = Whose::kZones);
    }
  }
  const auto [owner, term] = this->owner(zones::kDuty);
  if (auto word = zones_->word_due(owner.empty() ? 0 : term, now_ms)) {
    if (zones_->term() != 0) {
      zones_->heard(settings_.name, *word, now_ms);
    } else if (!owner.empty() && owner != settings_.name) {
      Talk t;
      t.kind = Talk::Kind::kWord;
      t.duty = zones::kDuty;
      t.term = term;
      t.owner = owner;
      t.word = std::move(*word);
      say_to(owner, std::move(t));
    }
  }
  if (zones_->fenced()) {
    std::vector<std::string> alive{settings_.name};
    for (const auto& [name, m] : swim_.members()) {
      if (m.state == membership::State::kAlive || m.state == membership::State::kSuspect)
        alive.push_back(name);
    }
    for (const std::string& name : zones_->to_tell(alive, now_ms)) {
      std::string bytes = zones_->tell(name, now_ms);
      if (name == settings_.name) {
        zones_->told(bytes, true, now_ms);
        continue;
      }
      Talk t;
      t.duty = zones::kDuty;
      t.term = p.tenure.term();
      t.owner = settings_.name;
      t.renewal = p.tenure.renewal();
      t.word = std::move(bytes);
      say_to(name, std::move(t));
    }
  }
  for (const auto& change : zones_->take_changes()) {
    note("zone", zones::kDuty, p.tenure.term(), change.zone, change.what + ": " + change.why);
  }
  if (zones_->changed() == zones_changed_) return;
  zones_changed_ = zones_->changed();
  dirty();
  zones_saves_.emplace_back(version(), zones_changed_);
}

std::string Member::zone_call(zones::Mode what, const std::string& zone, std::int64_t now_ms) {
  if (!zones_) return "the duty 'zones' is not among this fleet's duties";
  std::string why = zones_->call({what, zone});
  see_zones(now_ms);
  settle(now_ms);
  return why;
}

// What it sees of the machines in progress, to whoever sees to them.
void Member::say_word(std::int64_t now_ms) {
  if (!crew_) return;
  const auto word = crew_->word_now();
  if (!word) return;
  std::string bytes = work::encode(*word);
  const bool news = bytes != last_word_;
  if (now_ms < (news ? next_word_ms_ - kWordMs + kWordNewsMs : next_word_ms_)) return;
  next_word_ms_ = now_ms + kWordMs;
  last_word_ = bytes;
  if (crew_->steps().working()) return crew_->heard(settings_.name, *word, now_ms);
  const auto [owner, term] = this->owner(work::kDuty);
  if (owner.empty() || owner == settings_.name) return;
  Talk t;
  t.kind = Talk::Kind::kWord;
  t.duty = work::kDuty;
  t.term = term;
  t.owner = owner;
  t.word = std::move(bytes);
  say_to(owner, std::move(t));
}

// The owner is told in one word that it is heeded and on disk; where the disk takes long, twice.
void Member::say_heeded(std::int64_t now_ms) {
  if (tell_heeded_ms_ < 0) return;
  const bool whole = durable_ >= order_.upto();
  if (!whole && now_ms < tell_heeded_ms_) return;
  tell_heeded_ms_ = whole ? -1 : now_ms + kHeededAgainMs;
  const auto [owner, term] = this->owner(kHolds);
  if (owner.empty() || owner == settings_.name) return;
  Talk done = ask(kHolds, false);
  done.kind = Talk::Kind::kHeeded;
  done.from = durable_;
  say_to(owner, std::move(done));
}

std::string Member::work_call(work::Wish wish, std::int64_t now_ms) {
  if (!crew_) return "the duty 'work' is not among this fleet's duties";
  wish.id = random_() | 1;
  std::string why = crew_->call(std::move(wish));
  machines(now_ms);
  settle(now_ms);
  return why;
}

std::string Member::replace(const std::string& out, const std::string& in, std::int64_t now_ms) {
  if (!owns(kHolds, now_ms)) {
    const auto [owner, term] = this->owner(kHolds);
    return owner.empty() ? "nobody owns the duty now: ask again once there is an owner"
                         : "ask " + owner + ", who owns the duty";
  }
  const auto& now = proposer_.voters().now;
  const auto is = [&](const std::string& name) {
    return std::any_of(now.begin(), now.end(), [&](const agreement::Seat& s) { return s.name == name; });
  };
  if (!is(out)) return out + " is no voter";
  if (out != in && is(in)) return in + " is a voter already";
  if (!address_of(in)) return "nobody is called " + in;
  mover_.wish(out, in);
  next_find_ms_ = now_ms;
  return {};
}

// ---- The voters.

void Member::find_voters(std::int64_t now_ms) {
  if (now_ms < next_find_ms_) return;
  next_find_ms_ = now_ms + kFindMs / 2 + static_cast<std::int64_t>(random_() % kFindMs);
  agreement::Message who;
  if (!voter_.founded()) {
    if (persisted_ == 0) return;  // a seat is told once it is on disk
    who = voter_.who();
  }
  if (mover_.wishes() && !mover_.knows_seat()) {
    if (mover_.in() == settings_.name) {
      mover_.seat(voter_.saved().seat);
    } else if (const auto at = address_of(mover_.in())) {
      out_.push_back({*at, talk::Packet{settings_.name, who}});
    }
  }
  if (proposer_.voters().epoch != 0 || settings_.voters.empty()) return;
  if (voter_.founded()) {
    proposer_.know(voter_.saved().fleet, voter_.saved().voters);
    return;
  }
  // One who is named itself asks all: they found a fleet together. Others ask one after another.
  const bool founder = std::any_of(settings_.voters.begin(), settings_.voters.end(),
                                   [&](const auto& v) { return v.first == settings_.name; });
  for (std::size_t i = 0; i < settings_.voters.size(); ++i) {
    if (!founder && i != find_turn_ % settings_.voters.size()) continue;
    const auto& [name, address] = settings_.voters[i];
    if (name != settings_.name) out_.push_back({address, talk::Packet{settings_.name, who}});
  }
  ++find_turn_;
}

// ---- Staff's calls.

bool Member::call(depot::Id depot, bool held, std::int64_t unix_ms, std::int64_t now_ms) {
  if (calls_.size() >= kMostCallsWaiting) return false;
  serial_ = serial_after(serial_, unix_ms);
  calls_.push_back({{origin_, serial_}, depot, held, unix_ms});
  ++counters_.calls;
  dirty();
  push_gap_ms_ = kPushMs;
  next_push_ms_ = now_ms;
  push_calls(now_ms);
  settle(now_ms);
  return true;
}

// In their order, a few at once: the owner takes them as they come, and each may come twice.
void Member::push_calls(std::int64_t now_ms) {
  if (calls_.empty() || now_ms < next_push_ms_) return;
  next_push_ms_ = now_ms + push_gap_ms_;
  push_gap_ms_ = std::min(kMostPushMs, std::max(push_gap_ms_, kPushMs) * 2);
  const bool ours = settings_.careless ? post(kHolds) && post(kHolds)->tenure.held() : owns(kHolds, now_ms);
  const auto [owner, term] = this->owner(kHolds);
  std::set<depot::Id> depots;
  std::size_t sent = 0;
  for (const orders::Call& c : calls_) {
    // Of one depot one at a time, so that two calls on it cannot overtake one another.
    if (!depots.insert(c.depot).second) continue;
    if (sent++ == kCallsAtOnce) break;
    if (ours) {
      settler_.offer(c);
    } else if (!owner.empty() && owner != settings_.name) {
      Talk t;
      t.kind = Talk::Kind::kCall;
      t.duty = kHolds;
      t.term = term;
      t.owner = owner;
      t.call = c;
      if (address_of(owner)) {
        say_to(owner, std::move(t));
      } else if (const auto* m = somebody()) {
        say(m->peer.gossip, std::move(t));  // who may know it, and passes the call on
      }
    }
  }
}

void Member::drain(bool on, std::int64_t now_ms) {
  if (on == draining_) return;
  draining_ = on;
  swim_.draining(on);
  next_ranks_ms_ = now_ms;
  ranks(now_ms);
  duties(now_ms);
  settle(now_ms);
}

void Member::leave(std::int64_t now_ms) {
  for (membership::Out& o : swim_.leave(now_ms)) out_.push_back({o.to, std::move(o.message)});
}

// ---- News.

void Member::life(Post& p, const std::string& owner, std::uint64_t term, std::uint64_t renewal,
                  std::int64_t now_ms) {
  if (owner.empty() || term < p.term || (term == p.term && renewal <= p.renewal && p.heard_ms >= 0)) return;
  if (term > p.term) p.hot = std::max(p.hot, 2);
  p.owner = owner;
  p.term = term;
  p.renewal = renewal;
  p.heard_ms = now_ms;
}

gate::Gate::Verdict Member::look(const std::string& duty, std::uint64_t term, std::int64_t now_ms) {
  const Verdict v = gate_.look(duty, term);
  if (v != Verdict::kRaised) return v;
  dirty();
  raised_ = version();
  if (Post* p = post(duty)) became(duty, *p, p->tenure.refused(term), "a higher term was met", now_ms);
  return v;
}

void Member::took(std::vector<orders::Entry> entries) {
  for (orders::Entry& e : entries) {
    std::erase_if(calls_, [&](const orders::Call& c) { return c.depot == e.depot && e.settles(c.id); });
    heed_.push_back(std::move(e));
  }
  dirty();
}

void Member::heed(const Talk& t, const std::string& from, const Address& address, std::int64_t now_ms) {
  // Its term may be over by now: an act that waited for the disk is looked at once more.
  if (gate_.look(t.duty, t.term) == Verdict::kRefuse) return;
  if (t.term > 0) {
    note("heeded", t.duty, t.term, t.owner);
    ++counters_.acts;
  }
  bool gap = false;
  std::vector<orders::Entry> taken = order_.take(t.from, t.to, t.entries, gap);
  if (gap) {
    if (from != settings_.name) say(address, ask(kHolds, !caught_up_));
    return;
  }
  Post* p = post(t.duty);
  if (p == nullptr) return;
  if (zones_ && t.duty == zones::kDuty && !t.word.empty()) {
    zones_->told(t.word, from == t.owner, now_ms);
    if (zones_->changed() != zones_changed_) p->hot = std::max(p->hot, 1);
  }
  const bool news = !taken.empty();
  took(std::move(taken));
  if (news) {
    p->hot = std::max(p->hot, 2);
    push_gap_ms_ = kPushMs;  // the next call of a depot need not wait
    next_push_ms_ = now_ms;
  }
  if (t.term > 0 && (news || from == t.owner)) {
    if (p->owner != settings_.name && tell_heeded_ms_ < 0) tell_heeded_ms_ = now_ms + kHeededMs;
  }
  if (caught_up_) return;
  // Who was asked has told all that it knows.
  if (t.entries.size() == talk::kMostTold) return say(address, ask(kHolds, true));
  const auto& voters = settings_.voters;
  const bool voter =
      std::any_of(voters.begin(), voters.end(), [&](const auto& v) { return v.first == from; });
  if (voter) caught_by_.insert(from);
  if (!named(settings_).empty()) caught_by_.insert(settings_.name);  // one of them itself
  if (from == t.owner || 2 * caught_by_.size() > voters.size()) {
    caught_up_ = true;
    note("caught_up", kHolds, t.term, t.owner);
  }
}

void Member::hear(const Talk& t, const std::string& from, const Address& address, std::int64_t now_ms) {
  using Kind = Talk::Kind;
  Post* p = post(t.duty);
  if (p == nullptr) return;
  // A number alone, by which the register is read: nobody can do harm by it.
  if (crew_ && t.duty == work::kDuty) crew_->spoken_of(t.known);
  switch (t.kind) {
    case Kind::kTell: {
      if (t.term == 0) {  // nobody has owned it yet, as far as they know
        if (!caught_up_ && t.answer) heed(t, from, address, now_ms);
        return;
      }
      const Verdict v = look(t.duty, t.term, now_ms);
      if (v == Verdict::kRefuse) {
        if (from == t.owner) {
          ++counters_.late_refused;
          note("late_act_refused", t.duty, t.term, t.owner);
        }
        Talk no = ask(t.duty, false);
        no.kind = Kind::kRefused;
        no.term = gate_.highest(t.duty);
        if (from != settings_.name) say(address, std::move(no));
        return;
      }
      // Staff's order only ever adds, and is heeded from whoever has it, also without a majority.
      if (!p->sure && t.duty != kHolds) return void(++counters_.unsure);
      life(*p, t.owner, t.term, t.renewal, now_ms);
      // The term is on disk before the first act of it is carried out.
      if (raised_ > persisted_ || !waiting_.empty()) {
        if (waiting_.size() < kMostHeld) waiting_.push_back({version(), {from, t}, address});
        return;
      }
      return heed(t, from, address, now_ms);
    }
    case Kind::kAsk: {
      if (t.term > 0) {
        look(t.duty, t.term, now_ms);
        if (t.term >= gate_.highest(t.duty)) life(*p, t.owner, t.term, t.renewal, now_ms);
      }
      const bool fresher = p->term > t.term || (p->term == t.term && p->renewal > t.renewal) ||
                           (t.duty == kHolds && order_.upto() > t.known) ||
                           (t.duty == work::kDuty && crew_ && crew_->permit().now().number > t.known);
      if (fresher || t.answer) {
        Talk back = tell(t.duty, t.known);
        back.answer = t.answer;
        say(address, std::move(back));
      }
      if (t.duty == kHolds && t.known > order_.upto()) say(address, ask(kHolds, false));
      return;
    }
    case Kind::kCall: {
      if (t.call.id.origin == origin_) return;
      const bool ours = settings_.careless ? p->tenure.held() : owns(kHolds, now_ms);
      if (t.duty != kHolds) return;
      if (!ours) {
        // Once, to the owner, for one who does not know its address.
        if (t.answer || p->owner.empty() || p->owner == settings_.name || p->owner == from) return;
        Talk on = t;
        on.answer = true;
        return say_to(p->owner, std::move(on));
      }
      settler_.offer(t.call);
      return work(now_ms);
    }
    case Kind::kSettled: {
      const std::size_t before = calls_.size();
      std::erase_if(calls_, [&](const orders::Call& c) { return c.id == t.call.id; });
      if (calls_.size() == before) return;
      if (t.verdict == static_cast<std::uint8_t>(orders::Settler::Verdict::kFull)) {
        note("call_refused", kHolds, t.term, t.owner, "the fleet's order is full");
      }
      next_push_ms_ = now_ms;
      return dirty();
    }
    case Kind::kRelease:
      if (t.term >= gate_.highest(t.duty) && t.owner == from) p->tenure.vacant(t.term, now_ms);
      return duties(now_ms);
    case Kind::kRefused: {
      if (look(t.duty, t.term, now_ms) == Verdict::kRefuse) return;
      life(*p, t.owner, t.term, t.renewal, now_ms);
      if (t.duty == kHolds && t.known > order_.upto()) say(address, ask(kHolds, false));
      return;
    }
    case Kind::kWord: {
      if (zones_ && t.duty == zones::kDuty) return zones_->heard(from, t.word, now_ms);
      if (!crew_ || t.duty != work::kDuty || !crew_->steps().working()) return;
      if (const auto word = work::word_from(t.word)) crew_->heard(from, *word, now_ms);
      return;
    }
    case Kind::kHeeded: {
      if (!p->tenure.held() || !swim_.members().contains(from)) return;
      std::uint64_t& known = heeded_by_[from];
      known = std::max(known, t.known);
      std::uint64_t& durable = durable_by_[origin_of(from)];
      durable = std::max(durable, t.from);
      return;
    }
  }
}

void Member::gossip(std::int64_t now_ms) {
  if (posts_.empty()) return;
  // Its own sign of life as an owner is news like any other.
  for (auto& [duty, p] : posts_) {
    if (p.tenure.held() && !p.releasing && (settings_.careless || p.tenure.owns(now_ms))) {
      if (look(duty, p.tenure.term(), now_ms) != Verdict::kRefuse || settings_.careless) {
        life(p, settings_.name, p.tenure.term(), p.tenure.renewal(), now_ms);
      }
    }
    if (p.hot <= 0 || p.term == 0) continue;
    --p.hot;
    for (std::size_t i = 0; i < kFanOut; ++i) {
      if (const auto* m = somebody())
        say(m->peer.gossip, tell(duty, order_.upto() > 0 ? order_.upto() - 1 : 0));
    }
  }
  // The owner sees to those who are behind, as far as it knows.
  if (Post* p = post(kHolds); p != nullptr && p->tenure.owns(now_ms) && now_ms >= next_behind_ms_) {
    next_behind_ms_ = now_ms + kBehindMs;
    std::vector<std::pair<Address, std::uint64_t>> behind;
    for (const auto& [name, m] : swim_.members()) {
      const std::uint64_t known = heeded_by_[name];
      if (m.state != membership::State::kAlive || known >= order_.upto()) continue;
      // Never heard of: it may well have all but the last.
      behind.emplace_back(m.peer.gossip, known == 0 ? order_.upto() - 1 : known);
    }
    std::shuffle(behind.begin(), behind.end(), random_);
    if (behind.size() > kBehindAtOnce) behind.resize(kBehindAtOnce);
    for (const auto& [at, known] : behind) say(at, tell(kHolds, known));
  }
  // Likewise of work: those who have not heeded the picture are told that there is one.
  if (crew_ && crew_->steps().fenced() && now_ms >= next_work_ms_) {
    next_work_ms_ = now_ms + kBehindMs;
    std::vector<Address> behind;
    for (const auto& [name, m] : swim_.members()) {
      if (m.state == membership::State::kAlive && crew_->steps().behind(name))
        behind.push_back(m.peer.gossip);
    }
    std::shuffle(behind.begin(), behind.end(), random_);
    if (behind.size() > kBehindAtOnce) behind.resize(kBehindAtOnce);
    const bool any = !crew_->steps().now().active.empty();
    for (const Address& at : behind) {
      if (any) say(at, tell(work::kDuty, 0));
    }
  }
  if (!caught_up_ && proposer_.voters().epoch != 0 && now_ms >= next_gossip_ms_) {
    for (const auto& [name, address] : settings_.voters) {
      if (name != settings_.name) say(address, ask(kHolds, true));
    }
    next_gossip_ms_ = now_ms + settings_.gossip_ms / 5;
    return;
  }
  if (now_ms < next_gossip_ms_) return;
  next_gossip_ms_ = now_ms + settings_.gossip_ms / 2 +
                    static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(settings_.gossip_ms));
  const auto it = std::next(posts_.begin(), static_cast<std::ptrdiff_t>(gossip_turn_++ % posts_.size()));
  if (const auto* m = somebody()) say(m->peer.gossip, ask(it->first, false));
}

}  // namespace anisewick::member
