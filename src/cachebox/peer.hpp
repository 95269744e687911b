// One connection from a doorman or another box: requests come in, answers go out. Bounded both ways.
#ifndef ANISEWICK_CACHEBOX_PEER_HPP_
#define ANISEWICK_CACHEBOX_PEER_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "cachebox/settings.hpp"
#include "copies/copy.hpp"
#include "depot/request.hpp"
#include "links/asio.hpp"
#include "serving/serving.hpp"

namespace anisewick::cachebox {

class Peer : public std::enable_shared_from_this<Peer> {
 public:
  using Ticket = std::uint64_t;
  struct Events {
    // A request has come whole. False: the peer breaks the protocol with it, and its connection ends.
    std::function<bool(const std::shared_ptr<Peer>&, depot::Request&&)> asked;
    // The connection has ended, and with it all that is in `open`. Called once.
    std::function<void(const std::shared_ptr<Peer>&)> ended;
    std::function<void()> malformed;
  };

  Peer(links::Tcp::socket socket, const Settings& settings, serving::Pacer& pacer, const Events& events);
  void start();
  // `bytes` may be none.
  void answer(std::string head, copies::Bytes bytes);
  void close();
  // Something of an answer is still to be written.
  bool writing() const { return !out_.empty(); }

  std::unordered_map<std::string, Ticket> open;  // requests by the peer's ids

 private:
  struct Out {
    std::string head;
    copies::Bytes bytes;
    std::size_t at = 0;  // of head, bytes and the end, what is written
    serving::Pacer::Transfer transfer;
  };
  void read();
  void write();
  void watch();

  links::Tcp::socket socket_;
  asio::steady_timer timer_, pace_;
  const Settings& settings_;
  serving::Pacer& pacer_;
  const Events& events_;
  depot::RequestReader reader_;
  std::array<char, 16 * 1024> in_;
  std::deque<Out> out_;
  std::size_t unread_ = 0;  // bytes in out_
  bool reading_ = false, paused_ = false, writing_ = false, closed_ = false;
  std::chrono::steady_clock::time_point heard_, moved_, begun_;
};

}  // namespace anisewick::cachebox

#endif  // ANISEWICK_CACHEBOX_PEER_HPP_
