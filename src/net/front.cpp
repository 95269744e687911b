#include "net/front.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/cgi.hpp"
#include "net/connection.hpp"

namespace anisewick::net {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A request that crossed our closing of its connection is sent again on a new one. So long after the last
// connection has ended one may still come.
constexpr auto kResent = milliseconds(100);
// Of the account: what requests in part may hold together, and what is free for one connection that holds
// some.
constexpr std::size_t kIncomingShare = 4, kOwnShare = 2;

struct Counted {
  std::uint64_t Counters::*counter;
  std::string_view word;
};
Counted counted(Answer::Kind kind) {
  switch (kind) {
    case Answer::Kind::kServed:
      return {&Counters::served, "served"};
    case Answer::Kind::kSame:
      return {&Counters::same, "same"};
    case Answer::Kind::kRefused:
      return {&Counters::refused, "refused"};
    case Answer::Kind::kFailed:
      break;
  }
  return {&Counters::failed, "failed"};
}

}  // namespace

Front::Front(asio::io_context& io, Calls& calls, Counters& counters, Limits limits)
    : io_(io),
      calls_(calls),
      counters_(counters),
      limits_(limits),
      // Room is made once somebody waits to be taken, and not before. What waits beyond it stays in the
      // kernel's queue.
      acceptor_(io, {[this] { return connections_.size() < limits_.connections || make_room(); },
                     [this](Tcp::socket socket) { take(std::move(socket)); }, [this] { make_room(); }}) {
  limit(limits);
}
Front::~Front() = default;

void Front::listen(const Tcp::endpoint& at, Error& error) { acceptor_.listen(at, error); }

void Front::listen(int descriptor, Error& error) { acceptor_.adopt(descriptor, error); }

void Front::attend(const lifecycle::Duty& duty) {
  const lifecycle::Duty before = std::exchange(duty_, duty);
  if (duty.accept) acceptor_.start();
  // What the kernel has handed over by then is still served.
  if (!duty.accept && before.accept) acceptor_.stop();
  if (!duty.close_idle || before.close_idle) return;
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& c : all) c->finish_if_idle();
}

void Front::take(Tcp::socket socket) {
  ++counters_.connections;
  auto connection = std::make_shared<Connection>(*this, std::move(socket), counters_.connections);
  connections_.insert(connection);
  connection->start();
}

bool Front::stop_listening() {
  if (!acceptor_.is_open()) return true;
  Error error;
  bool none = true;
  while (connections_.size() < limits_.connections && acceptor_.take_one(error)) none = false;
  none = none && (error == asio::error::would_block || error == asio::error::try_again);
  if (none) close();
  return none;
}

bool Front::make_room() {
  const auto now = Clock::now();
  for (const Order* order : {&ending_, &silent_, &used_}) {
    for (Connection* connection : *order) {
      if (!connection->spare(now)) continue;
      const auto kept = connection->shared_from_this();
      kept->close(ConnectionEnd::kRoom);
      return true;
    }
  }
  return false;
}

void Front::limit(const Limits& limits) {
  limits_ = limits;
  account_.limit(limits.held_bytes);
  answer_sizes_.usual(limits.bytes_per_kb);
}

std::size_t Front::held() const {
  const std::size_t reserved = account_.held(MemoryAccount::Place::kReserved);
  return account_.held() - reserved + std::max(reserved, calls_.arriving_bytes());
}

bool Front::has_room(std::size_t own, std::size_t bytes) const {
  const std::size_t free = account_.limit() - std::min(account_.limit(), held());
  return own + bytes <= free / kOwnShare;
}

bool Front::may_read(Ticket ticket) const {
  const std::size_t used =
      account_.held() - account_.held(MemoryAccount::Place::kReserved) + calls_.arriving_bytes();
  if (used <= account_.limit() / 2) return true;
  const auto it = open_.find(ticket);
  return it == open_.end() || (used <= account_.limit() && it->second.connection->unwritten() == 0);
}

void Front::bound_incoming() {
  const auto now = Clock::now();
  while (account_.held(MemoryAccount::Place::kIncoming) > account_.limit() / kIncomingShare) {
    const auto worst = std::max_element(
        connections_.begin(), connections_.end(),
        [&](const auto& a, const auto& b) { return a->incoming_burden(now) < b->incoming_burden(now); });
    if (worst == connections_.end() || (*worst)->incoming_burden(now) <= 0.0) return;
    const auto kept = *worst;
    kept->drop_incoming();
  }
}

void Front::close() {
  duty_.accept = false;
  acceptor_.close();
}

bool Front::empty() const {
  return connections_.empty() && (duty_.accept || !acceptor_.waiting()) &&
         Clock::now() - last_ended_ >= kResent;
}

bool Front::idle() const {
  return open_.empty() &&
         std::all_of(connections_.begin(), connections_.end(), [](const auto& c) { return c->written(); });
}

void Front::answer(Ticket ticket, const Answer& a) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;  // the client left, or it has had its answer: there is never a second one
  const Open open = std::move(it->second);
  open_.erase(it);
  if (a.kind == Answer::Kind::kServed) answer_sizes_.learn(open.size_kb, a.body.size());
  const auto [counter, kind] = counted(a.kind);
  ++(counters_.*counter);
  if (counters_.log != nullptr) counters_.log->answered(ticket, kind, a.reason);
  std::string out;
  append_response(out, open.id, head_of(a), a.kind == Answer::Kind::kServed ? a.body : std::string_view{});
  open.connection->forget(open.id, open.request.bytes() + open.answer.bytes());
  open.connection->write(std::move(out));
  open.connection->answered(open.id, open.keep);
}

}  // namespace anisewick::net
