// What the socket tests are made of: the program as a child process, and peers scripted line by line.
// Every wait is for an event, with a limit far beyond what any machine needs.
#ifndef ANISEWICK_TESTS_PEERS_HPP_
#define ANISEWICK_TESTS_PEERS_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fastcgi/fastcgi.hpp"

namespace anisewick::peers {

constexpr int kLimitMs = 20'000;

inline std::int64_t now_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

inline bool readable(int fd, int ms) {
  pollfd p{fd, POLLIN, 0};
  return ::poll(&p, 1, ms) == 1;
}
inline sockaddr_in address(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

class Stream {
 public:
  Stream() = default;
  explicit Stream(int fd) : fd_(fd) {}
  static Stream to(int port) {
    Stream s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in a = address(port);
    if (::connect(s.fd_.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
      throw std::runtime_error("cannot connect");
    }
    return s;
  }
  void write(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t n = ::send(fd_.get(), bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) throw std::runtime_error("cannot write");
      at += static_cast<std::size_t>(n);
    }
  }
  // False: the peer closed, or nothing came within the time.
  bool more(int ms = kLimitMs) {
    if (!readable(fd_.get(), ms)) return false;
    char some[65536];
    const ssize_t n = ::recv(fd_.get(), some, sizeof some, 0);
    ended_ = n <= 0;
    if (ended_) return false;
    got_.append(some, static_cast<std::size_t>(n));
    return true;
  }
  std::string take(std::size_t n) {
    while (got_.size() < n) {
      if (!more()) throw std::runtime_error("expected more, have '" + got_.substr(0, 200) + "'");
    }
    std::string out = got_.substr(0, n);
    got_.erase(0, n);
    return out;
  }
  std::string line() {  // without its CR LF
    while (got_.find("\r\n") == std::string::npos) {
      if (!more()) throw std::runtime_error("expected a line, have '" + got_.substr(0, 200) + "'");
    }
    std::string out = take(got_.find("\r\n") + 2);
    return out.substr(0, out.size() - 2);
  }
  bool ends() {  // the peer closes, and says nothing before
    while (more()) {
    }
    return ended_ && got_.empty();
  }
  void reset() {  // closes so that the peer sees the connection break
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_ = Fd();
  }
  // Reads what comes within the time, and forgets it.
  void drop(int ms) {
    char some[65536];
    if (readable(fd_.get(), ms)) (void)!::recv(fd_.get(), some, sizeof some, 0);
  }
  void shut() { ::shutdown(fd_.get(), SHUT_RDWR); }
  int fd() const { return fd_.get(); }
  bool buffered() const { return !got_.empty(); }

 private:
  Fd fd_;
  std::string got_;
  bool ended_ = false;
};

// Binds a port of its own; without listening, whoever connects is refused.
class Listener {
 public:
  explicit Listener(bool listens = true, int port = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in a = address(port);
    socklen_t n = sizeof a;
    if (::bind(fd_.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
        (listens && ::listen(fd_.get(), 64) != 0) ||
        ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&a), &n) != 0) {
      throw std::runtime_error("cannot listen");
    }
    port_ = ntohs(a.sin_port);
  }
  int port() const { return port_; }
  int fd() const { return fd_.get(); }
  Stream accept() {
    if (!readable(fd_.get(), kLimitMs)) throw std::runtime_error("nobody connected");
    return Stream(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  }

 private:
  Fd fd_;
  int port_ = 0;
};

// What the platform may say beside the configuration and the address.
struct Around {
  std::vector<std::pair<std::string, std::string>> variables;
  int descriptor = -1;  // handed down as RELAY_FD, by the number 5
};

// The program, started as the platform starts it.
class Program {
 public:
  Program(const std::string& path, const std::string& config, const std::string& listen,
          const Around& around = {}) {
    start(path, {}, [&] {
      for (const auto& [name, value] : around.variables) ::setenv(name.c_str(), value.c_str(), 1);
      if (around.descriptor >= 0) {
        ::setenv("RELAY_FD", "5", 1);
        ::dup2(around.descriptor, 5);
        if (around.descriptor == 5) ::fcntl(5, F_SETFD, 0);
      }
      ::setenv("RELAY_CONFIG", config.c_str(), 1);
      ::setenv("RELAY_LISTEN", listen.c_str(), 1);
    });
  }
  // One of our own programs, with its arguments.
  Program(const std::string& path, const std::vector<std::string>& args) {
    start(path, args, [] {});
  }
  Program(const Program&) = delete;
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    if (reader_.joinable()) reader_.join();
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void stop() {  // until SIGCONT
    signal(SIGSTOP);
    ::waitpid(pid_, nullptr, WUNTRACED);
  }
  // Asks for the counters and gives the line that it prints.
  std::string counters() {
    signal(SIGUSR1);
    return line();
  }
  std::string line() {  // the next one on standard error
    std::string text;
    char c = 0;
    while (readable(err_.get(), kLimitMs) && ::read(err_.get(), &c, 1) == 1 && c != '\n') text.push_back(c);
    if (c != '\n') throw std::runtime_error("no line: " + text);
    return text;
  }
  // Whoever read what it says has gone.
  void close_errors() { err_ = Fd(); }
  // Nobody reads what it says: it must not wait for that.
  void drain_errors() {
    reader_ = std::thread([fd = err_.get(), log = std::getenv("ANISEWICK_TEST_LOG")] {
      char some[4096];
      for (ssize_t n; (n = ::read(fd, some, sizeof some)) > 0;) {
        if (log != nullptr && ::write(2, some, static_cast<std::size_t>(n)) < 0) return;
      }
    });
  }
  // Its disk is full from now on, or is not.
  void full_disk(bool on) {
    rlimit limit{on ? 64 : RLIM_INFINITY, RLIM_INFINITY};
    ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
  }
  pid_t pid() const { return pid_; }
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  // The exit code, once it has ended (-1: killed).
  int code() {
    if (pid_ > 0) ::waitpid(std::exchange(pid_, -1), &status_, 0);
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  // All it wrote to standard error until its end, and its exit code (-1: killed).
  std::pair<int, std::string> wait() {
    std::string text;
    char some[4096];
    while (readable(err_.get(), kLimitMs)) {
      const ssize_t n = ::read(err_.get(), some, sizeof some);
      if (n <= 0) break;
      text.append(some, static_cast<std::size_t>(n));
    }
    return {code(), text};
  }

 private:
  template <typename Before>
  void start(const std::string& path, const std::vector<std::string>& args, const Before& before) {
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    err_ = Fd(out[0]);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(out[1], 2);
      ::signal(SIGXFSZ, SIG_IGN);  // a limit on files is then a full disk
      before();
      std::vector<char*> all{const_cast<char*>(path.c_str())};
      for (const std::string& a : args) all.push_back(const_cast<char*>(a.c_str()));
      all.push_back(nullptr);
      ::execv(path.c_str(), all.data());
      ::_exit(127);
    }
    ::close(out[1]);
  }

  pid_t pid_ = -1;
  int status_ = 0;
  Fd err_;
  std::thread reader_;
};

inline std::string param(const std::string& name, const std::string& value) {
  std::string out;
  for (const std::size_t n : {name.size(), value.size()}) {
    if (n < 128) {
      out.push_back(static_cast<char>(n));
    } else {
      for (const int shift : {24, 16, 8, 0}) {
        out.push_back(static_cast<char>((n >> shift & 0xff) | (shift == 24 ? 0x80u : 0u)));
      }
    }
  }
  return out + name + value;
}
inline std::string record(int type, int id, const std::string& content) {
  std::string out;
  fastcgi::append_record(out, static_cast<fastcgi::Type>(type), static_cast<std::uint16_t>(id), content);
  return out;
}
inline std::string begin(int id, int role = 1) {
  return record(1, id, std::string{0, static_cast<char>(role), 1, 0, 0, 0, 0, 0});
}

struct Ask {
  std::string cls = "slot-page";
  std::string object = "7f3a9c21e0b4d655";
  std::string id = "9b1f03aa5c7e2d41";
  int patience_ms = 10'000;
  std::string tag = {};
  std::string body = {};
  int group = 17;
  std::string path = "/invoke/";
  std::string nth = "0", size = "412.5", patience = {}, length = {};
  std::string batch = {};
};
inline std::string params_of(const Ask& a) {
  return param("SCRIPT_NAME", a.path + a.cls) + param("HTTP_X_CALL_ID", a.id) +
         param("HTTP_X_ENTITY", a.object) + param("HTTP_X_NTH", a.nth) +
         param("HTTP_X_BATCH", a.batch.empty() ? std::to_string(a.group) : a.batch) +
         param("HTTP_X_HEAP_KB", a.size) +
         param("HTTP_X_PATIENCE_MS", a.patience.empty() ? std::to_string(a.patience_ms) : a.patience) +
         (a.length.empty() ? "" : param("CONTENT_LENGTH", a.length)) +
         (a.tag.empty() ? "" : param("HTTP_X_GOT", a.tag));
}
inline std::string request(int id, const Ask& a = {}) {
  return begin(id) + record(4, id, params_of(a)) + record(4, id, "") +
         (a.body.empty() ? "" : record(5, id, a.body)) + record(5, id, "");
}

struct Answer {
  int id = 0;
  std::string head, body;
  int protocol = -1;
  bool has(const std::string& text) const { return head.find(text) != std::string::npos; }
};
// The next answer that ends on this connection.
inline Answer answer(Stream& s) {
  std::vector<std::pair<int, std::string>> parts;
  for (;;) {
    const std::string head = s.take(8);
    const auto at = [&](std::size_t i) { return static_cast<int>(static_cast<unsigned char>(head[i])); };
    const std::string content = s.take(static_cast<std::size_t>(at(4) << 8 | at(5)));
    s.take(static_cast<std::size_t>(at(6)));
    const int id = at(2) << 8 | at(3);
    if (at(1) == 6) parts.emplace_back(id, content);
    if (at(1) != 3) continue;
    Answer a;
    a.id = id;
    a.protocol = content[4];
    for (const auto& [of, text] : parts) {
      if (of == id) a.body += text;
    }
    const std::size_t end = a.body.find("\r\n\r\n");
    a.head = a.body.substr(0, end);
    a.body = end == std::string::npos ? "" : a.body.substr(end + 4);
    return a;
  }
}

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_PEERS_HPP_
