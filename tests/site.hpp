// A doorman's site on loopback: two caches of its own centre and an event bus, scripted by the test.
#ifndef ANISEWICK_TESTS_SITE_HPP_
#define ANISEWICK_TESTS_SITE_HPP_

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "depot/depot.hpp"
#include "peers.hpp"

namespace anisewick::peers {

constexpr const char* kObject = "7f3a9c21e0b4d655";
constexpr const char* kId = "9b1f03aa5c7e2d41";

inline std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}
inline std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  return out;
}

enum Kind { kBox, kParent, kOrigin };
struct Depot {
  std::uint32_t id = 0;
  int port = 0;
  Kind kind = kBox;
  int state = 0;
  std::int64_t born_ms = 0;
  int zone = 1;  // of a box: edge-1, edge-2 ...
  std::string json() const {
    static const char* kStates[] = {"Ready", "Terminating", "Gone"};
    static const char* kKinds[] = {"small-box", "parent", "origin"};
    return R"({"host":")" + depot::text_of(id) + R"(","dial":"127.0.0.1:)" + std::to_string(port) +
           R"(","site":")" + (kind == kBox ? "edge-" + std::to_string(zone) : "main-hub") + R"(","class":")" +
           kKinds[kind] + R"(","block":0,"health":")" + kStates[state] + R"(","share":1,"born_ms":)" +
           std::to_string(born_ms) + "}";
  }
  std::string record() const {
    return big_endian(id, 4) + big_endian(0x7f000001, 4) + big_endian(static_cast<std::uint64_t>(port), 2) +
           big_endian(static_cast<std::uint64_t>(state), 1) +
           big_endian(kind == kBox ? static_cast<std::uint64_t>(zone) : 0, 1) + big_endian(kind, 1) +
           big_endian(0, 2) + big_endian(1000, 4) + big_endian(static_cast<std::uint64_t>(born_ms), 8);
  }
};

// What a depot hears.
struct Heard {
  std::size_t depot = 0;
  Stream* on = nullptr;
  std::string verb, id, body;
  std::map<std::string, std::string> fields;
  void say(const std::string& word, const std::string& fields_said = "-",
           const std::string& bytes = "") const {
    on->write(id + " " + word + " " + fields_said + " " + std::to_string(bytes.size()) + "\r\n" + bytes +
              "\r\n");
  }
};

// Two caches of the doorman's own centre, whose every line the test reads and answers.
class Caches {
 public:
  explicit Caches(bool first_listens = true) {
    listeners_.push_back(std::make_unique<Listener>(first_listens));
    listeners_.push_back(std::make_unique<Listener>());
  }
  int port(std::size_t i) const { return listeners_.at(i)->port(); }
  Heard next() {
    if (auto h = next(kLimitMs)) return *h;
    throw std::runtime_error("no depot heard anything");
  }
  // None: nothing was heard for so long.
  std::optional<Heard> next(int ms) {
    for (;;) {
      for (auto& [depot, stream] : streams_) {
        if (stream.buffered()) return heard(depot, stream);
      }
      std::vector<pollfd> fds;
      for (const auto& l : listeners_) fds.push_back({l->fd(), POLLIN, 0});
      for (auto& [depot, stream] : streams_) fds.push_back({stream.fd(), POLLIN, 0});
      if (::poll(fds.data(), fds.size(), ms) <= 0) return std::nullopt;
      for (std::size_t i = 0; i < streams_.size(); ++i) {
        auto& [depot, stream] = streams_[i];
        if ((fds[listeners_.size() + i].revents & POLLIN) == 0) continue;
        if (readable(stream.fd(), 0) && at_end(stream)) {
          stream = Stream();
          continue;
        }
        return heard(depot, stream);
      }
      for (std::size_t i = 0; i < listeners_.size(); ++i) {
        if ((fds[i].revents & POLLIN) != 0) streams_.emplace_back(i, listeners_[i]->accept());
      }
    }
  }
  std::size_t accepted() const { return streams_.size(); }

 private:
  static bool at_end(const Stream& s) {
    char c;
    return ::recv(s.fd(), &c, 1, MSG_PEEK) <= 0;
  }
  static Heard heard(std::size_t depot, Stream& stream) {
    Heard h;
    h.depot = depot;
    h.on = &stream;
    std::istringstream words(stream.line());
    std::string fields, field;
    std::size_t length = 0;
    words >> h.verb >> h.id >> fields >> length;
    if (h.verb != "fetch") return h;
    h.body = stream.take(length + 2).substr(0, length);
    std::istringstream list(fields);
    while (std::getline(list, field, ','))
      h.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
    return h;
  }

  std::vector<std::unique_ptr<Listener>> listeners_;
  std::deque<std::pair<std::size_t, Stream>> streams_;
};

class Site {
 public:
  explicit Site(const std::string& known_more = "", bool first_listens = true, bool listed = true,
                bool handed_down = false)
      : caches(first_listens), front_(handed_down) {
    depots = {{1, caches.port(0)}, {2, caches.port(1)}, {8, 9, kParent}, {9, 9, kOrigin}};
    std::string hosts, batch;
    for (const Depot& d : depots) hosts += (hosts.empty() ? "" : ",") + d.json();
    if (listed)
      batch = R"({"offset":1,"topology":{"seq":1,"whole":true,"hosts":[)" + hosts + "]}}" + known_more;
    number_ = listed ? 1 : 0;
    config_ = R"({"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":"127.0.0.1:)" +
              std::to_string(bus_.port()) + R"(","known":{"offset":)" + std::to_string(number_) +
              R"(,"batch":[)" + batch +
              R"(]},"settings":{"my_zone":1,"n_instances":1,"index":0,"zones":["main-hub","edge-1"],
      "machine_types":["small-box","parent","origin"],"weight_source":"nominal","tick":2000000,
      "categories":[{"name":"slot-page","aim":400000000,"aim_stretch":2.0,"credit":1.0,
        "deadline":9000000000,"repeat":"free"},
        {"name":"book-slot","aim":600000000,"credit":1.0,"deadline":9000000000,"repeat":"single_shot"}],
      "family_info":{"class_fresh":[8000000000,0],"grace_for":[0,0],"never_kept":[false,true],"mid_kind":1,
        "store_kind":2,"client_kb_per_s":10500.0,"can_join":true,"notes_given":"all","zone_hub":[0,0],
        "seats_by_zone":[0,1],"purge_settles":6000000000,"purge_grace":1000000000,"upper_cold_from":0.061,
        "upper_cold":22000000000,"parent_fall_multiple":2.0},
      "rules":{"cold_from":0.2,"ramp_time":16000000000,"fall_multiple":3.0,"fall":1000000000,
        "drain_grace":250000000},
      "limits":{"cancel":true,"max_attempts":8,"max_retry_after":1000000000,"connect_timeout":400000000,
        "conn_idle":30000000000,"max_streams":100}}})";
  }
  ~Site() {
    if (!path_.empty()) ::unlink(path_.c_str());
  }

  // Another text in the configuration, from the start or the next SIGHUP on.
  void change(const std::string& from, const std::string& to) {
    config_.replace(config_.find(from), from.size(), to);
    if (!path_.empty()) std::ofstream(path_) << config_;
  }
  const std::string& text() const { return config_; }
  void keep() { kept_ = config_; }
  void restore() { std::ofstream(path_) << (config_ = kept_); }
  void write() {
    char path[] = "/tmp/anisewick-test-XXXXXX";
    const Fd file(::mkstemp(path));
    path_ = path;
    std::ofstream(path_) << config_;
  }
  // `around`: further variables; `descriptor`: the clients' socket is held here and handed down.
  void start(const Around& around = {}) {
    write();
    program = another(around);
    bus = bus_.accept();
    hello = bus.take(8);
  }
  // A further process of the same doorman.
  std::unique_ptr<Program> another(const Around& around) {
    return std::make_unique<Program>(ANISEWICK_PROGRAM, path_, "127.0.0.1:" + std::to_string(front_.port()),
                                     around);
  }
  Stream bus_joined() {
    Stream s = bus_.accept();
    s.take(8);
    return s;
  }
  int front_fd() const { return front_.fd(); }
  Stream client() { return Stream::to(front_.port()); }
  Answer health() {
    Stream s = client();
    Ask ask;
    ask.path = "/_health";
    ask.cls = "";
    s.write(request(1, ask));
    return answer(s);
  }
  // The next event, as the bus writes it.
  std::string event(int kind, const std::string& payload) {
    const std::string content = big_endian(++number_, 8) + std::string(1, static_cast<char>(kind)) + payload;
    return big_endian(content.size(), 4) + content;
  }
  // Tells an event, and waits until it has been taken in.
  void tell(int kind, const std::string& payload, const std::string& counter) {
    bus.write(event(kind, payload));
    until(*program, counter);
  }
  static void until(Program& of, const std::string& counter) {
    std::string said;
    for (int i = 0; i < 2000 && (said = of.counters()).find(counter) == std::string::npos; ++i) {
    }
    if (said.find(counter) == std::string::npos) throw std::runtime_error("no " + counter + " in " + said);
  }
  void reconnected() { reconnected(bus_); }
  void reconnected(Listener& at) {
    bus = at.accept();
    hello = bus.take(8);
  }
  const std::string& path() const { return path_; }
  int bus_port() const { return bus_.port(); }
  Listener& bus_listener() { return bus_; }
  // Another list of depots, before anything is started.
  void list(const std::string& hosts) {
    const std::size_t from = config_.find("\"hosts\":[") + 9;
    config_.replace(from, config_.find("]}", from) - from, hosts);
    if (!path_.empty()) std::ofstream(path_) << config_;
  }

  Caches caches;
  std::vector<Depot> depots;
  std::unique_ptr<Program> program;
  Stream bus;
  std::string hello;

 private:
  Listener bus_;
  Listener front_;  // holds the port for the program, or listens and is handed down to it
  std::string config_, kept_, path_;
  std::uint64_t number_ = 0;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_SITE_HPP_
