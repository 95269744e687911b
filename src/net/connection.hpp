// One client connection of the front. It ends in order: no further request is taken, what is open is answered
// and written, our half is closed, and the socket only once the client has closed its own. A close over
// unread bytes would reset the connection, and take answers with it that the client has not read yet.
#ifndef ANISEWICK_NET_CONNECTION_HPP_
#define ANISEWICK_NET_CONNECTION_HPP_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fastcgi/fastcgi.hpp"
#include "net/asio.hpp"
#include "net/call.hpp"
#include "net/front.hpp"
#include "net/output_queue.hpp"
#include "net/request_log.hpp"

namespace anisewick::net {

// Owned by the front and by its own pending operations; used on the loop's thread.
class Front::Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Clock = std::chrono::steady_clock;

  Connection(Front& front, Tcp::socket socket, ConnectionNumber number);

  void start();
  void write(std::string bytes);
  // The request was answered: its id comes free. `keep`: the client asked to keep the connection.
  void answered(std::uint16_t id, bool keep);
  // Ends in order, as soon as nothing is open or unwritten.
  void finish(ConnectionEnd why);
  // Ends at once.
  void close(ConnectionEnd why);
  bool written() const { return out_.size() == 0; }
  // It may be closed at once to make room for another. Not a new one, whose request may be on its way.
  bool spare(Clock::time_point now) const;
  ConnectionNumber number() const { return number_; }
  // The request is over, and so many bytes were held for it.
  void forget(std::uint16_t id, std::size_t bytes) {
    tickets_.erase(id);
    owed_ -= bytes;
  }
  std::size_t unwritten() const { return out_.size(); }  // bytes
  // It has taken nothing of its answers for so long that no client does who keeps to the pages.
  bool stalled(Clock::time_point now) const;
  // By how much what has come in part weighs on the others: bytes times the time for which it is held.
  double incoming_burden(Clock::time_point now) const;
  // What has come in part is dropped and nothing more is taken; what is open is answered.
  void drop_incoming();
  // Best right after an answer: the client can't have sent what that answer leads to.
  void finish_if_idle();

 private:
  enum class Phase {
    kOpen,
    kClosing,     // further requests are refused; our half is closed once nothing is open or unwritten
    kHalfClosed,  // what comes now is dropped, until the client closes its half
    kClosed
  };

  std::size_t unread() const;
  // Of the answers, what the system has taken and the client's system has not.
  std::size_t undelivered() const;
  // Nothing is open, unwritten or waits to be read or decoded, and no answer is still with the system but for
  // the last few bytes of one that was just written.
  bool quiet() const {
    return tickets_.empty() && out_.size() == 0 && !decoding_ && unread() == 0 && delivered();
  }
  bool delivered() const;
  bool idle(Clock::time_point now) const;
  // Something was read or written: of its kind it is the last to make room now.
  void touch();
  void rank();
  // The client has closed or aborted, though what it sent before may still be unread.
  bool left();
  void read();
  // The client has closed its half or the whole: it waits for no answer, and what is open is given up.
  void ended(const Error& error);
  // How long ago the last bytes came that are read now, in nanoseconds, where they may have waited for us.
  std::int64_t waited() const;
  // So many bytes, in the front's read buffer; more may be there.
  void came(std::size_t size);
  // Carries out what has come, event by event, a bounded part of it a turn of the loop: nobody else waits for
  // a client that sends at full speed.
  void carry_on();
  fastcgi::Session::Next carry_out_some();
  // What was read and is still to come is not looked at any more.
  void pass_over();
  // All that came is carried out.
  void carried_out(bool fine);
  // An answer that nobody was asked for.
  void reply(std::string bytes);
  void carry_out(fastcgi::Event& event);
  void cancelled(const fastcgi::Request& request);
  void request(fastcgi::Request& request);
  void take(const fastcgi::Request& request, Call&& call, std::size_t request_bytes,
            std::size_t answer_bytes);
  // No answer is owed for anything that is open here, or none can be given.
  void abandon(ConnectionEnd why);
  void drop(Ticket ticket, std::string_view why);
  // What is open can't be followed up here any more: it is given up, and answered at once.
  void fail_open(ConnectionEnd why);
  // The first cause counts.
  void note_end(ConnectionEnd why);
  void pump();
  // In steps and not all at once, so that a client that takes its answer slowly is told from one that
  // stopped.
  void step();
  void wrote(const Error& error, std::size_t n);
  void watch();
  // Every wait for the client has its end.
  void look(Clock::time_point now);
  // The client has taken something of what the system holds, or there is nothing left of it.
  void note_delivery(Clock::time_point now);
  void settle();
  void half_close_if_done();
  void half_close(ConnectionEnd why);

  Front& front_;
  const ConnectionNumber number_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  const Clock::time_point accepted_ = Clock::now();
  Clock::time_point active_ = accepted_;
  Clock::time_point since_ = active_;  // when the request that has come in part began
  bool unfinished_ = false;            // one has come in part
  bool asked_ = false;                 // there was a whole request
  bool spoilt_ = false;                // what came is no FastCGI, or too much: the rest is passed over
  bool ended_ = false;                 // the client's end of file was read
  Phase phase_ = Phase::kOpen;
  Clock::time_point phase_since_ = active_;
  std::optional<ConnectionEnd> end_;  // why it ends, once it does
  OutputQueue out_;
  std::size_t last_write_ = 0;  // bytes that were last given to the system together
  std::size_t replies_ = 0;     // bytes of answers by the front itself, since all was written last
  std::size_t owed_ = 0;        // bytes held for the requests that are open here
  MemoryAccount::Charge incoming_, outgoing_;
  std::size_t undelivered_ = 0;           // at the last look
  Clock::time_point delivery_ = active_;  // when that last changed, or there was none
  std::chrono::nanoseconds queued_;       // at most so long it waited to be accepted
  std::int64_t came_ = 0;                 // the bytes that are looked at, by steady_unix_now
  bool reading_ = false, writing_ = false;
  bool decoding_ = false;  // what was read is being carried out
  fastcgi::Session session_;
  std::unordered_map<std::uint16_t, Ticket> tickets_;
  Order* order_;  // that it is in, of the front's
  Order::iterator place_;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_CONNECTION_HPP_
