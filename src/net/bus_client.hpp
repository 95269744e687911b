// The connection to the event bus, made again from the last number whenever it is lost.
#ifndef ANISEWICK_NET_BUS_CLIENT_HPP_
#define ANISEWICK_NET_BUS_CLIENT_HPP_

#include <array>
#include <functional>
#include <vector>

#include "bus/bus.hpp"
#include "net/asio.hpp"
#include "net/counters.hpp"

namespace anisewick::net {

class BusClient {
 public:
  using Heed = std::function<void(const bus::Event&)>;
  BusClient(asio::io_context& io, Counters& counters, const Tcp::endpoint& at, std::uint64_t last, Heed heed);
  void start() { connect(); }
  // Asks at the new address from here on, for what follows the last event that was heeded.
  void move(const Tcp::endpoint& at, const std::vector<bus::Event>& known);
  void close();

 private:
  void heed(const std::vector<bus::Event>& events);
  void connect();
  void read();
  void watch(std::chrono::milliseconds limit);
  void again();

  Counters& counters_;
  Tcp::endpoint at_;
  std::uint64_t last_;
  Heed heed_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  bool closed_ = false;
  unsigned turn_ = 0;  // of the connection: what is said of an earlier one is passed over
  std::string hello_;
  std::array<char, 16 * 1024> in_;
  bus::FrameReader reader_;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_BUS_CLIENT_HPP_
