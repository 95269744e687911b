#include "net/connection.hpp"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "net/cgi.hpp"

namespace anisewick::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kHealthPath = "/_health";
// Of one connection, before no further request is taken on it. It is read on, for cancels and its end.
constexpr std::size_t kMostUnwritten = 4u << 20;
// Of answers that the front gives by itself. A client that has not taken them is not read: it has sent far
// more than may be open at once.
constexpr std::size_t kMostReplies = 64u << 10;
// What a request takes beside its body: its fields, its place in every table, its attempt.
constexpr std::size_t kRequestBytes = 4096;
constexpr std::size_t kBodyCopies = 2;      // one as it came, one as it goes to a server
constexpr auto kTakesNothing = seconds(1);  // clients that read slowly still take some in that time
constexpr int kMostEventsATurn = 64;
constexpr auto kStall = seconds(10);  // a client that takes nothing for so long is gone or harmful
constexpr auto kIdle = seconds(6);  // longer than the clients' own 4 s, so that those who behave close first
constexpr seconds kNeverAsked{2};   // clients send what they have as soon as they are connected
// A request that has come in part: the longest pause between two of its bytes, and the longest it may take in
// all. Some clients write slowly, and a request that comes whole is owed an answer.
constexpr auto kRequestPause = seconds(2);
constexpr auto kRequestTime = seconds(10);
// After our half is closed and its system has all of it: so long what the client still sends is read and
// dropped, for its end of file.
constexpr auto kLinger = seconds(1);
// So many bytes behind the end of our half a client that reads 500 KB a second takes in 50 ms. A request that
// crosses the end by no more than that comes again.
constexpr std::size_t kSoonRead = 24u << 10;
// A client that goes on sending is answered before our half is closed, but not for longer than this.
constexpr auto kClosingTime = seconds(2);
constexpr auto kSilent = milliseconds(200);  // of a new connection, before it may have to make room
constexpr auto kWatch = milliseconds(250);
constexpr std::size_t kMostAtOnce = 256u << 10;  // bytes that are read before they are looked at
constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kWorthAsking = 20 * kMs;  // the system counts in steps of some milliseconds
constexpr int kMostTries = 16;                   // of a call that is interrupted

std::string_view word_of(ConnectionEnd why) { return kConnectionEndWords[static_cast<std::size_t>(why)]; }

}  // namespace

Front::Connection::Connection(Front& front, Tcp::socket socket, ConnectionNumber number)
    : front_(front),
      number_(number),
      socket_(std::move(socket)),
      timer_(front.io_),
      incoming_(front.account_, MemoryAccount::Place::kIncoming),
      outgoing_(front.account_, MemoryAccount::Place::kOutgoing),
      queued_(front.acceptor_.behind()),
      session_({.connections = front.limits_.connections}),
      order_(&front.silent_),
      place_(order_->insert(order_->end(), this)) {}

void Front::Connection::start() {
  links::set_up(socket_);
  watch();
  read();
}

void Front::Connection::write(std::string bytes) {
  if (phase_ >= Phase::kHalfClosed || bytes.empty()) return;
  if (out_.size() == 0) delivery_ = Clock::now();
  out_.append(std::move(bytes));
  outgoing_.set(out_.size());
  pump();
}

void Front::Connection::reply(std::string bytes) {
  replies_ += bytes.size();
  write(std::move(bytes));
}

void Front::Connection::answered(std::uint16_t id, bool keep) {
  session_.finished(id);
  if (!keep) return finish(ConnectionEnd::kNotKept);
  settle();
}

void Front::Connection::finish(ConnectionEnd why) {
  note_end(why);
  if (phase_ == Phase::kOpen) {
    phase_ = Phase::kClosing;
    phase_since_ = Clock::now();
  }
  half_close_if_done();
}

void Front::Connection::note_end(ConnectionEnd why) {
  if (end_) return;
  end_ = why;
  ++front_.counters_.connection_ends[static_cast<std::size_t>(why)];
  if (front_.counters_.log != nullptr) front_.counters_.log->connection(number_, "ending", word_of(why));
}

void Front::Connection::close(ConnectionEnd why) {
  if (phase_ == Phase::kClosed) return;
  note_end(why);
  if (front_.counters_.log != nullptr) front_.counters_.log->connection(number_, "closed", word_of(why));
  phase_ = Phase::kClosed;
  Error ignored;
  timer_.cancel();
  socket_.shutdown(Tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  incoming_.set(0);
  outgoing_.set(0);
  abandon(why);
  order_->erase(place_);  // not in the destructor: the front may be gone by then
  front_.connections_.erase(shared_from_this());
  front_.last_ended_ = Clock::now();
}

bool Front::Connection::spare(Clock::time_point now) const {
  if (phase_ == Phase::kHalfClosed) return delivered();
  return quiet() && (asked_ ? !session_.unfinished() : now - active_ > kSilent);
}

void Front::Connection::finish_if_idle() {
  if (phase_ == Phase::kOpen && front_.duty_.close_idle && idle(Clock::now()))
    half_close(ConnectionEnd::kDrain);
}

std::size_t Front::Connection::unread() const {
  Error error;
  return socket_.available(error);
}

std::size_t Front::Connection::undelivered() const {
  return links::undelivered_bytes(const_cast<Tcp::socket&>(socket_));
}

bool Front::Connection::delivered() const {
  const std::size_t left = undelivered();
  return left <= std::min(kSoonRead, last_write_ + 1);  // 1: the end of our half
}

bool Front::Connection::idle(Clock::time_point now) const {
  return quiet() && !session_.unfinished() && (asked_ || now - active_ > kSilent);
}

void Front::Connection::touch() {
  active_ = Clock::now();
  rank();
}

void Front::Connection::rank() {
  if (phase_ == Phase::kClosed) return;
  Order* order = phase_ == Phase::kHalfClosed ? &front_.ending_ : asked_ ? &front_.used_ : &front_.silent_;
  order->splice(order->end(), *order_, place_);
  order_ = order;
}

bool Front::Connection::left() {
  pollfd socket{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
  int ready = ::poll(&socket, 1, 0);
  for (int tries = 1; ready < 0 && errno == EINTR && tries < kMostTries; ++tries)
    ready = ::poll(&socket, 1, 0);
  return ready > 0 && (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Front::Connection::read() {
  if (phase_ == Phase::kClosed || reading_ || decoding_ || ended_ || replies_ > kMostReplies) return;
  reading_ = true;
  // The bytes stay in the kernel until they are looked at, so that `quiet` sees a request that has come.
  links::async_read_available(socket_, asio::buffer(front_.read_buffer_),
                              [self = shared_from_this()](Error error, std::size_t n) {
                                self->reading_ = false;
                                if (self->phase_ == Phase::kClosed) return;
                                if (error) return self->ended(error);
                                self->came(n);
                              });
}

void Front::Connection::ended(const Error& error) {
  ended_ = true;
  const auto why = error == asio::error::eof ? ConnectionEnd::kClientClosed : ConnectionEnd::kBroken;
  abandon(why);
  if (error != asio::error::eof || out_.size() == 0 || phase_ == Phase::kHalfClosed) return close(why);
  finish(why);  // once what was answered before is written
}

std::int64_t Front::Connection::waited() const {
  const std::int64_t queued = asked_ ? 0 : (queued_ + (Clock::now() - accepted_)).count();
  const std::int64_t at_most = std::max(front_.calls_.held_up(), queued_.count() > 0 ? queued : 0);
  if (at_most < kWorthAsking) return 0;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(const_cast<Tcp::socket&>(socket_).native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) !=
      0)
    return 0;
  return std::min(at_most, std::int64_t{info.tcpi_last_data_recv} * kMs);
}

void Front::Connection::came(std::size_t size) {
  if (phase_ == Phase::kHalfClosed || spoilt_) return read();  // not taken, and never sent on
  came_ = steady_unix_now() - waited();
  touch();
  session_.add({front_.read_buffer_.data(), size});
  // All that has come is looked at before anything is begun: a cancel may be the last of it.
  for (std::size_t all = size; all < kMostAtOnce && unread() > 0; all += size) {
    Error error;
    size = socket_.read_some(asio::buffer(front_.read_buffer_), error);
    if (error) break;  // it comes again with the next read
    session_.add({front_.read_buffer_.data(), size});
  }
  decoding_ = true;
  carry_on();
}

void Front::Connection::carry_on() {
  const auto next = carry_out_some();
  if (phase_ == Phase::kClosed) return;
  if (next != fastcgi::Session::Next::kEvent || spoilt_) {
    decoding_ = false;
    return carried_out(next != fastcgi::Session::Next::kMalformed);
  }
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ != Phase::kClosed) self->carry_on();
  });
}

void Front::Connection::carried_out(bool fine) {
  const bool unfinished = session_.unfinished();
  if (unfinished && !unfinished_) since_ = Clock::now();
  unfinished_ = unfinished;
  if (!fine) {  // only this connection suffers
    ++front_.counters_.malformed;
    pass_over();
    fail_open(ConnectionEnd::kMalformed);
    finish(ConnectionEnd::kMalformed);
  }
  settle();
  front_.bound_incoming();
  read();
}

// kEvent: there may be more.
fastcgi::Session::Next Front::Connection::carry_out_some() {
  auto next = fastcgi::Session::Next::kEvent;
  for (int n = 0; n < kMostEventsATurn; ++n) {
    if (next != fastcgi::Session::Next::kEvent || phase_ == Phase::kClosed || spoilt_) break;
    fastcgi::Event event;
    std::string replies;
    next = session_.next(event, replies);
    incoming_.set(session_.held());
    reply(std::move(replies));
    if (next == fastcgi::Session::Next::kEvent && phase_ != Phase::kClosed) carry_out(event);
  }
  return next;
}

bool Front::Connection::stalled(Clock::time_point now) const {
  return out_.size() > 0 && now - delivery_ > kTakesNothing;
}

double Front::Connection::incoming_burden(Clock::time_point now) const {
  const auto age = std::chrono::duration<double>(now - since_) + milliseconds(1);
  return static_cast<double>(incoming_.bytes()) * age.count();
}

void Front::Connection::drop_incoming() {
  pass_over();
  finish(ConnectionEnd::kMemory);
}

void Front::Connection::pass_over() {
  spoilt_ = true;
  session_.discard();
  unfinished_ = false;
  incoming_.set(0);
}

void Front::Connection::carry_out(fastcgi::Event& event) {
  asked_ = true;
  if (event.kind == fastcgi::Event::Kind::kAborted) return cancelled(event.request);
  // Nothing is begun for a client that sent its requests and left, or cancelled them: that is read next.
  if (!left() && !session_.cancel_has_come(event.request.id)) return request(event.request);
  ++front_.counters_.gone;
}

void Front::Connection::cancelled(const fastcgi::Request& request) {
  if (const auto it = tickets_.find(request.id); it != tickets_.end()) {
    const Ticket ticket = it->second;
    tickets_.erase(it);
    ++front_.counters_.cancelled;
    drop(ticket, "cancelled");
  }
  if (!request.keep_connection) finish(ConnectionEnd::kNotKept);
}

void Front::Connection::request(fastcgi::Request& r) {
  const bool health = std::any_of(r.params.begin(), r.params.end(), [](const auto& p) {
    return p.first == "SCRIPT_NAME" && p.second == kHealthPath;
  });
  std::string out;
  std::string_view reason;
  Call call;
  call.taken = came_;
  std::size_t request_bytes = 0, answer_bytes = 0;
  const auto has_room = [&] {
    request_bytes = kRequestBytes + kBodyCopies * call.body.size();
    answer_bytes = front_.answer_sizes_.expected(call.size_kb);
    return out_.size() <= kMostUnwritten &&
           front_.has_room(owed_ + out_.size(), request_bytes + answer_bytes);
  };
  if (health) {
    ++front_.counters_.health;
    reason = "health";
    append_response(out, r.id,
                    front_.duty_.ready ? "Status: 200 OK\r\n\r\n" : "Status: 503 Not Ready\r\n\r\n", "");
  } else if (r.too_large) {
    ++front_.counters_.invalid;
    reason = "too_large";
    append_response(out, r.id, "Status: 413 Too Large\r\n\r\n", "");
  } else if (!call_from(r, call)) {
    ++front_.counters_.invalid;
    reason = "invalid";
    append_response(out, r.id, "Status: 400 Bad Request\r\n\r\n", "");
  } else if (front_.duty_.refuse) {
    // This connection has to fall idle; other doormans serve the request at once.
    ++front_.counters_.turned_away;
    reason = "drain";
    append_response(out, r.id, head_of(Answer::refused()), "");
  } else if (phase_ != Phase::kOpen) {
    // A connection that is ending takes nothing more: to refuse is harmless.
    ++front_.counters_.turned_away;
    reason = "connection_ends";
    fastcgi::append_end(out, r.id, fastcgi::EndStatus::kOverloaded);
  } else if (!has_room()) {
    // What is let in has its room, so that it is never lost for a lack of it.
    ++front_.counters_.turned_away;
    reason = "memory";
    Answer refused = Answer::refused();
    refused.come_back = front_.limits_.come_back;
    append_response(out, r.id, head_of(refused), "");
  } else {
    return take(r, std::move(call), request_bytes, answer_bytes);
  }
  if (front_.counters_.log != nullptr) front_.counters_.log->answered_by_front(number_, r.id, reason);
  reply(std::move(out));
  answered(r.id, r.keep_connection);
}

void Front::Connection::take(const fastcgi::Request& r, Call&& call, std::size_t request_bytes,
                             std::size_t answer_bytes) {
  const Ticket ticket = front_.next_ticket_++;
  owed_ += request_bytes + answer_bytes;
  front_.open_.emplace(ticket, Open{shared_from_this(),
                                    r.id,
                                    r.keep_connection,
                                    call.size_kb,
                                    {front_.account_, MemoryAccount::Place::kRequests, request_bytes},
                                    {front_.account_, MemoryAccount::Place::kReserved, answer_bytes}});
  tickets_[r.id] = ticket;
  ++front_.counters_.taken;
  if (front_.counters_.log != nullptr) front_.counters_.log->taken(ticket, number_, r.id, call);
  front_.calls_.taken(ticket, std::move(call));
}

void Front::Connection::abandon(ConnectionEnd why) {
  std::vector<Ticket> left;
  for (const auto& [id, ticket] : tickets_) left.push_back(ticket);
  tickets_.clear();
  for (const Ticket ticket : left) drop(ticket, word_of(why));
}

void Front::Connection::fail_open(ConnectionEnd why) {
  Answer answer;
  answer.reason = word_of(why);
  const auto open = tickets_;
  for (const auto& [id, ticket] : open) {
    front_.calls_.left(ticket);
    front_.answer(ticket, answer);
  }
}

void Front::Connection::drop(Ticket ticket, std::string_view why) {
  const auto it = front_.open_.find(ticket);
  if (it == front_.open_.end()) return;
  owed_ -= it->second.request.bytes() + it->second.answer.bytes();
  front_.open_.erase(it);
  ++front_.counters_.left;
  if (front_.counters_.log != nullptr) front_.counters_.log->left(ticket, why);
  front_.calls_.left(ticket);
}

void Front::Connection::pump() {
  if (writing_ || out_.size() == 0 || phase_ == Phase::kClosed) return;
  writing_ = true;
  last_write_ = out_.front().size();
  step();
}

void Front::Connection::step() {
  const std::string_view bytes = out_.front();
  links::async_write_available(
      socket_, asio::const_buffer(bytes.data(), bytes.size()),
      [self = shared_from_this()](Error error, std::size_t n) { self->wrote(error, n); });
}

void Front::Connection::wrote(const Error& error, std::size_t n) {
  if (phase_ == Phase::kClosed) return;
  if (error) return close(ConnectionEnd::kBroken);
  touch();
  delivery_ = active_;
  const bool more = n < out_.front().size();
  out_.consume(n);
  outgoing_.set(out_.size());
  if (out_.size() == 0) replies_ = 0;
  if (more) return step();
  writing_ = false;
  pump();
  settle();
  read();
}

void Front::Connection::watch() {
  timer_.expires_after(kWatch);
  timer_.async_wait([self = shared_from_this()](Error error) {
    if (error || self->phase_ == Phase::kClosed) return;
    self->look(Clock::now());
    if (self->phase_ != Phase::kClosed) self->watch();
  });
}

void Front::Connection::look(Clock::time_point now) {
  note_delivery(now);
  const auto still = now - active_;
  if (out_.size() + undelivered_ > 0 && now - delivery_ > kStall) return close(ConnectionEnd::kStalled);
  // Memory is bounded: when it runs short, those who do not take what they are sent go first.
  if (stalled(now) && front_.crowded()) return close(ConnectionEnd::kMemory);
  if (phase_ == Phase::kHalfClosed && undelivered_ == 0 && now - std::max(phase_since_, delivery_) > kLinger)
    return close(*end_);
  if (phase_ == Phase::kOpen && idle(now) && still > (asked_ ? kIdle : kNeverAsked))
    return half_close(asked_ ? ConnectionEnd::kIdle : ConnectionEnd::kNeverAsked);
  if (phase_ == Phase::kOpen && unfinished_ && (still > kRequestPause || now - since_ > kRequestTime))
    return finish(ConnectionEnd::kSlowRequest);
  settle();
}

void Front::Connection::note_delivery(Clock::time_point now) {
  const std::size_t left = undelivered();
  if (left != undelivered_) delivery_ = now;
  undelivered_ = left;
}

void Front::Connection::settle() {
  half_close_if_done();
  finish_if_idle();
}

void Front::Connection::half_close_if_done() {
  if (phase_ != Phase::kClosing || decoding_ || !tickets_.empty() || out_.size() > 0) return;
  if (ended_) return close(*end_);
  // What has come in this very moment is read and answered first.
  if (!spoilt_ && unread() > 0 && Clock::now() - phase_since_ < kClosingTime) return;
  half_close(*end_);
}

void Front::Connection::half_close(ConnectionEnd why) {
  note_end(why);
  phase_ = Phase::kHalfClosed;
  phase_since_ = Clock::now();
  rank();
  Error ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  read();
}

}  // namespace anisewick::net
