// What the cases 6 to 10 share: a record, small stand-ins for depots, the event bus and clients, and the
// doorman as a process of its own, started with the deploy file's command. Loopback addresses only.
#ifndef REVIEW_RIG_HPP_
#define REVIEW_RIG_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Lock = std::lock_guard<std::mutex>;

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline bool trouble() {
  const char* t = std::getenv("TROUBLE");
  return t == nullptr || std::string(t) != "0";
}

// The case could not run.
[[noreturn]] void cannot(const std::string& why);

class Record {
 public:
  void open(const char* path) {
    file_ = std::fopen(path, "w");
    if (file_ == nullptr) cannot("the record cannot be written");
    start_ = unix_ms();
  }
  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const Lock lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f %s\n", static_cast<double>(unix_ms() - start_) / 1000.0, text);
    std::fflush(file_);
  }
  std::int64_t start() const { return start_; }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  std::int64_t start_ = 0;
};
inline Record record;

inline std::vector<pid_t> children;  // started here; the main thread's alone

[[noreturn]] inline void leave(int code) {
  for (const pid_t pid : children) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  record.say("exit %d: %s", code,
             code == 0   ? "the rule held"
             : code == 1 ? "the rule was broken"
                         : "could not run");
  std::fflush(nullptr);
  std::_Exit(code);
}
inline void cannot(const std::string& why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  record.say("could not run: %s", why.c_str());
  leave(2);
}

// ---- Sockets.

inline int listen_on(std::uint16_t& port, int backlog = 128) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(port);
  socklen_t size = sizeof at;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, backlog) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    cannot("no port to listen on");
  port = ntohs(at.sin_port);
  return fd;
}
// A port that was free a moment ago.
inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  ::close(listen_on(port));
  return port;
}
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
  ::close(fd);
  return -1;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}
// A reset, as of a process that dies.
inline void reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::shutdown(fd, SHUT_RD);
  ::close(fd);
}

// ---- The event bus.

struct Listed {
  std::uint32_t id = 0;
  std::uint16_t port = 0;
  int state = 0, zone = 0, kind = 0;
  std::uint32_t weight = 4000;
  std::int64_t started_ms = 0;
};
inline std::string text_of(std::uint32_t id) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", id);
  return text;
}

// Holds the events, and tells each watcher those after its number, with an empty frame each second.
class Bus {
 public:
  Bus() { listener_ = listen_on(port_); }
  void start() {
    std::thread([this] { accept(); }).detach();
  }
  std::uint16_t port() const { return port_; }
  // All that is told goes out so many milliseconds late, from now on.
  void late(std::int64_t ms) { late_ms_ = ms; }
  void list(bool whole, const std::vector<Listed>& all) {
    std::string payload;
    for (const Listed& d : all) {
      put(payload, d.id, 4);
      put(payload, INADDR_LOOPBACK, 4);
      put(payload, d.port, 2);
      put(payload, static_cast<std::uint64_t>(d.state), 1);
      put(payload, static_cast<std::uint64_t>(d.zone), 1);
      put(payload, static_cast<std::uint64_t>(d.kind), 1);
      put(payload, 0, 2);
      put(payload, d.weight, 4);
      put(payload, static_cast<std::uint64_t>(d.started_ms), 8);
    }
    add(whole ? 1 : 2, payload);
  }
  void purge_group(int group, std::int64_t at_ms) {
    std::string payload;
    put(payload, static_cast<std::uint64_t>(group), 2);
    put(payload, static_cast<std::uint64_t>(at_ms), 8);
    add(4, payload);
  }

 private:
  struct Event {
    std::uint64_t number = 0;
    std::string frame;
  };
  static void put(std::string& out, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  static std::string frame(std::uint64_t number, int kind, const std::string& payload) {
    std::string out;
    put(out, 9 + payload.size(), 4);
    put(out, number, 8);
    put(out, static_cast<std::uint64_t>(kind), 1);
    return out + payload;
  }
  void add(int kind, const std::string& payload) {
    const Lock lock(mutex_);
    events_.push_back({next_, frame(next_, kind, payload)});
    ++next_;
  }
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd] { watch(fd); }).detach();
    }
  }
  void watch(int fd) {
    const std::int64_t came = unix_ms();
    unsigned char hello[8];
    if (::recv(fd, hello, sizeof hello, MSG_WAITALL) != sizeof hello) {
      ::close(fd);
      return;
    }
    std::uint64_t last = 0;
    for (const unsigned char c : hello) last = last << 8 | c;
    record.say("bus: watcher asks for what follows %llu", static_cast<unsigned long long>(last));
    std::vector<std::pair<std::int64_t, std::string>> due;
    std::int64_t empty_at = came + 1000;
    for (;;) {
      const std::int64_t now = unix_ms();
      {
        const Lock lock(mutex_);
        for (const Event& e : events_) {
          if (e.number <= last) continue;
          due.emplace_back(now + late_ms_, e.frame);
          last = e.number;
        }
      }
      if (now >= empty_at) {
        due.emplace_back(now + late_ms_, frame(last, 0, ""));
        empty_at += 1000;
      }
      while (!due.empty() && due.front().first <= now) {
        if (!write_all(fd, due.front().second)) break;
        due.erase(due.begin());
      }
      pollfd p{fd, POLLIN, 0};
      if (::poll(&p, 1, 5) > 0) {
        char byte;
        if (::recv(fd, &byte, 1, 0) <= 0) break;
      }
    }
    record.say("bus: watcher left after %lld ms", static_cast<long long>(unix_ms() - came));
    ::close(fd);
  }

  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<Event> events_;
  std::uint64_t next_ = 1;
  std::atomic<std::int64_t> late_ms_{0};
};

// ---- Depots.

struct Fetch {
  std::string id, line;
  std::map<std::string, std::string> fields;
  std::string body;
  std::int64_t began_ms = 0;  // its first byte was read
};

// A connection of the doorman's, as a depot has it.
class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) {}
  void answer(const std::string& id, const std::string& word, const std::string& fields,
              const std::string& body) {
    const Lock lock(mutex_);
    if (fd_ < 0) return;
    write_all(fd_,
              id + " " + word + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }
  void reset() {
    const Lock lock(mutex_);
    if (fd_ >= 0) rig::reset(std::exchange(fd_, -1));
  }
  void close() {
    const Lock lock(mutex_);
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }

 private:
  std::mutex mutex_;
  int fd_;
};

class Depot {
 public:
  using Handler = std::function<void(Depot&, const std::shared_ptr<Peer>&, const Fetch&)>;
  Depot(std::uint32_t id, int zone, int kind, Handler handler, int backlog = 128)
      : handler_(std::move(handler)) {
    listener_ = listen_on(listed.port, backlog);
    listed.id = id;
    listed.zone = zone;
    listed.kind = kind;
  }
  void start() {
    std::thread([this] { accept(); }).detach();
  }
  // So many may wait to be accepted, from now on.
  void backlog(int most) { ::listen(listener_, most); }
  std::string name() const { return text_of(listed.id); }
  Listed listed;
  std::atomic<bool> accepting{true};

 private:
  void accept() {
    for (;;) {
      if (!accepting) {
        sleep_ms(2);
        continue;
      }
      pollfd p{listener_, POLLIN, 0};
      if (::poll(&p, 1, 20) <= 0 || !accepting) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    const auto peer = std::make_shared<Peer>(fd);
    std::string in;
    std::int64_t began = 0;
    char some[16384];
    for (;;) {
      const ssize_t n = ::recv(fd, some, sizeof some, 0);
      if (n <= 0) break;
      if (in.empty()) began = unix_ms();
      in.append(some, static_cast<std::size_t>(n));
      for (;;) {
        const std::size_t end = in.find("\r\n");
        if (end == std::string::npos) break;
        const std::string line = in.substr(0, end);
        if (line.rfind("fetch ", 0) != 0) {
          record.say("%s: %s", name().c_str(), line.c_str());
          if (line.rfind("alive ", 0) == 0) write_all(fd, line.substr(6) + " FIT - 0\r\n\r\n");
          in.erase(0, end + 2);
          continue;
        }
        Fetch f;
        const std::size_t a = line.find(' '), b = line.find(' ', a + 1), c = line.find(' ', b + 1);
        const std::size_t size = static_cast<std::size_t>(std::atoll(line.c_str() + c + 1));
        if (in.size() < end + 2 + size + 2) break;
        f.id = line.substr(a + 1, b - a - 1);
        f.line = line;
        f.body = in.substr(end + 2, size);
        f.began_ms = began;
        std::string rest = line.substr(b + 1, c - b - 1);
        while (!rest.empty()) {
          const std::size_t comma = rest.find(',');
          const std::string one = rest.substr(0, comma);
          const std::size_t is = one.find('=');
          if (is != std::string::npos) f.fields[one.substr(0, is)] = one.substr(is + 1);
          rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
        }
        in.erase(0, end + 2 + size + 2);
        began = unix_ms();
        record.say("%s: %s", name().c_str(), line.c_str());
        handler_(*this, peer, f);
        if (peer->fd() < 0) return;
      }
    }
    peer->close();
  }

  Handler handler_;
  int listener_ = -1;
};

// ---- Clients.

struct Answer {
  bool whole = false;  // END_REQUEST came
  int protocol = 0;    // its protocol status
  int status = 0;      // of the CGI response; 0: none
  bool same = false;   // X-Ok304: 1
  std::string head, body;
  std::int64_t at_ms = 0;
  bool served() const { return whole && protocol == 0 && status == 200; }
};
using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fastcgi_record(int type, int id, const std::string& content) {
  std::string out{1,
                  static_cast<char>(type),
                  static_cast<char>(id >> 8 & 0xff),
                  static_cast<char>(id & 0xff),
                  static_cast<char>(content.size() >> 8 & 0xff),
                  static_cast<char>(content.size() & 0xff),
                  0,
                  0};
  return out + content;
}
// A whole request on the connection's request id, with KEEP_CONN.
inline std::string fastcgi_request(int id, const Fields& fields, const std::string& body = "") {
  std::string params;
  for (const auto& [name, value] : fields) {
    params.push_back(static_cast<char>(name.size()));
    params.push_back(static_cast<char>(value.size()));
    params += name + value;
  }
  std::string out = fastcgi_record(1, id, std::string("\0\1\1\0\0\0\0\0", 8)) +
                    fastcgi_record(4, id, params) + fastcgi_record(4, id, "");
  if (!body.empty()) out += fastcgi_record(5, id, body);
  return out + fastcgi_record(5, id, "");
}

// One FastCGI connection with one request at a time.
class Client {
 public:
  explicit Client(std::uint16_t port) : fd_(connect_to(port)) {}
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool connected() const { return fd_ >= 0; }
  // The answer, or what came of it within `wait_ms`.
  Answer ask(const Fields& fields, std::int64_t wait_ms, const std::string& body = "") {
    Answer answer;
    if (fd_ < 0 || !write_all(fd_, fastcgi_request(1, fields, body))) return answer;
    const std::int64_t until = unix_ms() + wait_ms;
    std::string text;
    while (!answer.whole) {
      while (in_.size() >= 8) {
        const auto at = [&](std::size_t i) {
          return static_cast<std::size_t>(static_cast<unsigned char>(in_[i]));
        };
        const std::size_t content = at(4) << 8 | at(5), size = 8 + content + at(6);
        if (in_.size() < size) break;
        if (at(1) == 6) text += in_.substr(8, content);
        if (at(1) == 3) {
          answer.whole = true;
          answer.protocol = static_cast<int>(at(8 + 4));
        }
        in_.erase(0, size);
        if (answer.whole) break;
      }
      if (answer.whole) break;
      const std::int64_t left = until - unix_ms();
      if (left <= 0) break;
      pollfd p{fd_, POLLIN, 0};
      if (::poll(&p, 1, static_cast<int>(left)) <= 0) continue;
      char some[16384];
      const ssize_t n = ::recv(fd_, some, sizeof some, 0);
      if (n <= 0) {
        ::close(fd_);
        fd_ = -1;
        break;
      }
      in_.append(some, static_cast<std::size_t>(n));
    }
    answer.at_ms = unix_ms();
    const std::size_t end = text.find("\r\n\r\n");
    if (end != std::string::npos) {
      answer.head = text.substr(0, end);
      answer.body = text.substr(end + 4);
      if (answer.head.rfind("Status: ", 0) == 0) answer.status = std::atoi(answer.head.c_str() + 8);
      answer.same = answer.head.find("X-Ok304: 1") != std::string::npos;
    }
    return answer;
  }

 private:
  int fd_;
  std::string in_;
};

inline std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// A request of a class for an object; `number` is its own, by which its id is made.
inline Fields request(const std::string& cls, std::uint64_t number, std::uint64_t object,
                      std::int64_t patience_ms, int group = 3) {
  return {{"SCRIPT_NAME", "/invoke/" + cls},
          {"HTTP_X_CALL_ID", hex16(mix(number))},
          {"HTTP_X_ENTITY", hex16(object)},
          {"HTTP_X_NTH", "0"},
          {"HTTP_X_BATCH", std::to_string(group)},
          {"HTTP_X_HEAP_KB", "200.5"},
          {"HTTP_X_PATIENCE_MS", std::to_string(patience_ms)}};
}
inline bool healthy(std::uint16_t port) {
  Client c(port);
  return c.connected() && c.ask({{"SCRIPT_NAME", "/_health"}}, 500).served();
}

// ---- The doorman.

inline std::string deploy_command(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t from = line.find('"') + 1;
    return line.substr(from, line.find('"', from) - from);
  }
  cannot("deploy/balancer.toml has no '" + key + "'");
}

// A temporary folder, removed with its few files at the end by the script.
inline std::string folder() {
  static const std::string made = [] {
    const char* given = std::getenv("REVIEW_TMP");
    if (given == nullptr) cannot("REVIEW_TMP is not set");
    return std::string(given);
  }();
  return made;
}

inline pid_t start(const std::string& command, const std::map<std::string, std::string>& environment,
                   const std::string& log) {
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) cannot("no process to be had");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  children.push_back(pid);
  return pid;
}
inline bool runs(pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) == 0; }

// Classes, rules and limits as of a small deployment of one centre: two caches, a parent and the origin.
struct Class {
  std::string name, repeat;
  std::int64_t deadline_ms = 0, aim_ms = 0, fresh_ms = 0;
  double worth = 1.0;
  bool never_kept = false;
  std::int64_t key_ttl_ms = 0;
  bool stretch = true;  // has `aim_stretch`, which may be absent
};
struct Config {
  std::uint16_t listen = 0, bus = 0;
  std::uint64_t known = 1;
  std::vector<Listed> depots;
  std::vector<Class> classes;
  std::int64_t connect_timeout_ms = 400, drain_grace_ms = 250;
  int max_attempts = 8, memory_mb = 128, sockets = 512;
};
inline const std::vector<Class> kBooking{{"guide-video", "free", 5000, 400, 0, 2.0, false, 0, true},
                                         {"slot-page", "free", 2500, 400, 8000, 1.0, false, 0, true},
                                         {"book-slot", "single_shot", 3000, 600, 0, 3.0, true, 0, false}};

inline std::string json_of(const Config& c) {
  std::string hosts, classes, fresh, grace, kept;
  const auto dial = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  static const char* const kZones[] = {"hub", "centre"};
  static const char* const kKinds[] = {"small-box", "parent", "origin"};
  for (const Listed& d : c.depots) {
    hosts += hosts.empty() ? "" : ",";
    hosts += "{\"host\":\"" + text_of(d.id) + "\",\"dial\":\"" + dial(d.port) + "\",\"site\":\"" +
             kZones[d.zone] + "\",\"class\":\"" + kKinds[d.kind] +
             "\",\"block\":0,\"health\":\"Ready\",\"share\":" + std::to_string(d.weight / 1000) +
             ",\"born_ms\":0}";
  }
  for (const Class& k : c.classes) {
    const std::string comma = classes.empty() ? "" : ",";
    const auto ns = [](std::int64_t ms) { return std::to_string(ms * 1000000); };
    classes += comma + "{\"name\":\"" + k.name + "\",\"aim\":" + ns(k.aim_ms) +
               (k.stretch ? ",\"aim_stretch\":1.6" : "") + ",\"deadline\":" + ns(k.deadline_ms) +
               ",\"credit\":" + std::to_string(k.worth) + ",\"late_worth\":0.1,\"repeat\":\"" + k.repeat +
               "\",\"key_scope\":\"all\",\"key_ttl\":" + ns(k.key_ttl_ms) + "}";
    fresh += comma + ns(k.fresh_ms);
    grace += comma + "0";
    kept += comma + (k.never_kept ? "true" : "false");
  }
  const std::string known = "\"known\":{\"offset\":" + std::to_string(c.known) +
                            ",\"batch\":[{\"offset\":1,\"topology\":{\"seq\":1," +
                            "\"whole\":true,\"hosts\":[" + hosts + "]}}]},";
  return "{\"name\":\"n1\",\"listen\":\"" + dial(c.listen) + "\",\"seed\":\"8c1f30d27a5be964\"," +
         "\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(c.memory_mb) +
         ",\"sockets\":" + std::to_string(c.sockets) + "},\"bus\":\"" + dial(c.bus) + "\"," + known +
         "\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"settings\":{\"index\":0,\"n_instances\":"
         "1," +
         "\"my_zone\":1,\"zones\":[\"hub\",\"centre\"],\"machine_types\":[\"small-box\",\"parent\","
         "\"origin\"]," +
         "\"weight_source\":\"nominal\",\"tick\":2000000,\"categories\":[" + classes + "],\"family_info\":{" +
         "\"class_fresh\":[" + fresh + "],\"grace_for\":[" + grace + "],\"never_kept\":[" + kept + "]," +
         "\"mid_kind\":1,\"store_kind\":2,\"client_kb_per_s\":10500.0,\"can_join\":true,\"notes_given\":"
         "\"all\"," +
         "\"zone_hub\":[0,0],\"seats_by_zone\":[0,1],\"purge_grace\":1000000000,\"purge_settles\":"
         "6000000000," +
         "\"upper_cold_from\":0.061,\"upper_cold\":22000000000,\"parent_fall_multiple\":2.0}," +
         "\"rules\":{\"cold_from\":0.2,\"ramp_time\":16000000000,\"fall_multiple\":3.0,\"fall\":1000000000," +
         "\"drain_grace\":" + std::to_string(c.drain_grace_ms) + "000000,\"grace_to_answer\":0}," +
         "\"limits\":{\"cancel\":true,\"max_attempts\":" + std::to_string(c.max_attempts) +
         ",\"max_retry_after\":1000000000,\"max_streams\":100," +
         "\"connect_timeout\":" + std::to_string(c.connect_timeout_ms) +
         "000000,\"conn_idle\":30000000000}," + "\"prices\":{\"handshake\":0.0}}}";
}
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new", std::ios::binary) << text;
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0) cannot("a file cannot be written");
}
inline std::string config_path() { return folder() + "/config.json"; }

// One doorman that says it is ready; its number of process.
inline pid_t start_doorman(const Config& c) {
  write_file(config_path(), json_of(c));
  const std::string own = folder() + "/tmp";
  const pid_t pid = start(deploy_command("run"),
                          {{"RELAY_CONFIG", config_path()},
                           {"RELAY_NAME", "n1"},
                           {"RELAY_LISTEN", "127.0.0.1:" + std::to_string(c.listen)},
                           {"TMPDIR", own}},
                          folder() + "/doorman.log");
  for (int i = 0; i < 300; ++i) {
    if (!runs(pid)) cannot("the doorman ended at once");
    if (healthy(c.listen)) return pid;
    sleep_ms(50);
  }
  cannot("the doorman is not ready after 15 s");
}

inline void begin(int argc, char** argv, int limit_s) {
  if (argc != 2) cannot("usage: CASE RECORD");
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[1]);
  record.say("trouble: %s", trouble() ? "yes" : "no");
  std::thread([limit_s] {
    sleep_ms(limit_s * 1000);
    cannot("it takes too long");
  }).detach();
}

}  // namespace rig

#endif  // REVIEW_RIG_HPP_
