#include "cachebox/peer.hpp"

#include <algorithm>
#include <utility>

#include "links/stream.hpp"

namespace anisewick::cachebox {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kChunk = 16 * 1024;  // written at once where the pace is limited
constexpr auto kWatch = milliseconds(100);
constexpr std::string_view kEnd = "\r\n";

}  // namespace

Peer::Peer(links::Tcp::socket socket, const Settings& settings, serving::Pacer& pacer, const Events& events)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      pace_(socket_.get_executor()),
      settings_(settings),
      pacer_(pacer),
      events_(events),
      heard_(Clock::now()),
      moved_(heard_),
      begun_(heard_) {}

void Peer::start() {
  links::set_up(socket_);
  read();
  watch();
}

void Peer::read() {
  // A peer that does not read its answers is not read either: what it can make us hold is bounded.
  if (reading_ || closed_) return;
  if (unread_ > settings_.unread_bytes) {
    paused_ = true;
    return;
  }
  if (std::exchange(paused_, false)) begun_ = Clock::now();  // it was we who did not take the rest
  reading_ = true;
  const auto came = [self = shared_from_this()](links::Error error, std::size_t n) {
    self->reading_ = false;
    if (self->closed_) return;
    if (error) return self->close();
    const bool was_midway = self->reader_.midway();
    self->heard_ = Clock::now();
    std::vector<depot::Request> requests;
    bool fine = self->reader_.feed({self->in_.data(), n}, requests);
    if (!was_midway || !requests.empty()) self->begun_ = self->heard_;
    for (depot::Request& r : requests) {
      if (self->closed_) return;
      if (!self->events_.asked(self, std::move(r))) {
        fine = false;
        break;
      }
    }
    if (self->closed_) return;
    if (!fine) {
      self->events_.malformed();
      return self->close();
    }
    self->read();
  };
  links::async_read_available(socket_, asio::buffer(in_), came);
}

void Peer::answer(std::string head, copies::Bytes bytes) {
  if (closed_) return;
  if (out_.empty()) moved_ = Clock::now();
  unread_ += head.size() + (bytes ? bytes->size() : 0) + kEnd.size();
  out_.push_back({std::move(head), std::move(bytes), 0, {}});
  write();
}

void Peer::write() {
  if (writing_ || closed_ || out_.empty()) return;
  writing_ = true;
  Out& out = out_.front();
  const std::size_t body = out.bytes ? out.bytes->size() : 0;
  const std::size_t whole = out.head.size() + body + kEnd.size();
  const std::size_t end = pacer_.limits() ? std::min(whole, out.at + kChunk) : whole;
  // The pieces of head, bytes and end that lie between `at` and `end`.
  links::Pieces pieces;
  std::size_t from = 0, count = 0;
  const auto piece = [&](const char* data, std::size_t size) {
    const std::size_t lo = std::max(from, out.at), hi = std::min(from + size, end);
    if (lo < hi) pieces[count++] = asio::const_buffer(data + (lo - from), hi - lo);
    from += size;
  };
  piece(out.head.data(), out.head.size());
  if (out.bytes) piece(out.bytes->data(), body);
  piece(kEnd.data(), kEnd.size());
  const auto send = [self = shared_from_this(), pieces, whole, end] {
    links::async_write_all(self->socket_, pieces, [self, whole, end](links::Error error, std::size_t n) {
      if (self->closed_) return;
      if (error) return self->close();
      self->writing_ = false;
      self->moved_ = self->heard_ = Clock::now();
      self->unread_ -= n;
      self->out_.front().at = end;
      if (end == whole) self->out_.pop_front();
      self->write();
      self->read();
    });
  };
  if (!pacer_.limits()) return send();
  const auto now =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
  const std::int64_t at = pacer_.book(out.transfer, end - out.at, now);
  if (at <= now) return send();
  pace_.expires_after(std::chrono::microseconds(at - now));
  pace_.async_wait([self = shared_from_this(), send](links::Error error) {
    if (error || self->closed_) return;
    self->moved_ = Clock::now();  // it was we who waited
    send();
  });
}

void Peer::watch() {
  timer_.expires_after(kWatch);
  timer_.async_wait([self = shared_from_this()](links::Error error) {
    if (error || self->closed_) return;
    const auto now = Clock::now();
    const auto since = [&](Clock::time_point t) {
      return std::chrono::duration_cast<milliseconds>(now - t).count();
    };
    const bool stuck = !self->out_.empty() && since(self->moved_) > self->settings_.unread_ms;
    const bool half = self->reader_.midway() && since(self->begun_) > self->settings_.partial_ms &&
                      self->unread_ <= self->settings_.unread_bytes;
    const bool idle = self->open.empty() && self->out_.empty() &&
                      since(self->heard_) > self->settings_.idle_ms &&
                      links::undelivered_bytes(self->socket_) == 0;
    if (stuck || half || idle) return self->close();
    self->watch();
  });
}

void Peer::close() {
  if (std::exchange(closed_, true)) return;
  links::Error ignored;
  timer_.cancel();
  pace_.cancel();
  socket_.close(ignored);
  events_.ended(shared_from_this());
}

}  // namespace anisewick::cachebox
