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
// The answers of what was open by then come to 8 MB at most; beyond that are refusals that are not taken.
constexpr std::size_t kMostInAll = 16u << 20;
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
  // Memory is bounded: when it runs short, those who do not take what they are sent go first.
  const bool too_much = out_.size() > kMostUnwritten / 16 && front_.held_ > 2 * front_.limits_.held_bytes;
  if (too_much || out_.size() > kMostInAll) return close(ConnectionEnd::kMemory);
  front_.held_ += bytes.size();
  out_.append(std::move(bytes));
  pump();
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
  front_.held_ -= out_.size() + assembling_;
  assembling_ = 0;
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
  if (phase_ == Phase::kClosed || reading_ || ended_) return;
  reading_ = true;
  // The bytes stay in the kernel until they are looked at, so that `quiet` sees a request that has come.
  links::async_read_available(socket_, asio::buffer(front_.read_buffer_),
                              [self = shared_from_this()](Error error, std::size_t n) {
                                self->reading_ = false;
                                if (self->phase_ == Phase::kClosed) return;
                                if (error) return self->ended(error);
                                self->came(n);
                                self->read();
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
  if (phase_ == Phase::kHalfClosed || spoilt_) return;  // not taken, and never sent on
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
  const bool fine = carry_out_all();
  if (phase_ == Phase::kClosed) return;
  const bool unfinished = session_.unfinished();
  if (unfinished && !unfinished_) since_ = Clock::now();
  unfinished_ = unfinished;
  // Memory is bounded: too much that never comes whole is ended where it grows.
  const bool too_much = assembling_ > 0 && front_.held_ > 2 * front_.limits_.held_bytes;
  if (!fine || too_much) {  // only this connection suffers
    ++front_.counters_.malformed;
    spoilt_ = true;
    fail_open(ConnectionEnd::kMalformed);
    finish(ConnectionEnd::kMalformed);
  }
  settle();
}

bool Front::Connection::carry_out_all() {
  decoding_ = true;
  auto next = fastcgi::Session::Next::kEvent;
  while (next == fastcgi::Session::Next::kEvent && phase_ != Phase::kClosed) {
    fastcgi::Event event;
    std::string replies;
    next = session_.next(event, replies);
    front_.held_ += session_.held() - assembling_;  // unsigned, and it may fall: the sum comes out right
    assembling_ = session_.held();
    write(std::move(replies));
    if (next == fastcgi::Session::Next::kEvent && phase_ != Phase::kClosed) carry_out(event);
  }
  decoding_ = false;
  return next != fastcgi::Session::Next::kMalformed;
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
  } else if (front_.held_ > front_.limits_.held_bytes || out_.size() > kMostUnwritten ||
             phase_ != Phase::kOpen) {
    // Memory is bounded, and a connection that is ending takes nothing more: to refuse is harmless.
    ++front_.counters_.turned_away;
    reason = phase_ != Phase::kOpen ? "connection_ends" : "memory";
    fastcgi::append_end(out, r.id, fastcgi::EndStatus::kOverloaded);
  } else {
    const Ticket ticket = front_.next_ticket_++;
    const std::size_t bytes = call.body.size() + sizeof(Call);
    front_.held_ += bytes;
    front_.open_[ticket] = {shared_from_this(), r.id, bytes, r.keep_connection};
    tickets_[r.id] = ticket;
    ++front_.counters_.taken;
    if (front_.counters_.log != nullptr) front_.counters_.log->taken(ticket, number_, r.id, call);
    front_.calls_.taken(ticket, std::move(call));
    return;
  }
  if (front_.counters_.log != nullptr) front_.counters_.log->answered_by_front(number_, r.id, reason);
  write(std::move(out));
  answered(r.id, r.keep_connection);
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
  front_.held_ -= it->second.bytes;
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
  const bool more = n < out_.front().size();
  out_.consume(n);
  front_.held_ -= n;
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
  const auto taken = now - std::max(active_, delivery_);
  if (out_.size() + undelivered_ > 0 && taken > kStall) return close(ConnectionEnd::kStalled);
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
