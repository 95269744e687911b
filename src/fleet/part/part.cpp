#include "fleet/part/part.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <random>
#include <utility>

#include "fleet.pb.h"
#include "fleet/part/jobs.hpp"

namespace anisewick::part {
namespace {

using logs::Level;

constexpr auto kTick = std::chrono::milliseconds(15);
constexpr double kDemandMs = 2'000.0;  // memory of the rate of requests
constexpr std::int64_t kLateMs = 250;  // a tick that comes so late: the loop was held up
constexpr std::int64_t kIllMs = 3'000, kYoungMs = 3'000;
constexpr int kCutOff = 5;                                   // of the membership's own health
constexpr std::int64_t kLayMs = 500;                         // the list is laid anew, for depots come and go
constexpr std::int64_t kLeastPause = 50, kMostPause = 5000;  // between two tries to write

std::uint64_t drawn() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random() | 1;
}

peers::Carrier::Limits limits_of(const Settings& settings) {
  peers::Carrier::Limits limits;
  limits.window_ms = settings.window_ms;
  return limits;
}

}  // namespace

Part::Part(asio::io_context& io, service::FleetHost host, const Settings& settings, logs::Log& log)
    : io_(io),
      host_(std::move(host)),
      settings_(settings),
      log_(log),
      session_(drawn()),
      carrier_(io, settings.keys, session_, limits_of(settings), [this] { return unix_ms(); }),
      timer_(io),
      again_(io) {
  carrier_.on_membership([this](const membership::Message& m, const membership::Address& from) {
    member_->heard(m, from, now());
    carry_out();
  });
  carrier_.on_packet([this](const talk::Packet& p, const membership::Address& from) {
    member_->heard(p, from, now());
    carry_out();
  });
}

Part::~Part() = default;

std::int64_t Part::now() const {
  const auto ns = std::chrono::steady_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
  return static_cast<std::int64_t>(static_cast<double>(ns) / 1e6 * settings_.clock_rate) +
         settings_.clock_ahead_ms;
}
std::int64_t Part::unix_ms() const { return links::unix_now() / 1'000'000 + settings_.clock_ahead_ms; }

bool Part::start(std::string& why) {
  int error = 0;
  auto files = disk::posix_files(settings_.folder, error);
  if (!files) {
    why = settings_.folder + ": " + std::strerror(-error);
    return false;
  }
  store_ = std::make_unique<store::Store>(std::move(files), settings_.fleet, settings_.member.name);
  if (error = store_->lock(); error != 0) {
    why = settings_.folder + (error == -EWOULDBLOCK ? " is in use by another process"
                                                    : std::string(": ") + std::strerror(-error));
    return false;
  }
  std::string aside;
  auto saved = store_->load(aside, error);
  if (!aside.empty()) log_.say(Level::kWarn, "state_set_aside", {{"reason", aside}});
  if (error != 0) {
    why = "the state in " + settings_.folder + " cannot be read or set aside: " + std::strerror(-error);
    return false;
  }
  if (!saved) {
    saved.emplace();
    saved->voter.seat = drawn();
    log_.say(Level::kInfo, "empty_disk", {{"reason", "this member has no state: it votes in no fleet yet"}});
  }
  started_ms_ = now();
  site_ = host_.site();
  member::Settings own = settings_.member;
  own.home = site_.name_of(site_.zone);
  member_ = std::make_unique<member::Member>(own, session_, static_cast<std::uint64_t>(unix_ms()),
                                             std::move(*saved), drawn(), now());
  member_->gone_by([this](depot::Id id) { return host_.gone(id); });
  if (work::Crew* crew = member_->crew()) {
    crew->sees({[this](const std::string& depot) {
                  work::Line line{depot};
                  const auto id = depot::id_from(depot);
                  if (!id) return line;
                  const service::Seen seen = host_.look(*id);
                  line.open = seen.open;
                  line.needed = seen.needed;
                  line.born_ms = seen.born_ms;
                  line.answers = seen.answers;
                  line.fills = seen.fills;
                  line.gone = seen.gone;
                  return line;
                },
                [this](const std::string& depot) {
                  const auto id = depot::id_from(depot);
                  return id && host_.look(*id).ready;
                },
                host_.serving, host_.idle,
                [this] {
                  std::vector<std::pair<std::string, std::uint32_t>> ill;
                  for (const auto& i : ills_.now(now()))
                    ill.emplace_back(depot::text_of(i.depot), i.in_a_row);
                  return ill;
                }});
  }
  if (zones::Zones* z = member_->zones()) z->sees([this](std::int64_t at) { return sight(at); });
  pool_ = std::make_unique<disk::Pool>(disk::Pool::Limits{1, 8},
                                       [this](std::function<void()> f) { asio::post(io_, std::move(f)); });
  if (const auto failed = carrier_.open(settings_.listen); failed) {
    log_.say(Level::kWarn, "listen_failed", {{"reason", failed.message()}});
  }
  log_.say(Level::kInfo, "member", {{"owner", settings_.member.name}, {"reason", settings_.fleet}});
  due_ = std::chrono::steady_clock::now();
  tick();
  // What was called here and is not the fleet's yet holds here, over what the fleet had settled before.
  for (const orders::Call& c : member_->pending()) host_.settled({c.depot, c.held, 0, c.at_ms}, false);
  return true;
}

void Part::tick() {
  const auto at = std::chrono::steady_clock::now();
  const double late = std::chrono::duration<double, std::milli>(at - due_).count();
  late_ms_ = std::max(late_ms_, late);
  if (late > kLateMs) late_at_ms_ = now();
  if (const auto unsent = carrier_.counters().unsent; std::exchange(unsent_, unsent) != unsent)
    unsent_ms_ = now();
  if (member_->zones() != nullptr) evidence_.tick(now());
  if (member_->zones() != nullptr && now() >= site_ms_ + kLayMs) {
    site_ms_ = now();
    look_at_site();
  }
  member_->wall(unix_ms() - now());
  member_->tick(now());
  carry_out();
  due_ = at + kTick;
  timer_.expires_at(due_);
  timer_.async_wait([this](links::Error error) {
    if (!error && !ended_) tick();
  });
}

// What is left alone is so before anybody is told.
void Part::leave() {
  const work::Crew* crew = member_->crew();
  if (crew == nullptr) return;
  const std::vector<std::string> left = crew->left(now());
  const work::Now& picture = crew->permit().now();
  if (left != left_ || picture.number != picture_) {
    left_ = left;
    picture_ = picture.number;
    std::vector<depot::Id> ids;
    for (const std::string& depot : left) {
      if (const auto id = depot::id_from(depot)) ids.push_back(*id);
    }
    std::map<depot::Id, std::int64_t> back;
    for (const work::Active& a : picture.active) {
      const auto id = depot::id_from(a.machine);
      if (a.state == work::State::kBack && id) back[*id] = a.since_ms;
    }
    host_.leave(ids, back);
  }
  if (crew->asked_out() != ducked_) {
    ducked_ = !ducked_;
    log_.say(Level::kInfo, "asked_out", {{"reason", ducked_ ? "in a drain for work" : "in service again"}});
    host_.duck(ducked_);
  }
}

void Part::carry_out() {
  leave();
  lay();
  for (member::Out& out : member_->take_out()) {
    std::visit([&](const auto& what) { carrier_.send(out.to, what); }, out.what);
  }
  for (const member::Note& n : member_->take_notes()) {
    if (n.event == "work_call") {
      said_.push_back(n.owner + ", " + n.reason);
      if (said_.size() > kSaid) said_.pop_front();
    }
    const Level level = n.event == "heeded"             ? Level::kDebug
                        : n.event == "late_act_refused" ? Level::kWarn
                                                        : Level::kInfo;
    log_.say(level, n.event,
             {{"duty", n.duty},
              {"term", static_cast<std::int64_t>(n.term)},
              {"owner", n.owner},
              {"reason", n.reason}});
  }
  for (const orders::Entry& e : member_->take_heed()) {
    const auto& waiting = member_->pending();
    const bool ours = std::any_of(waiting.begin(), waiting.end(),
                                  [&](const orders::Call& c) { return c.depot == e.depot; });
    host_.settled({e.depot, e.held, e.number, e.at_ms}, ours);
  }
  if (member_->caught_up() && !std::exchange(told_, true)) host_.caught_up();
  save();
}

// One write at a time, on the pool's thread; what came meanwhile goes into the next.
void Part::save() {
  if (writing_ || ended_) return;
  auto save = member_->take_save();
  if (!save) return;
  writing_ = true;
  auto result = std::make_shared<int>(0);
  auto state = std::make_shared<member::Save>(std::move(*save));
  pool_->submit(
      disk::Lane::kLedger, [this, result, state] { *result = store_->write(state->state); },
      [this, result, state] {
        ++writes_;
        if (*result == 0) {
          writing_ = false;
          pause_ms_ = 0;
          if (std::exchange(failing_, false)) log_.say(Level::kInfo, "state_written_again");
          member_->persisted(state->version, now());
          return carry_out();
        }
        // A full disk, say: nothing that waits for it is answered, and it is tried again.
        ++failed_writes_;
        if (!std::exchange(failing_, true)) {
          log_.say(Level::kError, "state_not_written", {{"reason", std::strerror(-*result)}});
        }
        member_->unsaved();
        pause_ms_ = std::clamp(pause_ms_ * 2, kLeastPause, kMostPause);
        again_.expires_after(std::chrono::milliseconds(pause_ms_));
        again_.async_wait([this](links::Error error) {
          if (error) return;
          writing_ = false;
          this->save();
        });
      },
      true);
}

std::string Part::called(depot::Id depot, bool held) {
  if (!member_->call(depot, held, unix_ms(), now())) {
    return "too many calls of here are not the fleet's yet: this one will not be";
  }
  carry_out();
  if (member_->ownerless(member::kHolds, now())) {
    return "it is not the fleet's yet, which has no owner for it now, and becomes so later";
  }
  return "it is on its way to the fleet";
}

void Part::drain(bool on) {
  member_->drain(on, now());
  carry_out();
}

// ---- Zones.

std::int64_t Part::admit(int cls, double worth, double size_kb, std::uint64_t request) {
  const std::int64_t at = now();
  if (member_->zones() == nullptr) return 0;
  demand_ = demand_ * std::exp(-static_cast<double>(at - demand_ms_) / kDemandMs) + 1.0;
  demand_ms_ = at;
  const double work = site_.client_kb_per_s > 0.0 ? size_kb / site_.client_kb_per_s : 0.0;
  const double draw = static_cast<double>((request * 0x9e3779b97f4a7c15ULL) >> 11) * 0x1.0p-53;
  if (toll_.passes(cls, worth, work, shares_.borne, draw, at)) return 0;
  return std::min(toll_.come_back_ms(), std::max<std::int64_t>(1, site_.max_come_back_ms)) * 1'000'000;
}

void Part::began(std::uint64_t request, depot::Id depot) {
  if (const auto it = zone_of_.find(depot); it != zone_of_.end()) {
    evidence_.began(request, site_.name_of(it->second), depot, now());
  }
}

void Part::ended(std::uint64_t request, depot::Id depot, const Report& report) {
  if (member_->crew() != nullptr) ills_.ended(depot, report.end, now());
  if (member_->zones() != nullptr) evidence_.ended(request, report, now());
}

void Part::look_at_site() {
  site_ = host_.site();
  zone_of_.clear();
  // Without the duty nothing is counted by zone.
  for (const bus::Depot& d : site_.depots) {
    if (member_ && member_->zones() != nullptr && !site_.name_of(d.zone).empty()) zone_of_[d.id] = d.zone;
  }
}

// What this doorman saw, and why it is to weigh less where it is ill itself.
zones::Sight Part::sight(std::int64_t at) {
  zones::Sight s;
  s.seen = settings_.evidence_late_ms == 0 ? evidence_.seen(at)
                                           : late_.seen(evidence_.seen(at), at, settings_.evidence_late_ms);
  s.demand = demand_ * std::exp(-static_cast<double>(at - demand_ms_) / kDemandMs) / (kDemandMs / 1000.0);
  const auto ill = [&](std::uint32_t weight, const char* why) {
    if (weight >= s.weight) return;
    s.weight = weight;
    s.ill = why;
  };
  if (at - late_at_ms_ < kIllMs) ill(20, "its loop was late");
  if (at - unsent_ms_ < kIllMs) ill(40, "its sockets are full");
  if (member_->swim().health() >= kCutOff) ill(20, "cut off from most");
  if (at - started_ms_ < kYoungMs) ill(20, "just started");
  return s;
}

// Lays the shares over the list, where they or the list have changed.
void Part::lay() {
  zones::Zones* zones = member_->zones();
  if (zones == nullptr) return;
  const std::int64_t at = now();
  const zones::Shares shares = zones->follower().shares(at);
  // While something is laid, the list may change under it.
  const bool plain = shares.home >= 1.0 && shares.others.empty();
  if (shares == shares_ && (plain || at < laid_ms_ + kLayMs)) return;
  laid_ms_ = at;
  shares_ = shares;
  look_at_site();
  const zones::Place place{site_.zones, site_.zone, site_.parent_kind, site_.origin_kind, site_.ramp_ms};
  std::map<depot::Id, holds::Lay> laid;
  for (const auto& [id, l] : zones::lay(site_.depots, place, settings_.member.name, shares, unix_ms())) {
    laid[id] = {l.share, l.guest, l.left};
  }
  host_.lay(laid);
}

std::pair<int, std::string> Part::zone(Zone what, const std::string& zone) {
  if (member_->zones() == nullptr) return {409, "the duty 'zones' is not among this fleet's duties"};
  if (what == Zone::kAll) {
    return {200, member_->zones()->text(now(), unix_ms()) + "owner: " + member_->owner(zones::kDuty).first};
  }
  if (std::find(site_.zones.begin(), site_.zones.end(), zone) == site_.zones.end()) {
    return {404, "there is no zone " + zone};
  }
  static const std::map<Zone, zones::Mode> kModes{{Zone::kLeave, zones::Mode::kLeave},
                                                  {Zone::kReturn, zones::Mode::kReturn},
                                                  {Zone::kAuto, zones::Mode::kAuto}};
  const std::string why = member_->zone_call(kModes.at(what), zone, now());
  carry_out();
  if (!why.empty()) return {503, why};
  const bool owned = !member_->ownerless(zones::kDuty, now());
  return {200, zone +
                   (owned ? ": it is on its way to the fleet"
                          : ": it is not the fleet's yet, which has no owner for it") +
                   "; see GET /_zones"};
}

void Part::end() {
  member_->leave(now());
  carry_out();
  ended_ = true;
  timer_.cancel();
  again_.cancel();
  carrier_.close();
}

std::string Part::replace(const std::string& out, const std::string& in) {
  std::string why = member_->replace(out, in, now());
  carry_out();
  return why;
}

std::pair<int, std::string> Part::take() {
  if (settings_.work_file.empty()) return {409, "this doorman's settings name no file of work"};
  std::vector<settings::Finding> findings;
  const std::vector<work::Known> there = known();
  auto file = load_job(settings_.work_file, &there, findings);
  if (!file) {
    std::string text;
    for (const settings::Finding& f : findings) text += (text.empty() ? "" : "\n") + f.text();
    return {400, text};
  }
  const std::string why = member_->work_call(
      {work::Wish::What::kTake, file->name, {}, 0, std::move(file->bytes), file->digest}, now());
  carry_out();
  if (!why.empty()) return {503, why};
  return {200, file->name + " is on its way to the fleet: see GET /_work/" + file->name};
}

// Depots by the bus's list, doormen by the membership.
std::vector<work::Known> Part::known() const {
  std::vector<work::Known> all;
  const service::Site site = host_.site();
  for (const bus::Depot& d : site.depots) {
    if (d.state == bus::State::kGone || d.kind == site.origin_kind) continue;
    all.push_back({depot::text_of(d.id),
                   d.kind == site.parent_kind ? work::Kind::kParent : work::Kind::kCache,
                   site.name_of(d.zone), d.started_ms});
  }
  const auto doorman = [&](const membership::Peer& p, std::int64_t up_ms) {
    all.push_back({p.name, work::Kind::kDoorman, p.zone, unix_ms() - up_ms});
  };
  const auto& swim = member_->swim();
  doorman(swim.self(), now() - started_ms_);
  for (const auto& [name, m] : swim.members()) {
    if (m.state == membership::State::kAlive)
      doorman(m.peer, std::int64_t{1000} * m.peer.up_s + now() - m.heard_ms);
  }
  return all;
}

// A job's file that has changed: what has not begun goes by the new one. A bad one changes nothing.
void Part::reload() {
  if (settings_.work_file.empty() || member_->crew() == nullptr) return;
  std::vector<settings::Finding> findings;
  const std::vector<work::Known> there = known();
  auto file = load_job(settings_.work_file, &there, findings);
  if (!file) {
    for (const settings::Finding& f : findings)
      log_.say(Level::kWarn, "work_file_not_taken", {{"reason", f.text()}});
    return;
  }
  const std::string why = member_->work_call(
      {work::Wish::What::kChange, file->name, {}, 0, std::move(file->bytes), file->digest}, now());
  if (!why.empty()) log_.say(Level::kWarn, "work_file_not_taken", {{"reason", why}});
  carry_out();
}

std::pair<int, std::string> Part::work(Work what, const std::string& job, const std::string& machine) {
  using What = work::Wish::What;
  work::Crew* crew = member_->crew();
  if (crew == nullptr) return {409, "the duty 'work' is not among this fleet's duties"};
  if (what == Work::kTake) return take();
  if (what == Work::kJob || what == Work::kAll) {
    crew->look_at_jobs(now());
    if (crew->library().read_ms() < 0) return {503, "the registers are being read: ask again"};
    const std::string owner = "owner: " + member_->owner(work::kDuty).first;
    if (what == Work::kJob) {
      const std::string text = job_text(*crew, job, now(), unix_ms());
      return text.empty() ? std::pair{404, "nobody has heard of " + job} : std::pair{200, text + owner};
    }
    std::string text = jobs_text(*crew, now());
    for (const std::string& said : said_) text += "call: " + said + "\n";
    return {200, text + owner};
  }
  static const std::map<Work, What> kWhat{{Work::kStop, What::kStop},
                                          {Work::kPause, What::kPause},
                                          {Work::kResume, What::kResume},
                                          {Work::kBack, What::kBack},
                                          {Work::kGone, What::kGone}};
  const bool gone = what == Work::kGone;
  const std::string why =
      member_->work_call({kWhat.at(what), gone ? "" : job, gone ? job : machine, 0, {}}, now());
  carry_out();
  if (!why.empty()) return {503, why};
  return {200, "it is on its way to the fleet: see GET /_work"};
}

std::string Part::status() {
  anisewick::settings::FleetStatus s;
  const auto n = [](std::uint64_t value) { return static_cast<std::uint32_t>(value); };
  s.set_fleet(settings_.fleet);
  s.set_member(settings_.member.name);
  for (const ownership::Duty& duty : settings_.member.duties) {
    auto& d = *s.add_duties();
    const auto [owner, term] = member_->owner(duty.name);
    d.set_duty(duty.name);
    d.set_owner(member_->ownerless(duty.name, now()) ? "" : owner);
    d.set_term(n(term));
    d.set_here(member_->owns(duty.name, now()));
  }
  const auto& voters = member_->proposer().voters();
  s.set_epoch(n(voters.epoch));
  for (const auto& v : voters.now) s.add_voters(v.name);
  for (const auto& v : voters.next) s.add_next_voters(v.name);
  s.set_votes(member_->voter().votes());
  const bool named = std::any_of(voters.now.begin(), voters.now.end(), [&](const agreement::Seat& seat) {
    return seat.name == settings_.member.name;
  });
  s.set_empty(named && !member_->voter().votes());
  s.set_alive(n(member_->swim().alive() + 1));
  s.set_heeded(n(member_->order().upto()));
  s.set_waiting(n(member_->pending().size()));
  s.set_caught_up(member_->caught_up());
  if (member_->owns(member::kHolds, now())) {
    for (const auto& [member, number] : member_->heeded_by()) {
      auto& m = *s.add_members();
      m.set_member(member);
      m.set_number(n(number));
    }
  }
  const auto& counters = member_->counters();
  s.set_late_acts_refused(n(counters.late_refused));
  s.set_acts(n(counters.acts));
  const auto& c = carrier_.counters();
  s.set_datagrams_sent(n(c.sent));
  s.set_datagrams_received(n(c.received));
  s.set_too_fast(n(c.too_fast));
  s.set_unsealed(n(c.unsealed));
  s.set_replayed(n(c.replayed));
  s.set_malformed(n(c.malformed));
  s.set_other_version(n(c.other_version));
  s.set_unsent(n(c.unsent));
  s.set_writes(n(writes_));
  s.set_failed_writes(n(failed_writes_));
  s.set_late_ms(late_ms_);
  std::string out;
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  if (!google::protobuf::util::MessageToJsonString(s, &out, options).ok()) return "{}";
  return out;
}

void Part::report() { log_.say(Level::kInfo, "status", {{"reason", status()}}); }

}  // namespace anisewick::part
