#include "door/door.hpp"

#include <array>
#include <utility>

#include "links/stream.hpp"

namespace anisewick::door {
namespace {

using links::Error;
using links::Tcp;

// Longer than any caller takes who means it; then the connection is given back.
constexpr std::chrono::seconds kLife{5};
// After the answer: so long is read on, so that what was sent beyond the call does not reset the answer away.
constexpr std::chrono::milliseconds kLinger{500};

}  // namespace

class Door::Visitor : public std::enable_shared_from_this<Visitor> {
 public:
  Visitor(Door& door, Tcp::socket socket) : door_(door), socket_(std::move(socket)), timer_(door.io_) {}

  void start() {
    links::set_up(socket_);
    limit(kLife);
    read();
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    if (!answered_) ++door_.tally_.silent;
    Error ignored;
    timer_.cancel();
    socket_.close(ignored);
    door_.visitors_.remove(shared_from_this());
  }
  bool answered() const { return answered_; }

 private:
  void limit(std::chrono::milliseconds after) {
    timer_.expires_after(after);
    timer_.async_wait([self = shared_from_this()](Error error) {
      if (!error) self->close();
    });
  }
  void read() {
    const auto came = [self = shared_from_this()](Error error, std::size_t n) {
      if (self->closed_) return;
      if (error) return self->close();
      if (!self->answered_) self->came({self->in_.data(), n});
      if (!self->closed_) self->read();
    };
    links::async_read_available(socket_, asio::buffer(in_), came);
  }
  void came(std::string_view bytes) {
    switch (reader_.feed(bytes)) {
      case CallReader::State::kMore:
        return;
      case CallReader::State::kBad:
        return answer({reader_.status(), "this is no call that can be read"}, {});
      case CallReader::State::kCall:
        break;
    }
    const Routed routed = route(reader_.method(), reader_.path(), door_.fleet_);
    if (routed.status == 0) return answer(door_.answer_(routed.call), {});
    answer(
        {routed.status, routed.status == 400   ? "a depot's id is s- and 8 hex digits, a member's name a word"
                        : routed.status == 405 ? "this path takes another method"
                                               : "there is no such call"},
        routed.allow);
  }
  void answer(const Verdict& verdict, std::string_view allow) {
    answered_ = true;
    ++(verdict.status < 400 ? door_.tally_.calls : door_.tally_.refused);
    out_ = answer_bytes(verdict.status, allow, verdict.line);
    limit(kLinger);
    const auto wrote = [self = shared_from_this()](Error error, std::size_t) {
      if (self->closed_) return;
      if (error) return self->close();
      self->socket_.shutdown(Tcp::socket::shutdown_send, error);
    };
    links::async_write_all(socket_, asio::buffer(out_), wrote);
  }

  Door& door_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  CallReader reader_;
  std::array<char, 2048> in_;
  std::string out_;
  bool answered_ = false, closed_ = false;
};

Door::Door(asio::io_context& io, Answerer answer, bool fleet)
    : io_(io),
      answer_(std::move(answer)),
      fleet_(fleet),
      acceptor_(io, {[] { return true; }, [this](Tcp::socket socket) { take(std::move(socket)); },
                     // Those who are silent give theirs back.
                     [this] { close_oldest(); }}) {}
Door::~Door() = default;

void Door::listen(const Tcp::endpoint& at, Error& error) {
  acceptor_.listen(at, error);
  if (!error) acceptor_.start();
}

void Door::take(Tcp::socket socket) {
  // The oldest goes: it had the most time, and one that means its call has ended it long since.
  if (visitors_.size() >= kConnections) close_oldest();
  visitors_.push_back(std::make_shared<Visitor>(*this, std::move(socket)));
  visitors_.back()->start();
}

void Door::close_oldest() {
  if (visitors_.empty()) return;
  const auto oldest = visitors_.front();
  oldest->close();
}

void Door::close() { acceptor_.close(); }

}  // namespace anisewick::door
