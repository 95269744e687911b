#include "service/service.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace anisewick::service {
namespace {

using net::Error;

constexpr std::size_t kShared = 2;
constexpr auto kLookAgain = std::chrono::milliseconds(10);
constexpr std::int64_t kMs = 1'000'000;
constexpr lifecycle::Time kMostDeadline = 3'600'000 * kMs;  // more is no figure to wait by

lifecycle::Time now() {
  return std::chrono::steady_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}
std::int64_t unix_ms() { return net::unix_now() / kMs; }

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
  limits.held_bytes = c.memory_mb * (std::uint64_t{1} << 20) / 4;
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
      door_(io_, [this](const door::Call& call) { return called(call); }),
      signals_(io_, SIGTERM, SIGINT, SIGUSR1),
      next_(io_) {
  signals_.add(SIGHUP);
  doorman_.answers_by([this](net::Ticket ticket, const net::Answer& a) { front_.answer(ticket, a); });
  if (around_.report_gap.count() > 0) reports_.emplace(io_, counters_, around_.report_gap, std::cerr);
  life_.longest_deadline(longest_deadline(c.settings));
  classes_.adopt(c.classes, c.settings.classes);
  // Before the first request: a purge or a drain known now must not be found out later.
  for (const bus::Event& event : c.known) heed(event);
  life_.handed_over();
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
  bus_.start();
  doorman_.start();
  if (reports_) reports_->start();
  wait_for_signal();
  running_ = true;
  attend();
  io_.run();
  print_counters();
  return 0;
}

void Service::heed(const bus::Event& event) {
  doorman_.heed(holds_.over(event));
  if (!doorman_.listed() || std::exchange(listed_, true)) return;
  life_.listed();
  if (running_) attend();
}

void Service::wait_for_signal() {
  signals_.async_wait([this](Error error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else if (signal == SIGHUP) {
      reload();
    } else {
      life_.term(now());
      attend();
    }
    wait_for_signal();
  });
}

// A file that cannot be used changes nothing: all of it is read and checked before any of it counts.
void Service::reload() {
  try {
    config::Config c = config::load(around_.config_path);
    config::need_keys_of(config_, c);
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
  Settings settings = config_.settings;
  settings.classes = classes_.by_slot();
  facade_.retune(settings);
  life_.longest_deadline(longest_deadline(settings));
  front_.limit(front_limits(config_));
  bus_.move(net::endpoint_of(config_.bus.address, config_.bus.port), config_.known);
  config_.known.clear();
  ++counters_.reloads;
  std::cerr << "anisewick: configuration " << classes_.generation() << " is in force, with "
            << config_.classes.size() << " classes" << std::endl;
}

// Carries out what the life cycle says now, and looks again when it says otherwise.
void Service::attend() {
  const lifecycle::Duty duty = life_.duty(now());
  front_.attend(duty);
  const bool done = duty.close_idle ? front_.empty() : front_.idle();
  if (duty.must_end || (duty.may_end && done)) return end();
  auto after = std::chrono::nanoseconds(std::min(duty.changes - now(), 1'000 * kMs));
  if (duty.may_end) after = std::min<std::chrono::nanoseconds>(after, kLookAgain);
  next_.expires_after(std::max(after, std::chrono::nanoseconds(kMs)));
  next_.async_wait([this](Error error) {
    if (!error) attend();
  });
}

void Service::end() {
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
      return life_.duty(now()).ready ? door::Verdict{200, "ready"} : door::Verdict{503, "not ready"};
    case What::kDetach:
    case What::kAttach:
      return hold(call);
    case What::kDuckOn:
    case What::kDuckOff:
      if (life_.duck(now(), call.what == What::kDuckOn)) attend();
      return {200, life_.duck_now() ? "emptying" : "serving"};
  }
  return {404, "there is no such call"};
}

door::Verdict Service::hold(const door::Call& call) {
  const bool out = call.what == door::Call::What::kDetach;
  const std::string id = depot::text_of(call.depot);
  const auto change = out ? holds_.detach(call.depot, unix_ms()) : holds_.attach(call.depot, unix_ms());
  if (!change) return {404, "nobody has " + id};
  if (change->kind != bus::Event::Kind::kNothing) doorman_.heed(*change);
  return {200, id + (out ? " is out" : " is in")};
}

void Service::print_counters() const {
  std::cerr << "anisewick: " << counters_ << "; door: calls=" << door_.tally().calls
            << " turned_down=" << door_.tally().refused << " silent=" << door_.tally().silent << std::endl;
}

}  // namespace anisewick::service
