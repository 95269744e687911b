// Where clients connect: FastCGI connections, requests as Calls, answers as CGI responses.
#ifndef ANISEWICK_NET_FRONT_HPP_
#define ANISEWICK_NET_FRONT_HPP_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "lifecycle/lifecycle.hpp"
#include "links/acceptor.hpp"
#include "net/answer_sizes.hpp"
#include "net/asio.hpp"
#include "net/call.hpp"
#include "net/counters.hpp"
#include "net/memory_account.hpp"

namespace anisewick::net {

class Front {
 public:
  struct Limits {
    std::size_t connections = 400;
    std::size_t held_bytes = 64u << 20;  // of memory for requests and answers, over all connections
    double bytes_per_kb = 0.0;           // of answers, as the settings tell; 0: they do not
    std::int64_t come_back = 0;          // nanoseconds that a client stays away for whom there is no room
  };

  Front(asio::io_context& io, Calls& calls, Counters& counters, Limits limits);
  ~Front();

  // Nothing is accepted before `attend` says so.
  void listen(const Tcp::endpoint& at, Error& error);
  // On a listening socket that others hold too: it is left as it is when we go.
  void listen(int descriptor, Error& error);
  void limit(const Limits& limits);
  // From here on: who is taken, what is told of our readiness, which connections end.
  void attend(const lifecycle::Duty& duty);
  // On a socket of our own, for good. False: there were connections that waited to be taken; they are taken
  // now, since a close would reset them, and we listen on.
  bool stop_listening();
  // For good; those who still wait to be taken are turned away where the socket is our own.
  void close();
  bool idle() const;  // nothing is open and every answer is written
  // There is no connection, none on its way from the kernel, and the last one ended long enough ago for a
  // request that crossed its end to have come again.
  bool empty() const;
  void answer(Ticket ticket, const Answer& answer);
  const MemoryAccount& account() const { return account_; }
  // More of its answer may be read from the server. Not for a client that does not take what is there while
  // memory is short, and for nobody beyond the limit, since answers may be larger than was expected.
  bool may_read(Ticket ticket) const;

 private:
  class Connection;
  // The one that was active longest ago first.
  using Order = std::list<Connection*>;
  struct Open {
    std::shared_ptr<Connection> connection;
    std::uint16_t id = 0;
    bool keep = true;
    double size_kb = 0.0;
    MemoryAccount::Charge request, answer;
  };
  void take(Tcp::socket socket);
  bool make_room();  // closes the connection that is missed least, if there is one
  // There is memory for a request of a connection that holds `own` bytes already: a part of what is free, so
  // that few large ones do not keep the small ones of others out.
  bool has_room(std::size_t own, std::size_t bytes) const;
  // What is held in fact: where more of the answers has come than was reserved for them, that counts.
  std::size_t held() const;
  // Half of the memory is held: who takes nothing goes.
  bool crowded() const { return held() > account_.limit() / 2; }
  // Requests in part hold too much: the largest and oldest of them go.
  void bound_incoming();

  asio::io_context& io_;
  Calls& calls_;
  Counters& counters_;
  Limits limits_;
  lifecycle::Duty duty_;
  Ticket next_ticket_ = 1;
  std::array<char, 16 * 1024> read_buffer_;  // of all connections: what is read is taken from it at once
  MemoryAccount account_;
  AnswerSizes answer_sizes_;
  std::chrono::steady_clock::time_point last_ended_{};  // a connection
  std::unordered_map<Ticket, Open> open_;
  // Connections by what they are worth when room is needed: those that are ending, those that never asked for
  // anything, the others.
  Order ending_, silent_, used_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  links::Acceptor acceptor_;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_FRONT_HPP_
