// The watch on discovery ("event bus" on the wire), opened again from the last number whenever it is lost or
// silent. A silent one stays open until another has told something: it may only be slow.
#ifndef ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_
#define ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bus/bus.hpp"
#include "links/asio.hpp"
#include "links/counters.hpp"
#include "links/watch_plan.hpp"

namespace anisewick::links {

class DiscoveryClient {
 public:
  using Heed = std::function<void(const bus::Event&)>;
  DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, std::uint64_t last,
                  Heed heed);
  // For who judges the numbers itself.
  struct Raw {
    std::function<std::uint64_t()> ask_from;  // the number that a new connection asks from
    std::function<void()> begun;              // what comes from here on is of another connection than before
    Heed heed;                                // every frame as it came, also empty ones and ones heard before
    // The connection that told something last has ended or fallen silent. In the latter case it may go on,
    // with nothing missed, and then `begun` is not called.
    std::function<void()> lost;
  };
  DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, Raw raw);
  void start() { look(); }
  // `up` is called at each connection, once it has been asked for what follows.
  void when_up(std::function<void()> up) { up_ = std::move(up); }
  // Asks at the new address from here on, for what follows the last event that was heeded.
  void move(const Tcp::endpoint& at, const std::vector<bus::Event>& known);
  void close();
  // The number of the last event that was heeded.
  std::uint64_t last() const { return last_; }
  // All up to that event is known from elsewhere, and is passed over where it still comes.
  void advance(std::uint64_t number) { last_ = std::max(last_, number); }

 private:
  // One connection. Its handlers keep it alive.
  struct Watch {
    Watch(asio::io_context& io, WatchPlan::Id i) : id(i), socket(io) {}
    const WatchPlan::Id id;
    Tcp::socket socket;
    std::string hello;
    bus::FrameReader reader;
    bool closed = false;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  void heed(const std::vector<bus::Event>& events);
  void open();
  void say_hello(const WatchPtr& watch, std::size_t from);
  void read(const WatchPtr& watch);
  void take(const WatchPtr& watch, std::size_t size);
  void told(const WatchPtr& watch);
  void failed(const WatchPtr& watch);
  void close(WatchPlan::Id id);
  void close_all();
  // Does what is due and comes again when the next of it will be.
  void look();
  void lost();

  asio::io_context& io_;
  Counters& counters_;
  Tcp::endpoint at_;
  std::uint64_t last_;
  Heed heed_;
  Raw raw_;
  std::function<void()> up_;
  asio::steady_timer timer_;
  bool closed_ = false;
  WatchPlan plan_;
  std::vector<WatchPtr> watches_;   // those that are open
  std::array<char, 16 * 1024> in_;  // of all of them: what is read is taken from it at once
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_
