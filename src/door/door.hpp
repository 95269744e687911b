// The door for operators: a further address that speaks HTTP/1.1, one call a connection.
#ifndef ANISEWICK_DOOR_DOOR_HPP_
#define ANISEWICK_DOOR_DOOR_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "door/calls.hpp"
#include "links/acceptor.hpp"
#include "links/asio.hpp"

namespace anisewick::door {

struct Verdict {
  int status = 200;
  std::string line;  // what it shows, in a line
};

// Owned by the program, used on its one thread. Every call is answered within the turn of the loop that read
// its last byte; the answer of one that changes something is written after the change is in force.
class Door {
 public:
  using Answerer = std::function<Verdict(const Call&)>;
  struct Tally {  // since the start
    std::uint64_t calls = 0, refused = 0, silent = 0;
  };
  // Connections held at once, out of the descriptors of the program.
  static constexpr std::size_t kConnections = 16;

  // `fleet`: with the calls of a doorman that belongs to one.
  Door(asio::io_context& io, Answerer answer, bool fleet = false);
  ~Door();
  void listen(const links::Tcp::endpoint& at, links::Error& error);
  // No further calls; those under way end.
  void close();
  const Tally& tally() const { return tally_; }

 private:
  class Visitor;
  void take(links::Tcp::socket socket);
  void close_oldest();

  asio::io_context& io_;
  Answerer answer_;
  const bool fleet_;
  Tally tally_;
  std::list<std::shared_ptr<Visitor>> visitors_;  // the oldest first
  links::Acceptor acceptor_;
};

}  // namespace anisewick::door

#endif  // ANISEWICK_DOOR_DOOR_HPP_
