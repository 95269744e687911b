#include "links/acceptor.hpp"

#include <algorithm>
#include <utility>

#include "links/stream.hpp"

namespace anisewick::links {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kTriesAtOnce = 4;
constexpr milliseconds kShortestPause{1}, kLongestPause{20};
constexpr milliseconds kOutForLong{500};
constexpr milliseconds kCaughtUp{2};

}  // namespace

Acceptor::Acceptor(asio::io_context& io, Events events)
    : io_(io), events_(std::move(events)), acceptor_(io), again_(io) {}

void Acceptor::listen(const Tcp::endpoint& at, Error& error) {
  acceptor_.open(at.protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(at, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) set_up();
}

void Acceptor::adopt(int descriptor, Error& error) {
  acceptor_.assign(Tcp::v4(), descriptor, error);
  if (!error) set_up();
}

void Acceptor::set_up() {
  Error ignored;
  acceptor_.non_blocking(true, ignored);
  // Told as an error: Asio would wait for the next one within the call.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ignored);
}

std::uint16_t Acceptor::port() const {
  Error ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void Acceptor::start() {
  started_ = true;
  wait();
}

void Acceptor::stop() {
  started_ = false;
  Error ignored;
  acceptor_.cancel(ignored);
}

void Acceptor::wait() {
  if (!started_ || waiting_ || !acceptor_.is_open()) return;
  waiting_ = true;
  wait_began_ = Clock::now();
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](Error error) {
    waiting_ = false;
    if (error || !acceptor_.is_open()) return wait();
    // Nobody had waited for a while: it has caught up.
    if (Clock::now() - wait_began_ > kCaughtUp) behind_since_.reset();
    take_waiting();
  });
}

void Acceptor::take_waiting() {
  Error error;
  if (!events_.room()) return pause(asio::error::try_again);
  for (int tries = 0; tries < kTriesAtOnce; ++tries) {
    if (!take_one(error) && !passing(error)) continue;
    if (error == asio::error::interrupted) continue;
    pause_ = {};
    out_since_.reset();
    return wait();
  }
  pause(error);
}

bool Acceptor::take_one(Error& error) {
  Tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (error) return false;
  events_.taken(std::move(socket));
  return true;
}

void Acceptor::pause(const Error& error) {
  const auto now = Clock::now();
  if (!behind_since_) behind_since_ = now;
  if (error != asio::error::no_descriptors) out_since_.reset();
  if (error == asio::error::no_descriptors && !out_since_) out_since_ = now;
  if (out_since_ && now - *out_since_ >= kOutForLong) {
    out_since_.reset();
    events_.out_of_descriptors();
  }
  pause_ = std::clamp(2 * pause_, kShortestPause, kLongestPause);
  again_.expires_after(pause_);
  again_.async_wait([this](Error e) {
    if (!e) wait();
  });
}

std::chrono::nanoseconds Acceptor::behind() const {
  return behind_since_ ? Clock::now() - *behind_since_ : std::chrono::nanoseconds(0);
}

void Acceptor::close() {
  started_ = false;
  Error ignored;
  again_.cancel();
  acceptor_.close(ignored);
}

}  // namespace anisewick::links
