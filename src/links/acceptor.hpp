// Takes the connections of a listening socket, one after another. A failure of accept passes: it is tried
// again at once, then after pauses, and nobody who is connected pays for it.
#ifndef ANISEWICK_LINKS_ACCEPTOR_HPP_
#define ANISEWICK_LINKS_ACCEPTOR_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "links/asio.hpp"

namespace anisewick::links {

// Used on the loop's thread; outlived by nothing that it calls.
class Acceptor {
 public:
  struct Events {
    std::function<bool()> room;  // asked once somebody waits; false: looked again later
    std::function<void(Tcp::socket socket)> taken;
    // For half a second there was no descriptor of ours to be had: one may be given back.
    std::function<void()> out_of_descriptors;
  };
  Acceptor(asio::io_context& io, Events events);

  // Listens on a socket of its own.
  void listen(const Tcp::endpoint& at, Error& error);
  // On one that others hold too.
  void adopt(int descriptor, Error& error);
  bool is_open() const { return acceptor_.is_open(); }
  std::uint16_t port() const;

  // From now on; again without effect.
  void start();
  // Who comes now waits in the kernel. One that was reported before is still taken.
  void stop();
  // So long ago it began to be behind: those it takes now may have waited since then. 0: it is not.
  std::chrono::nanoseconds behind() const;
  // It still looks for the next one.
  bool waiting() const { return waiting_; }
  // Takes one that waits. False: none waits (`error` is would_block), or none can be had.
  bool take_one(Error& error);
  void close();

 private:
  void set_up();
  void wait();
  void take_waiting();
  void pause(const Error& error);

  asio::io_context& io_;
  Events events_;
  Tcp::acceptor acceptor_;
  asio::steady_timer again_;
  bool started_ = false, waiting_ = false;
  std::chrono::milliseconds pause_{};
  std::optional<std::chrono::steady_clock::time_point> out_since_;  // of descriptors
  std::optional<std::chrono::steady_clock::time_point> behind_since_;
  std::chrono::steady_clock::time_point wait_began_{};
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_ACCEPTOR_HPP_
