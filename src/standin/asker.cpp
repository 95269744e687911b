#include "standin/asker.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <utility>
#include <vector>

namespace anisewick::standin {
namespace {

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

Asker::Asker(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    ::close(std::exchange(fd_, -1));
    throw std::runtime_error("cannot connect");
  }
  const int yes = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}
Asker::Asker(Asker&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      ended_(other.ended_),
      reader_(std::move(other.reader_)),
      answers_(std::move(other.answers_)) {}
Asker::~Asker() { close(); }
void Asker::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Asker::write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) throw std::runtime_error("cannot write");
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

std::string Asker::send(const Want& want) {
  static std::atomic<std::uint64_t> ids{0x1000};
  const std::string id = hex16(++ids), thing = hex16(want.object), nth = std::to_string(want.part);
  depot::Fetch f;
  f.id = id;
  f.profile = want.cls;
  f.thing = thing;
  f.nth = nth;
  f.seen = want.seen;
  f.body = want.body;
  f.from = want.from;
  f.rank = want.rank;
  f.oldest_ms = want.oldest_ms;
  f.max_ms = want.max_ms;
  f.collapse = want.collapse;
  f.only_if_cached = want.only_if_cached;
  f.no_store_up = want.no_store_up;
  f.refresh = want.refresh;
  f.group = want.group;
  write(depot::fetch_bytes(f));
  return id;
}

std::optional<depot::Answer> Asker::next(int limit_ms) {
  while (answers_.empty()) {
    pollfd p{fd_, POLLIN, 0};
    if (ended_ || ::poll(&p, 1, limit_ms) != 1) return std::nullopt;
    char some[65536];
    const ssize_t n = ::recv(fd_, some, sizeof some, 0);
    if (n <= 0) {
      ended_ = true;
      return std::nullopt;
    }
    std::vector<depot::Answer> got;
    if (!reader_.feed({some, static_cast<std::size_t>(n)}, got)) throw std::runtime_error("not an answer");
    for (auto& a : got) answers_.push_back(std::move(a));
  }
  depot::Answer a = std::move(answers_.front());
  answers_.pop_front();
  return a;
}

depot::Answer Asker::ask(const Want& want) {
  const std::string id = send(want);
  auto answer = next();
  if (!answer || answer->id != id) throw std::runtime_error("no answer to " + id);
  return std::move(*answer);
}

bool Asker::ends(int limit_ms) {
  const bool none = !next(limit_ms).has_value();
  return none && ended_;
}

}  // namespace anisewick::standin
