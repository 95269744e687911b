// The watch on discovery ("event bus" on the wire), opened again from the last number whenever it is lost.
#ifndef ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_
#define ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "bus/bus.hpp"
#include "links/asio.hpp"
#include "links/counters.hpp"

namespace anisewick::links {

class DiscoveryClient {
 public:
  using Heed = std::function<void(const bus::Event&)>;
  DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, std::uint64_t last,
                  Heed heed);
  // For who judges the numbers itself: `hello` says from where to ask at each connection, `heed` gets every
  // frame as it came, also empty ones and ones heard before, and `lost` is called when the connection ends.
  struct Raw {
    std::function<std::uint64_t()> hello;
    Heed heed;
    std::function<void()> lost;
  };
  DiscoveryClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, Raw raw);
  void start() { connect(); }
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
  void heed(const std::vector<bus::Event>& events);
  void connect();
  void say_hello(std::size_t from);
  void read();
  void watch(std::chrono::milliseconds limit);
  void again();

  Counters& counters_;
  Tcp::endpoint at_;
  std::uint64_t last_;
  Heed heed_;
  Raw raw_;
  std::function<void()> up_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  bool closed_ = false;
  unsigned turn_ = 0;  // of the connection: what is said of an earlier one is passed over
  std::string hello_;
  std::array<char, 16 * 1024> in_;
  bus::FrameReader reader_;
  std::chrono::steady_clock::time_point frame_began_{};  // the one that has come in part, if one has
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_DISCOVERY_CLIENT_HPP_
