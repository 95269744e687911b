// The doorman: reads its configuration, wires the parts together, serves until it is told to end.
#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "facade/facade.hpp"
#include "net/asio.hpp"
#include "net/counters.hpp"
#include "net/doorman.hpp"
#include "net/front.hpp"
#include "net/reports.hpp"

namespace anisewick {
namespace {

using net::Error;

// After SIGTERM clients keep coming for a while; only then is the end of all that is open the end of the
// work.
constexpr auto kServeOn = std::chrono::milliseconds(1000);
constexpr std::size_t kShared = 2;
constexpr auto kLookAgain = std::chrono::milliseconds(10);

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

class Program {
 public:
  Program(std::string path, const config::Config& c)
      : path_(std::move(path)),
        facade_(c.settings),
        depots_(io_, counters_,
                {std::chrono::nanoseconds(c.connect_timeout), std::chrono::nanoseconds(c.connection_idle),
                 c.streams, link_limit(c), share_of(c)}),
        doorman_(io_, facade_, depots_, counters_, classes_of(c)),
        front_(io_, doorman_, counters_, front_limits(c)),
        bus_(io_, counters_, net::endpoint_of(c.bus.address, c.bus.port), c.known_number,
             [this](const bus::Event& event) { doorman_.heed(event); }),
        signals_(io_, SIGTERM, SIGINT, SIGUSR1),
        end_(io_) {
    signals_.add(SIGHUP);
    doorman_.answers_by([this](net::Ticket ticket, const net::Answer& a) { front_.answer(ticket, a); });
    if (const auto gap = report_gap(); gap.count() > 0) reports_.emplace(io_, counters_, gap, std::cerr);
    // Before the first request: a purge or a drain known now must not be found out later.
    for (const bus::Event& event : c.known) doorman_.heed(event);
  }

  int run(const config::Endpoint& listen) {
    Error error;
    front_.listen(net::endpoint_of(listen.address, listen.port), error);
    if (error) {
      std::cerr << "anisewick: cannot listen: " << error.message() << std::endl;
      return 1;
    }
    bus_.start();
    doorman_.start();
    if (reports_) reports_->start();
    wait_for_signal();
    io_.run();
    print_counters();
    return 0;
  }

 private:
  static std::vector<net::Doorman::Class> classes_of(const config::Config& c) {
    std::vector<net::Doorman::Class> classes;
    for (std::size_t i = 0; i < c.classes.size(); ++i) {
      classes.push_back({c.classes[i], c.settings.classes[i].deadline});
    }
    return classes;
  }
  // Off unless asked for: the platform's doorman writes its few plain lines.
  static std::chrono::milliseconds report_gap() {
    const std::string text = environment("ANISEWICK_REPORT_MS");
    long gap = 0;
    std::from_chars(text.data(), text.data() + text.size(), gap);
    return std::chrono::milliseconds(std::clamp(gap, 0L, 3'600'000L));
  }
  // A quarter of the descriptors, and less memory than the requests themselves may take.
  static std::size_t link_limit(const config::Config& c) {
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(c.sockets / 4, 8, 256));
  }
  // One request a connection keeps what spoils it from the others; where handshakes have a price, and so are
  // scarce, a few share one.
  static std::size_t share_of(const config::Config& c) {
    return c.handshake_price > 0.0 ? std::min<std::size_t>(kShared, static_cast<std::size_t>(c.streams)) : 1;
  }
  static net::Front::Limits front_limits(const config::Config& c) {
    net::Front::Limits limits;
    // Clients that behave hold at most a third of the descriptors; more would starve the depots' connections.
    limits.connections = std::max<std::uint64_t>(8, c.sockets / 2);
    limits.held_bytes = c.memory_mb * (std::uint64_t{1} << 20) / 4;
    return limits;
  }

  void wait_for_signal() {
    signals_.async_wait([this](Error error, int signal) {
      if (error) return;
      if (signal == SIGUSR1) {
        print_counters();
      } else if (signal == SIGHUP) {
        reload();
      } else if (!ending_) {
        ending_ = true;
        end_.expires_after(kServeOn);
        end_.async_wait([this](Error) { end_when_done(); });
      }
      wait_for_signal();
    });
  }
  // The event bus may have moved, the limits may have changed. What the decisions rest on stays as it was at
  // the start: they know what is open and what was learned. A bad file leaves all of it in force.
  void reload() {
    try {
      const config::Config c = config::load(path_);
      front_.limit(front_limits(c));
      bus_.move(net::endpoint_of(c.bus.address, c.bus.port), c.known);
      ++counters_.reloads;
    } catch (const std::exception& e) {
      std::cerr << "anisewick: the old configuration stays in force: " << e.what() << std::endl;
    }
  }
  void end_when_done() {
    front_.stop_accepting();
    if (front_.idle()) {
      bus_.close();
      depots_.close();
      doorman_.close();
      if (reports_) reports_->close();
      io_.stop();
      return;
    }
    end_.expires_after(kLookAgain);
    end_.async_wait([this](Error) { end_when_done(); });
  }
  void print_counters() const { std::cerr << "anisewick: " << counters_ << std::endl; }

  const std::string path_;
  asio::io_context io_{1};
  net::Counters counters_;
  Facade facade_;
  net::DepotPool depots_;
  net::Doorman doorman_;
  net::Front front_;
  net::BusClient bus_;
  std::optional<net::Reports> reports_;
  asio::signal_set signals_;
  asio::steady_timer end_;
  bool ending_ = false;
};

int start() {
  const std::string path = environment("RELAY_CONFIG");
  if (path.empty()) throw config::Bad("RELAY_CONFIG is not set");
  const config::Config c = config::load(path);
  const std::string listen = environment("RELAY_LISTEN");
  Program program(path, c);
  return program.run(listen.empty() ? c.listen : config::endpoint_from(listen));
}

}  // namespace
}  // namespace anisewick

int main() {
  try {
    return anisewick::start();
  } catch (const std::exception& e) {
    std::cerr << "anisewick: " << e.what() << std::endl;
    return 1;
  }
}
