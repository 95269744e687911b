// Depots in numbers, and the event bus that tells of them, for several doormans: each depot can be taken
// down, restarted as a new process, left unable to answer; what it is asked is counted. One thread serves
// them all.
#ifndef ANISEWICK_TESTS_YARD_HPP_
#define ANISEWICK_TESTS_YARD_HPP_

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "fleet.hpp"

namespace anisewick::peers {

class Yard {
 public:
  static constexpr std::uint32_t kFirst = 0x20;
  static std::string id(std::size_t i) { return depot::text_of(kFirst + static_cast<std::uint32_t>(i)); }

  // `doormen`'s site lists them from the start, and nothing else of their kind.
  Yard(std::size_t n, Site& site, std::size_t zones = 1) : bus_(site.bus_listener()), n_(n), zones_(zones) {
    std::string hosts;
    for (std::size_t i = 0; i < n; ++i) {
      auto& d = depots_.emplace_back();
      d.listener = std::make_unique<Listener>();
      d.port = d.listener->port();
      hosts += (i == 0 ? "" : ",") + record(i, 0).json();
    }
    hosts += "," + Depot{8, 9, kParent}.json() + "," + Depot{9, 9, kOrigin}.json();
    site.list(hosts);
    thread_ = std::thread([this] { serve(); });
  }
  ~Yard() {
    over_ = true;
    thread_.join();
  }
  Yard(const Yard&) = delete;

  // Depots lie in the zones one after another: the first few in the first.
  std::size_t zone_of(std::size_t i) const { return i * zones_ / n_; }
  // What it does with requests, all of them or those of one doorman by their ids.
  struct Fault {
    bool silent = false, resets = false;
    int lose_each = 0;  // of so many one gets no answer
    int slow_ms = 0;
    bool any() const { return silent || resets || lose_each > 0 || slow_ms > 0; }
  };
  void fault(std::size_t i, const Fault& fault) {
    act(i, [&](One& d) { d.fault = fault; });
  }
  // A doorman's requests get no answer from this depot.
  void cut_off(std::size_t i, int doorman, bool on) {
    act(i, [&](One& d) { on ? void(d.cut.insert(doorman)) : void(d.cut.erase(doorman)); });
  }
  void doorman_by(std::function<int(const std::string& id)> f) {
    const std::lock_guard hold(mutex_);
    doorman_of_ = std::move(f);
  }
  // Each holds what it was asked for since its start: anything else is a fill.
  void keeps() {
    const std::lock_guard hold(mutex_);
    keeps_ = true;
  }
  // Whoever is asked since then, and filled.
  struct Asked {
    int asked = 0, fills = 0;
  };
  Asked of_zone(std::size_t zone) {
    const std::lock_guard hold(mutex_);
    Asked a;
    for (std::size_t i = 0; i < depots_.size(); ++i) {
      if (zone_of(i) == zone) a.asked += depots_[i].asked, a.fills += depots_[i].fills;
    }
    return a;
  }

  // It answers nobody any more: its connections break, and new ones too.
  void down(std::size_t i) {
    act(i, [](One& d) {
      d.streams.clear();
      d.listens = false;  // who connects is closed at once
    });
  }
  // A new process of it, cold for so many answers; `told`: the bus says so.
  void up(std::size_t i, int cold = 0, bool told = true) {
    act(i, [cold](One& d) {
      d.streams.clear();
      d.listens = true;
      d.cold = cold;
      d.held_things.clear();
      d.fault = {};
    });
    if (told) tell(i, 0, now_ms());
  }
  void tell(std::size_t i, int state, std::int64_t born_ms) {
    const std::lock_guard hold(mutex_);
    events_.push_back(std::string(1, 2) + record(i, born_ms, state).record());
  }
  // A purge of every second object, which its group says: those whose ids are odd. No copy is left anywhere,
  // and from a second on whoever asks for one says how old it may be at the most.
  void purge_odd(int group) {
    const std::lock_guard hold(mutex_);
    purged_ms_ = now_ms();
    events_.push_back(std::string(1, 4) + big_endian(static_cast<std::uint64_t>(group), 2) +
                      big_endian(static_cast<std::uint64_t>(purged_ms_), 8));
    for (One& d : depots_) std::erase_if(d.held_things, [](const std::string& thing) { return odd(thing); });
  }
  // Requests for a purged object since a second after, and those of them that would take an older copy.
  std::pair<int, int> purged() {
    const std::lock_guard hold(mutex_);
    return {asked_purged_, would_take_old_};
  }
  // What a new process has to fill takes so long each, one after another.
  void fills_take(int ms) {
    const std::lock_guard hold(mutex_);
    fill_ms_ = ms;
  }
  // It takes requests and answers none until it may.
  void hold(std::size_t i, bool on) {
    act(i, [on](One& d) { d.held = on; });
  }
  // From now on a request that comes to it is one too many.
  void out(std::size_t i, bool on) {
    act(i, [on](One& d) { d.out = on; });
  }

  int asked(std::size_t i) {
    const std::lock_guard hold(mutex_);
    return depots_[i].asked;
  }
  // Of the answers that a new process has to fill, those that are left; and none any more.
  int cold_left(std::size_t i) {
    const std::lock_guard hold(mutex_);
    return depots_[i].cold;
  }
  void warm(std::size_t i) {
    act(i, [](One& d) { d.cold = 0; });
  }
  int sent_to_out() {
    const std::lock_guard hold(mutex_);
    return sent_to_out_;
  }
  std::size_t size() const { return depots_.size(); }

 private:
  struct One {
    std::unique_ptr<Listener> listener;
    int port = 0, asked = 0, cold = 0, fills = 0;
    Fault fault;
    std::set<int> cut;
    std::set<std::string> held_things;
    std::multimap<std::int64_t, std::pair<Stream*, std::string>> slow;  // by when they are answered
    std::list<Stream> streams;
    bool listens = true, held = false, out = false;
    std::vector<std::pair<Stream*, std::string>> waiting;  // ids, while it is held
    std::deque<std::pair<Stream*, std::string>> filling;   // likewise, one after another
    std::int64_t filled_ms = 0;                            // when the first of them is
  };
  Depot record(std::size_t i, std::int64_t born_ms, int state = 0) const {
    return {kFirst + static_cast<std::uint32_t>(i), depots_[i].port, kBox, state, born_ms,
            1 + static_cast<int>(zone_of(i))};
  }
  template <typename F>
  void act(std::size_t i, const F& f) {
    const std::lock_guard hold(mutex_);
    One& d = depots_[i];
    f(d);
    if (d.streams.empty()) {
      d.waiting.clear();
      d.filling.clear();
      d.slow.clear();
    }
    if (d.held) return;
    for (auto& [s, id] : std::exchange(d.waiting, {})) say(*s, id, cold(d));
  }
  static bool odd(const std::string& thing) {
    return !thing.empty() && std::string("13579bdf").find(thing.back()) != std::string::npos;
  }
  static std::string word_of(const std::string& fields, const std::string& name) {
    const std::size_t at = fields.find(name + "=");
    if (at == std::string::npos) return {};
    const std::size_t from = at + name.size() + 1;
    return fields.substr(from, fields.find(',', from) - from);
  }
  // Until the purge has settled, after which nobody needs to say so any more.
  void look_at_purge(const std::string& fields) {
    const std::int64_t since = now_ms() - purged_ms_;
    if (purged_ms_ == 0 || since < 1'000 || since > 5'000 || !odd(word_of(fields, "thing"))) return;
    const std::string oldest = word_of(fields, "oldest");
    ++asked_purged_;
    would_take_old_ += oldest.empty() || std::stoll(oldest) > since;
  }
  static bool cold(One& d) { return d.cold > 0 && d.cold-- > 0; }
  static void say(Stream& s, const std::string& id, bool fill) {
    try {
      s.write(id + " DONE remark=" + (fill ? "filled" : "hit") + " 5\r\nwhole\r\n");
    } catch (const std::exception&) {
    }
  }
  void serve() {
    while (!over_) {
      std::vector<pollfd> fds;
      {
        const std::lock_guard hold(mutex_);
        for (auto& [s, told] : doormen_) {
          for (; told < events_.size(); ++told) {
            const std::string content = big_endian(100 + told, 8) + events_[told];
            try {
              s.write(big_endian(content.size(), 4) + content);
            } catch (const std::exception&) {
            }
          }
        }
        fds.push_back({bus_.fd(), POLLIN, 0});
        for (One& d : depots_) {
          fds.push_back({d.listener->fd(), POLLIN, 0});
          for (Stream& s : d.streams) fds.push_back({s.fd(), POLLIN, 0});
        }
      }
      ::poll(fds.data(), fds.size(), 5);
      const std::lock_guard hold(mutex_);
      if (readable(bus_.fd(), 0)) doormen_.emplace_back(bus_.accept(), 0);
      for (One& d : depots_) {
        if (readable(d.listener->fd(), 0)) {
          Stream s = d.listener->accept();
          d.listens ? d.streams.push_back(std::move(s)) : s.reset();
        }
        for (; !d.slow.empty() && d.slow.begin()->first <= now_ms(); d.slow.erase(d.slow.begin()))
          say(*d.slow.begin()->second.first, d.slow.begin()->second.second, false);
        while (!d.filling.empty() && now_ms() >= d.filled_ms) {
          const auto [s, id] = d.filling.front();
          d.filling.pop_front();
          d.filled_ms += fill_ms_;
          say(*s, id, true);
        }
        for (auto it = d.streams.begin(); it != d.streams.end();)
          it = read(d, *it) ? std::next(it) : drop(d, it);
      }
    }
  }
  std::list<Stream>::iterator drop(One& d, std::list<Stream>::iterator it) {
    std::erase_if(d.waiting, [&](const auto& w) { return w.first == &*it; });
    std::erase_if(d.filling, [&](const auto& w) { return w.first == &*it; });
    std::erase_if(d.slow, [&](const auto& w) { return w.second.first == &*it; });
    return d.streams.erase(it);
  }
  // False: the connection has ended.
  bool read(One& d, Stream& s) {
    if (!s.buffered() && !readable(s.fd(), 0)) return true;
    try {
      if (!s.buffered() && !s.more(0)) return false;
      while (s.buffered()) {
        std::istringstream words(s.line());
        std::string verb, id, fields;
        std::size_t length = 0;
        words >> verb >> id >> fields >> length;
        if (verb != "fetch") continue;
        s.take(length + 2);
        ++d.asked;
        look_at_purge(fields);
        if (d.out) ++sent_to_out_;
        if (d.fault.resets) return false;
        if (d.fault.silent || (d.fault.lose_each > 0 && d.asked % d.fault.lose_each == 0) ||
            (!d.cut.empty() && doorman_of_ && d.cut.contains(doorman_of_(id)))) {
          continue;
        }
        if (d.held) {
          d.waiting.emplace_back(&s, id);
          continue;
        }
        bool fill = cold(d);
        if (keeps_) {
          fill = d.held_things.insert(word_of(fields, "thing")).second;
        }
        d.fills += fill;
        if (d.fault.slow_ms > 0) {
          d.slow.emplace(now_ms() + d.fault.slow_ms, std::pair(&s, id));
        } else if (fill_ms_ > 0 && fill) {
          if (d.filling.empty()) d.filled_ms = now_ms() + fill_ms_;
          d.filling.emplace_back(&s, id);
        } else {
          say(s, id, fill);
        }
      }
    } catch (const std::exception&) {
      return false;
    }
    return true;
  }

  Listener& bus_;
  std::mutex mutex_;
  std::vector<One> depots_;
  std::vector<std::string> events_;
  std::list<std::pair<Stream, std::size_t>> doormen_;
  std::int64_t purged_ms_ = 0;  // 0: never
  int sent_to_out_ = 0, fill_ms_ = 0, asked_purged_ = 0, would_take_old_ = 0;
  const std::size_t n_, zones_;
  bool keeps_ = false;
  std::function<int(const std::string&)> doorman_of_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

}  // namespace anisewick::peers

#endif  // ANISEWICK_TESTS_YARD_HPP_
