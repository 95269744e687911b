// Several processes of anisewick_fleet on loopback, with a relay between them, before one site's depots.
#ifndef ANISEWICK_TESTS_FLEET_HPP_
#define ANISEWICK_TESTS_FLEET_HPP_

#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daily.hpp"
#include "standin/between.hpp"

namespace anisewick::peers {

struct FleetOptions {
  std::size_t members = 5, voters = 3;
  std::uint64_t seed = 1;
  int lease_ms = 1000;
  std::vector<std::size_t> careless = {};  // owners that do not look at their lease
  std::vector<int> ahead_ms = {};          // clocks, by member
  std::vector<int> rate_ppm = {};
  std::string more = {};  // of the settings
  bool work = false;      // with the duty of machines out for work
  int zones = 1;          // the doormen stand in so many, in turns
  bool alone = false;     // the same doormen, each built without the fleet
  int evidence_late_ms = 0;
};

class Doormen {
 public:
  explicit Doormen(const FleetOptions& options) : between(options.members, options.seed), options_(options) {
    site.write();
    for (std::size_t i = 0; i < options.members; ++i) {
      auto& m = members_.emplace_back();
      m.front = std::make_unique<Listener>(false);
      std::filesystem::create_directory(folder(i));
    }
    for (std::size_t i = 0; i < options.members; ++i) write(i, i < options.voters);
  }
  std::string folder(std::size_t i) const { return folder_.path + "/m" + std::to_string(i); }
  std::string file(std::size_t i) const { return folder_.path + "/n" + std::to_string(i) + ".textproto"; }
  static std::string name(std::size_t i) { return "n" + std::to_string(i); }

  std::string work_file(std::size_t i) const {
    return folder_.path + "/work" + std::to_string(i) + ".textproto";
  }
  void write(std::size_t i, bool) {
    const auto own = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    const auto at = [&](const std::vector<int>& all) { return i < all.size() ? all[i] : 0; };
    std::ofstream out(file(i));
    out << "fleet: \"test\"\nname: \"" << name(i) << "\"\nzone: \"z" << i % 3
        << "\"\nlisten: " << own(between.own(i)) << "advertise: " << own(between.address(i))
        << "state_folder: \"" << folder(i)
        << "\"\nkeys { id: 1 secret: \"0123456789abcdef0123456789abcdef\" }\n";
    for (std::size_t m = 0; m < options_.members; ++m) {
      out << "members { name: \"" << name(m) << "\" address: " << own(between.address(m)) << "}\n";
    }
    for (std::size_t v = 0; v < options_.voters; ++v) out << "voters: \"" << name(v) << "\"\n";
    bool careless = false;
    for (const std::size_t c : options_.careless) careless = careless || c == i;
    out << "lease_ms: " << options_.lease_ms << "\nprobe_ms: 200\ngossip_ms: 200\nyoung_ms: 0\n"
        << "doorman { config: \""
        << (options_.zones == 1 ? site.path() : folder_.path + "/config" + std::to_string(i) + ".json")
        << "\" listen: " << own(static_cast<std::uint16_t>(front(i)))
        << "door: " << own(static_cast<std::uint16_t>(members_[i].door))
        << "}\nfaults { clock_ahead_ms: " << at(options_.ahead_ms)
        << " clock_rate_ppm: " << at(options_.rate_ppm) << " careless: " << (careless ? "true" : "false")
        << " evidence_late_ms: " << options_.evidence_late_ms << " }\n"
        << options_.more;
    if (options_.work) {
      out << "duties { name: \"work\" }\nwork { file: \"" << work_file(i)
          << "\" permit_ms: 800 longest_ms: 1000 calm_ms: 300 }\n";
    }
  }
  int front(std::size_t i) const { return members_[i].front->port(); }
  int door(std::size_t i) const { return members_[i].door; }

  // Of a doorman: the site's, with its own zone.
  std::string config(std::size_t i) const {
    if (options_.zones == 1) return site.path();
    std::string text = site.text(), names, hubs = "0", seats = "0";
    const auto n = static_cast<std::size_t>(options_.zones);
    for (std::size_t z = 0; z < n; ++z) {
      names += ",\"edge-" + std::to_string(z + 1) + "\"";
      hubs += ",0";
      seats += "," + std::to_string(options_.members / n + (z < options_.members % n ? 1 : 0));
    }
    const auto change = [&](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    change(R"("my_zone":1,"n_instances":1,"index":0)",
           R"("my_zone":)" + std::to_string(1 + i % n) + R"(,"n_instances":)" +
               std::to_string(options_.members) + R"(,"index":)" + std::to_string(i));
    change(R"("zones":["main-hub","edge-1"])", R"("zones":["main-hub")" + names + "]");
    change(R"("zone_hub":[0,0])", R"("zone_hub":[)" + hubs + "]");
    change(R"("seats_by_zone":[0,1])", R"("seats_by_zone":[)" + seats + "]");
    const std::string path = folder_.path + "/config" + std::to_string(i) + ".json";
    std::ofstream(path) << text;
    return path;
  }
  void start(std::size_t i) {
    const std::string own = config(i);
    if (options_.alone) {
      const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
      const Around around{{{"RELAY_OPS", at(members_[i].door)}}, -1};
      members_[i].program = std::make_unique<Program>(ANISEWICK_PROGRAM, own, at(front(i)), around);
      return members_[i].program->drain_errors();
    }
    members_[i].program =
        std::make_unique<Program>(ANISEWICK_FLEET, std::vector<std::string>{"run", file(i)});
    members_[i].program->drain_errors();
  }
  void start() {
    for (std::size_t i = 0; i < members_.size(); ++i) start(i);
  }
  void kill(std::size_t i) { members_[i].program.reset(); }
  void stop(std::size_t i) { members_[i].program->stop(); }
  void go_on(std::size_t i) { members_[i].program->signal(SIGCONT); }
  void term(std::size_t i) { members_[i].program->signal(SIGTERM); }
  Program& program(std::size_t i) { return *members_[i].program; }
  bool up(std::size_t i) const { return members_[i].program != nullptr; }
  void empty_disk(std::size_t i) {
    std::filesystem::remove_all(folder(i));
    std::filesystem::create_directory(folder(i));
  }

  // The door's word; empty: it does not answer.
  std::string ask(std::size_t i, const std::string& method, const std::string& path) {
    try {
      return call(door(i), method, path).text;
    } catch (const std::exception&) {
      return {};
    }
  }
  std::string status(std::size_t i) { return ask(i, "GET", "/_fleet"); }
  // A field of the JSON, as its text; enough for words and numbers.
  static std::string field(const std::string& json, const std::string& name, std::size_t from = 0) {
    const std::size_t at = json.find("\"" + name + "\":", from);
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 3;
    const std::size_t end = json.find_first_of(",}]", begin);
    std::string text = json.substr(begin, end - begin);
    if (text.size() >= 2 && text.front() == '"') text = text.substr(1, text.size() - 2);
    return text;
  }
  // Who owns staff's calls by their own look; npos: nobody.
  static constexpr std::size_t npos = static_cast<std::size_t>(-1);
  std::size_t owner(const std::vector<std::size_t>& among = {}) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!up(i)) continue;
      if (!among.empty() && std::find(among.begin(), among.end(), i) == among.end()) continue;
      if (status(i).find("\"here\":true") != std::string::npos) return i;
    }
    return npos;
  }
  std::size_t wait_owner(const std::vector<std::size_t>& among = {}, int ms = kLimitMs) {
    std::size_t who = npos;
    until([&] { return (who = owner(among)) != npos; }, ms);
    return who;
  }
  template <typename Done>
  static bool until(const Done& done, int ms = kLimitMs) {
    for (const std::int64_t end = now_ms() + ms; now_ms() < end;) {
      if (done()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return done();
  }
  // Of a duty.
  std::size_t owner_of(const std::string& duty, const std::vector<std::size_t>& among = {}) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!up(i)) continue;
      if (!among.empty() && std::find(among.begin(), among.end(), i) == among.end()) continue;
      const std::string text = status(i);
      const std::size_t at = text.find("\"duty\":\"" + duty + "\"");
      if (at != std::string::npos && field(text, "here", at) == "true") return i;
    }
    return npos;
  }
  // By one answer: two could differ.
  bool ready(std::size_t i) {
    return until([&] { return ask(i, "GET", "/_ready").ends_with("\nready\n"); });
  }
  int heeded(std::size_t i) {
    const std::string text = field(status(i), "heeded");
    return text.empty() ? -1 : std::stoi(text);
  }
  bool all_heed(int number, const std::vector<std::size_t>& who, int ms = kLimitMs) {
    return until(
        [&] {
          for (const std::size_t i : who) {
            if (heeded(i) != number) return false;
          }
          return true;
        },
        ms);
  }

  Site site;
  standin::Between between;

 private:
  struct Member {
    Port door;
    std::unique_ptr<Listener> front;  // holds the port
    std::unique_ptr<Program> program;
  };
  Folder folder_;
  FleetOptions options_;
  std::vector<Member> members_;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_FLEET_HPP_
