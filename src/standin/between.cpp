#include "standin/between.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <queue>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace anisewick::standin {
namespace {

using Clock = std::chrono::steady_clock;
constexpr std::size_t kHeld = 100;
constexpr std::size_t kKept = 16;         // datagrams of each member, for a replay
constexpr std::size_t kFlights = 20'000;  // under way at once

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
int bound(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in a = loopback(0);
  socklen_t n = sizeof a;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) != 0) {
    throw std::runtime_error("no socket for the relay");
  }
  const int room = 1 << 20;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
  port = ntohs(a.sin_port);
  return fd;
}

}  // namespace

struct Between::Impl {
  struct Side {
    int fd = -1;
    std::uint16_t address = 0, own = 0;
    std::uint64_t from = 0, to = 0;
    std::deque<std::vector<char>> last;
  };
  struct Flight {
    Clock::time_point at;
    std::uint64_t order = 0;
    std::size_t from = 0, to = 0;
    std::vector<char> bytes;
    bool operator<(const Flight& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  struct Due {
    Clock::time_point at;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  mutable std::mutex mutex;
  std::mt19937_64 random;
  std::vector<Side> sides;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::set<std::pair<std::size_t, std::size_t>> holds;
  std::vector<Flight> held;
  double loss = 0.0, twice = 0.0;
  int delay_ms = 0;
  std::uint64_t order = 0;
  std::priority_queue<Flight> flights;
  std::priority_queue<Due> script;
  Counts counts;
  std::atomic<bool> over{false};
  int wake[2] = {-1, -1};
  std::thread thread;

  double lot() { return std::uniform_real_distribution<>()(random); }
  void pass(const Flight& f) {
    const sockaddr_in to = loopback(sides[f.to].own);
    // From the relay's address of the sender: there the receiver answers.
    if (::sendto(sides[f.from].fd, f.bytes.data(), f.bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&to), sizeof to) > 0) {
      ++counts.passed;
      ++sides[f.from].from;
      ++sides[f.to].to;
    }
  }
  void came(std::size_t from, std::size_t to, std::vector<char> bytes) {
    Side& side = sides[from];
    side.last.push_back(bytes);
    if (side.last.size() > kKept) side.last.pop_front();
    if (cuts.contains({from, to})) {
      ++counts.cut;
      return;
    }
    if (holds.contains({from, to}) && held.size() < kHeld) {
      held.push_back({Clock::now(), ++order, from, to, std::move(bytes)});
      return;
    }
    if (lot() < loss || flights.size() >= kFlights) {
      ++counts.lost;
      return;
    }
    const int copies = lot() < twice ? 2 : 1;
    counts.twice += static_cast<std::uint64_t>(copies - 1);
    for (int i = 0; i < copies; ++i) {
      const auto late = std::chrono::microseconds(
          delay_ms == 0 ? 0 : static_cast<int>(random() % static_cast<std::uint64_t>(1000 * delay_ms)));
      flights.push({Clock::now() + late, ++order, from, to, bytes});
    }
  }
  void run() {
    std::array<char, 4096> in;
    std::vector<pollfd> fds;
    while (!over) {
      int wait = 50;
      std::vector<std::function<void()>> due;
      {
        const std::lock_guard hold(mutex);
        const auto now = Clock::now();
        while (!script.empty() && script.top().at <= now) {
          due.push_back(script.top().what);
          script.pop();
        }
        while (!flights.empty() && flights.top().at <= now) {
          if (!cuts.contains({flights.top().from, flights.top().to})) pass(flights.top());
          flights.pop();
        }
        const auto until = [&](Clock::time_point at) {
          const auto ms = std::chrono::ceil<std::chrono::milliseconds>(at - now).count();
          wait = static_cast<int>(std::clamp<std::int64_t>(ms, 0, wait));
        };
        if (!flights.empty()) until(flights.top().at);
        if (!script.empty()) until(script.top().at);
        fds.assign(1, {wake[0], POLLIN, 0});
        for (const Side& s : sides) fds.push_back({s.fd, POLLIN, 0});
      }
      for (const auto& what : due) what();
      if (!due.empty()) continue;
      ::poll(fds.data(), fds.size(), wait);
      const std::lock_guard hold(mutex);
      while (::read(wake[0], in.data(), in.size()) > 0) {
      }
      for (std::size_t to = 0; to < sides.size(); ++to) {
        for (int i = 0; i < 64; ++i) {
          sockaddr_in a{};
          socklen_t size = sizeof a;
          const ssize_t n =
              ::recvfrom(sides[to].fd, in.data(), in.size(), 0, reinterpret_cast<sockaddr*>(&a), &size);
          if (n <= 0) break;
          for (std::size_t from = 0; from < sides.size(); ++from) {
            if (sides[from].own == ntohs(a.sin_port)) came(from, to, {in.data(), in.data() + n});
          }
        }
      }
    }
  }
  void stir() {
    const char c = 0;
    if (::write(wake[1], &c, 1) < 0) return;  // full: it is awake
  }
};

Between::Between(std::size_t members, std::uint64_t seed) : impl_(std::make_unique<Impl>()) {
  impl_->random.seed(seed);
  std::vector<int> held;  // so that no two are given the same port
  for (std::size_t i = 0; i < members; ++i) {
    Impl::Side side;
    side.fd = bound(side.address);
    held.push_back(bound(side.own));
    impl_->sides.push_back(std::move(side));
  }
  for (const int fd : held) ::close(fd);
  if (::pipe2(impl_->wake, O_CLOEXEC | O_NONBLOCK) != 0) throw std::runtime_error("no pipe");
  impl_->thread = std::thread([this] { impl_->run(); });
}

Between::~Between() {
  impl_->over = true;
  impl_->stir();
  impl_->thread.join();
  for (const auto& s : impl_->sides) ::close(s.fd);
  ::close(impl_->wake[0]);
  ::close(impl_->wake[1]);
}

std::uint16_t Between::address(std::size_t i) const { return impl_->sides[i].address; }
std::uint16_t Between::own(std::size_t i) const { return impl_->sides[i].own; }

void Between::lose(double share) {
  const std::lock_guard hold(impl_->mutex);
  impl_->loss = share;
}
void Between::twice(double share) {
  const std::lock_guard hold(impl_->mutex);
  impl_->twice = share;
}
void Between::delay(int most_ms) {
  const std::lock_guard hold(impl_->mutex);
  impl_->delay_ms = most_ms;
}
void Between::cut(std::size_t from, std::size_t to, bool on) {
  const std::lock_guard hold(impl_->mutex);
  if (on) {
    impl_->cuts.insert({from, to});
  } else {
    impl_->cuts.erase({from, to});
  }
}
void Between::split(const std::set<std::size_t>& side, bool one_way) {
  const std::lock_guard hold(impl_->mutex);
  impl_->cuts.clear();
  for (std::size_t a = 0; a < impl_->sides.size(); ++a) {
    for (std::size_t b = 0; b < impl_->sides.size(); ++b) {
      if (!side.contains(a) || side.contains(b)) continue;
      impl_->cuts.insert({a, b});
      if (!one_way) impl_->cuts.insert({b, a});
    }
  }
}
void Between::heal() {
  const std::lock_guard hold(impl_->mutex);
  impl_->cuts.clear();
}
void Between::at(int ms, std::function<void()> what) {
  {
    const std::lock_guard hold(impl_->mutex);
    impl_->script.push({Clock::now() + std::chrono::milliseconds(ms), ++impl_->order, std::move(what)});
  }
  impl_->stir();
}
void Between::replay(std::size_t from, std::size_t to) {
  {
    const std::lock_guard hold(impl_->mutex);
    for (const auto& bytes : impl_->sides[from].last) {
      impl_->flights.push({Clock::now(), ++impl_->order, from, to, bytes});
    }
  }
  impl_->stir();
}
void Between::hold(std::size_t from, std::size_t to) {
  const std::lock_guard hold(impl_->mutex);
  impl_->holds.insert({from, to});
}
void Between::let_go() {
  {
    const std::lock_guard hold(impl_->mutex);
    impl_->holds.clear();
    for (auto& f : std::exchange(impl_->held, {})) impl_->flights.push(std::move(f));
  }
  impl_->stir();
}
void Between::noise(std::size_t to, const std::vector<char>& bytes) {
  {
    const std::lock_guard hold(impl_->mutex);
    impl_->flights.push({Clock::now(), ++impl_->order, to == 0 ? 1u : 0u, to, bytes});
  }
  impl_->stir();
}
Between::Counts Between::counts() const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->counts;
}
std::uint64_t Between::passed_from(std::size_t i) const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->sides[i].from;
}
std::uint64_t Between::passed_to(std::size_t i) const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->sides[i].to;
}

}  // namespace anisewick::standin
