#include "links/discovery_client.hpp"

#include <algorithm>
#include <utility>

#include "links/stream.hpp"

namespace anisewick::links {
namespace {

using Clock = std::chrono::steady_clock;

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at,
                                 std::uint64_t last, Heed heed)
    : io_(io), counters_(counters), at_(at), last_(last), heed_(std::move(heed)), timer_(io) {}

DiscoveryClient::DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, Raw raw)
    : io_(io), counters_(counters), at_(at), last_(0), raw_(std::move(raw)), timer_(io) {}

void DiscoveryClient::look() {
  if (closed_) return;
  const WatchPlan::Due due = plan_.due(Clock::now());
  if (due.fell_silent) lost();
  for (const WatchPlan::Id id : due.close) close(id);
  if (due.open) open();
  timer_.expires_at(plan_.next_look());
  timer_.async_wait([this](Error error) {
    if (!error) look();
  });
}

void DiscoveryClient::open() {
  const auto watch = std::make_shared<Watch>(io_, plan_.opened(Clock::now()));
  watches_.push_back(watch);
  watch->socket.async_connect(at_, [this, watch](Error error) {
    if (watch->closed) return;
    if (error) return failed(watch);
    set_up(watch->socket);
    plan_.up(watch->id, Clock::now());
    watch->hello = bus::hello_bytes(raw_.ask_from ? raw_.ask_from() : last_);
    say_hello(watch, 0);
    read(watch);
    look();
  });
}

void DiscoveryClient::say_hello(const WatchPtr& watch, std::size_t from) {
  async_write_available(watch->socket, asio::buffer(watch->hello) + from,
                        [this, watch, from](Error error, std::size_t size) {
                          if (watch->closed) return;
                          if (error) return failed(watch);
                          if (from + size < watch->hello.size()) return say_hello(watch, from + size);
                          if (up_) up_();
                        });
}

void DiscoveryClient::read(const WatchPtr& watch) {
  async_read_available(watch->socket, asio::buffer(in_), [this, watch](Error error, std::size_t size) {
    if (watch->closed) return;
    if (error) return failed(watch);
    take(watch, size);
    if (!watch->closed) read(watch);
  });
}

void DiscoveryClient::take(const WatchPtr& watch, std::size_t size) {
  std::vector<bus::Event> events;
  const bool fine = watch->reader.feed({in_.data(), size}, events);
  if (!events.empty()) told(watch);
  heed(events);
  if (watch->closed) return;  // what was told has moved the bus
  if (!fine) return failed(watch);
  plan_.heard(watch->id, watch->reader.midway(), Clock::now());
  look();
}

void DiscoveryClient::told(const WatchPtr& watch) {
  const bool another = !plan_.is_current(watch->id);
  for (const WatchPlan::Id other : plan_.told(watch->id, Clock::now())) close(other);
  if (another && raw_.begun) raw_.begun();
}

void DiscoveryClient::heed(const std::vector<bus::Event>& events) {
  for (const bus::Event& event : events) {
    if (raw_.heed) {
      raw_.heed(event);
      continue;
    }
    // An empty frame tells nothing new; and what was told before the connection was lost is not heeded twice.
    if (event.kind == bus::Event::Kind::kNothing || event.number <= last_) continue;
    last_ = event.number;
    heed_(event);
  }
}

void DiscoveryClient::failed(const WatchPtr& watch) {
  const bool current = plan_.is_current(watch->id);
  plan_.ended(watch->id, Clock::now());
  close(watch->id);
  if (current) {
    lost();
  } else {
    ++counters_.bus_lost;
  }
  look();
}

void DiscoveryClient::lost() {
  ++counters_.bus_lost;
  if (raw_.lost) raw_.lost();
}

void DiscoveryClient::move(const Tcp::endpoint& at, const std::vector<bus::Event>& known) {
  if (closed_) return;
  heed(known);
  at_ = at;
  close_all();
  plan_ = WatchPlan{};
  look();
}

void DiscoveryClient::close(WatchPlan::Id id) {
  const auto it =
      std::find_if(watches_.begin(), watches_.end(), [&](const WatchPtr& w) { return w->id == id; });
  if (it == watches_.end()) return;
  Error ignored;
  (*it)->closed = true;
  (*it)->socket.close(ignored);
  watches_.erase(it);
}

void DiscoveryClient::close_all() {
  const std::vector<WatchPtr> all = watches_;
  for (const WatchPtr& watch : all) close(watch->id);
}

void DiscoveryClient::close() {
  closed_ = true;
  timer_.cancel();
  close_all();
}

}  // namespace anisewick::links
