#include "service/service.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <utility>

#include "anisewick/learned.hpp"
#include "handover/learned.hpp"
#include "service/allocator.hpp"

namespace anisewick::service {
namespace {

using net::Error;

constexpr std::size_t kShared = 2;
constexpr auto kWatch = std::chrono::milliseconds(50);  // between two looks at what other processes were told
constexpr auto kTrim = std::chrono::milliseconds(200);  // between two looks at what the heap has free
constexpr auto kBusTells = std::chrono::milliseconds(150);  // so long the bus takes to tell what it has
constexpr lifecycle::Time kLastWrite = 40'000'000;          // to write the last answers, before the kill
constexpr auto kLookAgain = std::chrono::milliseconds(10);
constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kNanosecondsPerSecond = 1'000 * kMs;
constexpr std::int64_t kMemoryComesBack = 250 * kMs;  // answers are written, or their clients ended, by then
constexpr lifecycle::Time kMostDeadline = 3'600'000 * kMs;  // more is no figure to wait by

lifecycle::Time now() {
  return std::chrono::steady_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}
std::int64_t unix_ms() { return net::unix_now() / kMs; }
// By the clock of the decisions, which go by what calls of staff say of a server's age.
std::int64_t steady_unix_ms() { return net::steady_unix_now() / kMs; }

lifecycle::Time longest_deadline(const Settings& settings) {
  lifecycle::Time longest = 0;
  for (const ClassSettings& s : settings.classes) longest = std::max(longest, s.deadline);
  return std::min(longest, kMostDeadline);
}
// A quarter of the descriptors, and less memory than the requests themselves may take.
std::size_t link_limit(const config::Config& c) {
  return static_cast<std::size_t>(std::clamp<std::uint64_t>(c.sockets / 4, 8, 256));
}
// One request a connection keeps what spoils it from the others; where handshakes have a price, and so are
// scarce, a few share one.
std::size_t share_of(const config::Config& c) {
  return c.handshake_price > 0.0 ? std::min<std::size_t>(kShared, static_cast<std::size_t>(c.streams)) : 1;
}
net::Front::Limits front_limits(const config::Config& c) {
  net::Front::Limits limits;
  // Clients that behave hold at most a third of the descriptors; more would starve the depots' connections.
  limits.connections = std::max<std::uint64_t>(8, c.sockets / 2);
  // The rest is for the decisions, for connections at rest and for what the allocator cannot use.
  limits.held_bytes = c.memory_mb * (std::uint64_t{1} << 20) / 2;
  if (c.settings.client_kb_per_s > 0.0) limits.bytes_per_kb = c.flow_bytes_per_s / c.settings.client_kb_per_s;
  limits.come_back = std::min(kMemoryComesBack, c.settings.max_retry_after);
  return limits;
}

}  // namespace

Service::Service(const Surroundings& around, const config::Config& c)
    : around_(around),
      config_(c),
      facade_(c.settings),
      depots_(io_, counters_,
              {std::chrono::nanoseconds(c.connect_timeout), std::chrono::nanoseconds(c.connection_idle),
               c.streams, link_limit(c), share_of(c)}),
      doorman_(io_, facade_, depots_, counters_, classes_),
      front_(io_, doorman_, counters_, front_limits(c)),
      life_(now(), around.descriptor.has_value()),
      bus_(io_, counters_, net::endpoint_of(c.bus.address, c.bus.port), c.known_number,
           [this](const bus::Event& event) { heed(event); }),
      door_(
          io_, [this](const door::Call& call) { return called(call); }, static_cast<bool>(around.fleet)),
      signals_(io_, SIGTERM, SIGINT, SIGUSR1),
      next_(io_),
      watching_(io_),
      settling_(io_),
      trimming_(io_) {
  signals_.add(SIGHUP);
  doorman_.answers_by([this](net::Ticket ticket, const net::Answer& a) { front_.answer(ticket, a); });
  depots_.reads_by([this](net::Ticket ticket) { return front_.may_read(ticket); });
  if (around_.report_gap.count() > 0) reports_.emplace(io_, counters_, around_.report_gap, std::cerr);
  if (around_.log_requests) counters_.log = &log_.emplace(std::cerr);
  life_.longest_deadline(longest_deadline(c.settings));
  classes_.adopt(c.classes, c.settings.classes);
  for (const std::string& remark : c.remarks) std::cerr << "anisewick: " << remark << std::endl;
  // Before the first request: a purge or a drain known now must not be found out later.
  if (around_.descriptor && !around_.folder.empty()) {
    std::random_device random;
    const auto incarnation = static_cast<std::uint64_t>(random()) << 32 | random();
    folder_.emplace(around_.folder, c.name, incarnation, unix_ms(),
                    [](const std::string& line) { std::cerr << "anisewick: " << line << std::endl; });
    started_ms_ = folder_->started_ms();
    shared_discovery_.emplace(
        *folder_, c.name,
        SharedDiscovery::Source{[this] { return bus_.last(); }, [this] { return holds_.listed(); },
                                [this](const bus::Event& event) {
                                  bus_.advance(event.number);
                                  heed(event);
                                }});
    shared_discovery_->purges_settle(c.settings.purge_settle / kMs);
    publish();
    take_in(folder_->look());
  }
  runs_.emplace(folder_ ? folder_->shared_path("runs") : std::string());
  doorman_.claims_by({[this](std::uint64_t id) { return runs_->claim(id, now() / kNanosecondsPerSecond); },
                      [this](std::uint64_t id) { runs_->release(id); }});
  if (around_.fleet) {
    fleet_ = around_.fleet(
        io_, {[this](const holds::Word& word, bool ours_waits) { settled(word, ours_waits); },
              [this] { caught_up(); }, [this](depot::Id id) { return holds_.gone(id); },
              [this](const auto& left, const auto& back) {
                const bus::Event change = holds_.leave(left, back);
                if (change.kind != bus::Event::Kind::kNothing) doorman_.heed(change);
              },
              [this](const auto& laid) {
                const bus::Event change = holds_.lay(laid);
                if (change.kind != bus::Event::Kind::kNothing) doorman_.heed(change);
              },
              [this](depot::Id id) { return seen(id); }, [this] { return site(); },
              [this] { return running_ && life_.duty(now()).ready; },
              [this] { return life_.duck_now() && doorman_.none_open(); }, [this](bool on) { duck(on); }});
    doorman_.in_fleet(
        {[this] { fleet_->look(); },
         [this](int cls, double worth, double kb, net::Ticket t) { return fleet_->admit(cls, worth, kb, t); },
         [this](net::Ticket t, depot::Id depot) { fleet_->began(t, depot); },
         [this](net::Ticket t, depot::Id depot, const Report& r) { fleet_->ended(t, depot, r); },
         [this](net::Ticket t) { fleet_->given_up(t); }});
    depots_.looks_by([this] { fleet_->look(); });
    life_.in_fleet();
  }
  for (const bus::Event& event : c.known) heed(event);
  config_.known.clear();
  if (!folder_ || !handover::others(folder_->look(), folder_->incarnation()).before) life_.handed_over();
  tune();
}

int Service::run() {
  Error error;
  if (around_.descriptor) {
    front_.listen(*around_.descriptor, error);
  } else {
    front_.listen(net::endpoint_of(around_.listen.address, around_.listen.port), error);
  }
  if (!error && around_.ops) door_.listen(net::endpoint_of(around_.ops->address, around_.ops->port), error);
  if (error) {
    std::cerr << "anisewick: cannot listen: " << error.message() << std::endl;
    return 1;
  }
  if (std::string why; fleet_ && !fleet_->start(why)) {
    std::cerr << "anisewick: cannot join the fleet: " << why << std::endl;
    return 1;
  }
  bus_.start();
  doorman_.start();
  if (reports_) reports_->start();
  wait_for_signal();
  running_ = true;
  bus_.when_up([this] {
    settling_.expires_after(kBusTells);
    settling_.async_wait([this](Error e) {
      if (e) return;
      life_.caught_up();
      attend();
    });
  });
  attend();
  if (folder_) watch();
  trim();
  io_.run();
  print_counters();
  return 0;
}

void Service::heed(const bus::Event& event) {
  doorman_.heed(holds_.over(event));
  if (shared_discovery_) shared_discovery_->heard(event, accompanied_);
  if (!doorman_.listed() || std::exchange(listed_, true)) return;
  life_.listed();
  if (running_) attend();
}

void Service::wait_for_signal() {
  signals_.async_wait([this](Error error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      print_counters();
      if (fleet_) fleet_->report();
    } else if (signal == SIGHUP) {
      reload();
      if (fleet_) fleet_->reload();
    } else {
      life_.term(now());
      if (fleet_) fleet_->drain(true);
      attend();
    }
    wait_for_signal();
  });
}

// A file that cannot be used changes nothing: all of it is read and checked before any of it counts.
void Service::reload() {
  try {
    config::Config c = config::load(around_.config_path);
    config::need_kept_keys(config_, c);
    adopt(std::move(c));
  } catch (const std::exception& e) {
    std::cerr << "anisewick: the old configuration stays in force: " << e.what() << std::endl;
  }
}

// The event bus may have moved, limits and classes may have changed. Requests that are open keep the terms of
// their class; what was learned stays, and so does the seed, by which the fronts of a location tell apart who
// keeps what.
void Service::adopt(config::Config&& c) {
  c.settings.seed = config_.settings.seed;
  config_ = std::move(c);
  classes_.adopt(config_.classes, config_.settings.classes);
  tune();
  bus_.move(net::endpoint_of(config_.bus.address, config_.bus.port), config_.known);
  config_.known.clear();
  ++counters_.reloads;
  std::cerr << "anisewick: configuration " << classes_.generation() << " is in force, with "
            << config_.classes.size() << " classes";
  for (const std::string& remark : config_.remarks) std::cerr << "; " << remark;
  std::cerr << std::endl;
}

// The settings and limits in force, or half of what they allow while another process has the other half.
void Service::tune() {
  if (shared_discovery_) shared_discovery_->purges_settle(config_.settings.purge_settle / kMs);
  const std::uint64_t parts = half_ ? 2 : 1;
  Settings settings = config_.settings;
  settings.classes = classes_.by_slot();
  settings.fall_multiple /= static_cast<double>(parts);
  settings.parent_fall_multiple /= static_cast<double>(parts);
  facade_.retune(settings);
  // Of the classes in force: a dropped one's may be longer than we are given at the end.
  life_.longest_deadline(longest_deadline(config_.settings));
  config::Config c;
  c.sockets = config_.sockets / parts;
  c.memory_mb = config_.memory_mb / parts;
  c.flow_bytes_per_s = config_.flow_bytes_per_s;
  c.settings.client_kb_per_s = config_.settings.client_kb_per_s;
  c.settings.max_retry_after = config_.settings.max_retry_after;
  front_.limit(front_limits(c));
  depots_.limit(link_limit(c));
}

// Carries out what the life cycle says now, and looks again when it says otherwise.
void Service::attend() {
  if (folder_ && !announced_ && life_.phase(now()) != lifecycle::Phase::kStarting) {
    announced_ = true;  // before the first yes: the one before must know
    life_.announced(now());
    publish();
  }
  const lifecycle::Duty duty = life_.duty(now());
  if (std::exchange(half_, duty.half) != duty.half) tune();
  front_.attend(duty);
  // A last answer, and a moment to write it: what is cut off without one is lost.
  if (duty.must_end && !std::exchange(failed_, true)) doorman_.fail_all();
  const bool done = (duty.close_idle ? front_.empty() : front_.idle()) &&
                    (around_.descriptor.has_value() || !duty.may_end || front_.stop_listening());
  const bool over = duty.must_end && now() >= over_at_;
  if (over || (duty.may_end && done)) return end();
  if (!duty.must_end) over_at_ = now() + kLastWrite;
  auto after = std::chrono::nanoseconds(std::min(duty.changes - now(), 1'000 * kMs));
  if (duty.may_end || duty.must_end) after = std::min<std::chrono::nanoseconds>(after, kLookAgain);
  next_.expires_after(std::max(after, std::chrono::nanoseconds(kMs)));
  next_.async_wait([this](Error error) {
    if (!error) attend();
  });
}

bool Service::publish() { return folder_->publish(holds_.marks(), drain_, announced_); }

// What other processes of this doorman were told, and who they are.
void Service::take_in(const handover::State& state) {
  const bus::Event change = holds_.merge(state.marks);
  if (change.kind != bus::Event::Kind::kNothing) doorman_.heed(change);
  if (state.drain != drain_) {
    drain_ = state.drain;
    life_.duck(now(), drain_.on);
  }
  const handover::Others others = handover::others(state, folder_->incarnation());
  life_.predecessor(others.before);
  life_.successor(others.after);
  const bool was_accompanied = std::exchange(accompanied_, others.before || others.after || others.starting);
  // After the events of the configuration, which are older, and before the rest, by which a process that
  // starts says yes.
  if ((accompanied_ || was_accompanied) && running_) shared_discovery_->exchange();
  if (std::exchange(left_, others.starting) != others.starting) {
    others.starting ? leave_learned() : folder_->clear(handover::Folder::Part::kLearned);
  }
  if (running_) attend();
}

// For the one that is starting: it takes the list, the calls and the bus's news before any of it.
void Service::leave_learned() {
  const std::string bytes = handover::encode_learned(facade_.learned(), config_.name, unix_ms());
  if (bytes.size() <= handover::kMostLearned) folder_->leave(handover::Folder::Part::kLearned, bytes);
}

void Service::take_learned() {
  if (announced_ || taken_) return;
  std::string why;
  const auto left = folder_->left_by_others(handover::Folder::Part::kLearned, handover::kMostLearned);
  if (left.empty()) return;
  const auto dated = handover::decode_learned(left.front(), config_.name, why);
  // One that was left for another, earlier process is too old.
  if (dated && dated->at_ms < started_ms_) return;
  taken_ = true;
  if (dated) {
    facade_.learn(dated->learned);
  } else {
    std::cerr << "anisewick: what the process before had learned is not taken: " << why << std::endl;
  }
  life_.handed_over();
  attend();
}

void Service::look() {
  if (!folder_) return;
  if (folder_->changed()) take_in(folder_->look());
  if (accompanied_) shared_discovery_->exchange();
  take_learned();
}

void Service::watch() {
  watching_.expires_after(kWatch);
  watching_.async_wait([this](Error error) {
    if (error) return;
    look();
    watch();
  });
}

void Service::trim() {
  trimming_.expires_after(kTrim);
  trimming_.async_wait([this](Error error) {
    if (error) return;
    trim_allocator();
    trim();
  });
}

void Service::end() {
  if (fleet_) fleet_->end();
  front_.close();
  door_.close();
  bus_.close();
  depots_.close();
  doorman_.close();
  if (reports_) reports_->close();
  io_.stop();
}

door::Verdict Service::called(const door::Call& call) {
  using What = door::Call::What;
  switch (call.what) {
    case What::kReady:
      look();
      attend();
      return life_.duty(now()).ready ? door::Verdict{200, "ready"} : door::Verdict{503, "not ready"};
    case What::kDetach:
    case What::kAttach:
      return hold(call);
    case What::kFleet:
      return {200, fleet_->status()};
    case What::kReplace: {
      const std::string why = fleet_->replace(call.out, call.in);
      return why.empty() ? door::Verdict{200, call.in + " is taking the place of " + call.out}
                         : door::Verdict{409, why};
    }
    case What::kDuckOn:
    case What::kDuckOff:
      duck(call.what == What::kDuckOn);
      return {200, life_.duck_now() ? "emptying" : "serving"};
    case What::kWorkTake:
      return worked(Fleet::Work::kTake, call);
    case What::kWorkStop:
      return worked(Fleet::Work::kStop, call);
    case What::kWorkPause:
      return worked(Fleet::Work::kPause, call);
    case What::kWorkResume:
      return worked(Fleet::Work::kResume, call);
    case What::kWorkBack:
      return worked(Fleet::Work::kBack, call);
    case What::kWorkGone:
      return worked(Fleet::Work::kGone, call);
    case What::kWorkJob:
      return worked(Fleet::Work::kJob, call);
    case What::kWork:
      return worked(Fleet::Work::kAll, call);
    case What::kZoneLeave:
      return zoned(Fleet::Zone::kLeave, call);
    case What::kZoneReturn:
      return zoned(Fleet::Zone::kReturn, call);
    case What::kZoneAuto:
      return zoned(Fleet::Zone::kAuto, call);
    case What::kZones:
      return zoned(Fleet::Zone::kAll, call);
  }
  return {404, "there is no such call"};
}

door::Verdict Service::worked(Fleet::Work what, const door::Call& call) {
  auto [status, line] = fleet_->work(what, call.out, call.in);
  return {status, std::move(line)};
}

door::Verdict Service::zoned(Fleet::Zone what, const door::Call& call) {
  auto [status, line] = fleet_->zone(what, call.out);
  return {status, std::move(line)};
}

void Service::duck(bool on) {
  look();
  if (!life_.duck(now(), on)) return;
  drain_ = {on, std::max(unix_ms(), drain_.at_ms + 1)};
  if (folder_) publish();
  if (fleet_) fleet_->drain(drain_.on || life_.phase(now()) == lifecycle::Phase::kEnding);
  attend();
}

Seen Service::seen(depot::Id id) const {
  Seen s;
  s.open = doorman_.open(id);
  s.needed = holds_.needed(id);
  const net::Doorman::Served served = doorman_.served(id);
  s.answers = served.answers;
  s.fills = served.fills;
  const bus::Depot* told = holds_.told(id);
  if (told == nullptr) return s;
  s.told = true;
  s.ready = told->state == bus::State::kReady;
  s.gone = told->state == bus::State::kGone;
  s.born_ms = told->started_ms;
  return s;
}

Site Service::site() const {
  const Settings& s = config_.settings;
  return {holds_.list(),     config_.zones,          s.zone, s.parent_kind, s.origin_kind, s.ramp / kMs,
          s.client_kb_per_s, s.max_retry_after / kMs};
}

void Service::settled(const holds::Word& word, bool ours_waits) {
  if (ours_waits) return;  // it will be settled too, and then has a higher number
  const bus::Event change = holds_.settle(word);
  if (change.kind != bus::Event::Kind::kNothing) doorman_.heed(change);
}

void Service::caught_up() {
  life_.fleet_heard();
  if (running_) attend();
}

door::Verdict Service::hold(const door::Call& call) {
  const bool out = call.what == door::Call::What::kDetach;
  const std::string id = depot::text_of(call.depot);
  look();
  const auto change =
      out ? holds_.detach(call.depot, steady_unix_ms()) : holds_.attach(call.depot, steady_unix_ms());
  if (!change) return {404, "nobody has " + id};
  if (change->kind != bus::Event::Kind::kNothing) doorman_.heed(*change);
  if (folder_) publish();  // before the answer: it binds a process that is to come, too
  const std::string said = id + (out ? " is out" : " is in");
  return {200, fleet_ ? said + " here; " + fleet_->called(call.depot, out) : said};
}

void Service::print_counters() const {
  std::cerr << "anisewick: " << counters_ << "; door: calls=" << door_.tally().calls
            << " turned_down=" << door_.tally().refused << " silent=" << door_.tally().silent;
  const net::MemoryAccount& account = front_.account();
  std::cerr << "; memory: limit=" << account.limit() << " most=" << account.most();
  for (std::size_t i = 0; i < net::MemoryAccount::kWords.size(); ++i)
    std::cerr << " " << net::MemoryAccount::kWords[i] << "="
              << account.held(static_cast<net::MemoryAccount::Place>(i));
  std::cerr << std::endl;
}

}  // namespace anisewick::service
