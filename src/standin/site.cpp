#include "standin/site.hpp"

#include <array>
#include <atomic>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "copies/copy.hpp"
#include "links/asio.hpp"
#include "links/stream.hpp"

namespace anisewick::standin {
namespace {

using links::Error;
using links::Tcp;

std::string hex16(std::uint64_t n) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(n));
  return text.data();
}

// A loop on a thread of its own, ended with its owner.
struct Loop {
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
  std::thread thread;
  void run() {
    thread = std::thread([this] { io.run(); });
  }
  void end() {
    io.stop();
    if (thread.joinable()) thread.join();
  }
};

Tcp::acceptor listener(asio::io_context& io, std::uint16_t port) {
  Tcp::acceptor acceptor(io);
  acceptor.open(Tcp::v4());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind({asio::ip::address_v4::loopback(), port});
  acceptor.listen();
  return acceptor;
}

}  // namespace

std::int64_t unix_ms() { return links::unix_now() / 1'000'000; }

std::string bytes_of(std::uint64_t object, std::uint32_t part, std::uint64_t version, std::size_t size) {
  std::string out(size, '\0');
  std::minstd_rand random(static_cast<unsigned>(copies::mix({object ^ version << 48, part}) >> 33) + 1);
  for (char& c : out) c = static_cast<char>(random() >> 8);
  return out;
}
std::string tag_of(std::uint64_t object, std::uint32_t part, std::uint64_t version) {
  return hex16(copies::mix({object + version * 0x9e3779b9, part}));
}
bus::Depot depot_at(std::uint32_t id, std::uint16_t port, int kind, int zone) {
  bus::Depot d;
  d.id = id;
  d.address = 0x7f000001;
  d.port = port;
  d.kind = kind;
  d.zone = zone;
  return d;
}

// ---- The origin.

struct Origin::Impl : std::enable_shared_from_this<Impl> {
  explicit Impl(std::uint16_t at) : acceptor(listener(loop.io, at)) {
    port = acceptor.local_endpoint().port();
  }

  struct Link : std::enable_shared_from_this<Link> {
    Link(Impl& o, Tcp::socket s) : origin(o), socket(std::move(s)) {}
    void read() {
      socket.async_read_some(asio::buffer(in), [self = shared_from_this()](Error error, std::size_t n) {
        if (error) return;
        std::vector<depot::Request> requests;
        const bool fine = self->reader.feed({self->in.data(), n}, requests);
        for (const auto& r : requests) self->asked(r);
        if (fine) self->read();
      });
    }
    void asked(const depot::Request& r) {
      if (r.verb == depot::Request::Verb::kAbort) {
        const std::lock_guard hold(origin.mutex);
        ++origin.counts.aborts;
        return;
      }
      if (r.verb != depot::Request::Verb::kFetch) return write(depot::probe_head(r.id, true, {}) + "\r\n");
      int delay = 0;
      {
        const std::lock_guard hold(origin.mutex);
        delay = origin.ways.delay_ms;
      }
      if (delay == 0) return answer(r);
      const auto timer =
          std::make_shared<asio::steady_timer>(origin.loop.io, std::chrono::milliseconds(delay));
      timer->async_wait([self = shared_from_this(), timer, r](Error) { self->answer(r); });
    }
    void answer(const depot::Request& r) {
      std::string out;
      {
        const std::lock_guard hold(origin.mutex);
        ++origin.counts.fetches;
        ++origin.by_object[r.object];
        origin.heard.push_back(r);
        if (origin.heard.size() > 1000) origin.heard.pop_front();
        Ways::Answer way = origin.ways.answer;
        if (origin.ways.answers == 0) way = Ways::Answer::kServe;
        if (origin.ways.answers > 0) --origin.ways.answers;
        switch (way) {
          case Ways::Answer::kServe:
            out = origin.served(r);
            break;
          case Ways::Answer::kWait:
            out = depot::answer_bytes(r.id, depot::Word::kWait);
            break;
          case Ways::Answer::kBroke:
            out = depot::answer_bytes(r.id, depot::Word::kBroke);
            break;
          case Ways::Answer::kGarbage:
            out = r.id + " DONE x=1,y 99999999999\r\nnoise";
            break;
          case Ways::Answer::kReset: {
            Error ignored;
            socket.close(ignored);
            return;
          }
          case Ways::Answer::kSilent:
            return;
        }
      }
      write(std::move(out));
    }
    void write(std::string bytes) {
      queue.push_back(std::move(bytes));
      if (queue.size() == 1) next();
    }
    void next() {
      asio::async_write(socket, asio::buffer(queue.front()),
                        [self = shared_from_this()](Error error, std::size_t) {
                          if (error) return;
                          self->queue.pop_front();
                          if (!self->queue.empty()) self->next();
                        });
    }
    Impl& origin;
    Tcp::socket socket;
    depot::RequestReader reader;
    std::array<char, 16384> in{};
    std::deque<std::string> queue;
  };

  std::uint64_t version_of(std::uint64_t object) const {
    const auto o = versions.find(object);
    const auto g = group_versions.find(static_cast<int>(object & 0xff));
    return (o == versions.end() ? 0 : o->second) + (g == group_versions.end() ? 0 : g->second);
  }
  std::string served(const depot::Request& r) {
    const std::uint64_t version = version_of(r.object);
    const std::string tag = tag_of(r.object, r.part, version);
    depot::Told told;
    told.tag = tag;
    told.born_ms = unix_ms() + ways.clock_ms;
    if (ways.tells_group) told.group = static_cast<int>(r.object & 0xff) + ways.group_noise;
    if (r.seen == tag) {
      ++counts.keeps;
      if (!ways.kept_tag.empty()) told.tag = ways.kept_tag;
      return depot::answer_bytes(r.id, depot::Word::kKeep, told);
    }
    const std::string bytes =
        r.body.empty() ? bytes_of(r.object, r.part, version, ways.size) : "wrote " + r.body;
    counts.bytes += bytes.size();
    return depot::answer_head(r.id, depot::Word::kDone, told, bytes.size()) + bytes + "\r\n";
  }
  void accept() {
    acceptor.async_accept([this](Error error, Tcp::socket socket) {
      if (error) return;
      links::set_up(socket);
      std::make_shared<Link>(*this, std::move(socket))->read();
      accept();
    });
  }

  Loop loop;
  Tcp::acceptor acceptor;
  std::uint16_t port = 0;
  mutable std::mutex mutex;
  Ways ways;
  Counts counts;
  std::map<std::uint64_t, std::uint64_t> versions, by_object;
  std::map<int, std::uint64_t> group_versions;
  std::deque<depot::Request> heard;
};

Origin::Origin(std::uint16_t port) : impl_(std::make_shared<Impl>(port)) {
  impl_->accept();
  impl_->loop.run();
}
Origin::~Origin() { impl_->loop.end(); }
std::uint16_t Origin::port() const { return impl_->port; }
void Origin::ways(const Ways& ways) {
  const std::lock_guard hold(impl_->mutex);
  impl_->ways = ways;
}
void Origin::change(std::uint64_t object) {
  const std::lock_guard hold(impl_->mutex);
  ++impl_->versions[object];
}
void Origin::change_group(int group) {
  const std::lock_guard hold(impl_->mutex);
  ++impl_->group_versions[group];
}
std::uint64_t Origin::version(std::uint64_t object) const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->version_of(object);
}
Origin::Counts Origin::counts() const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->counts;
}
std::uint64_t Origin::fetches_of(std::uint64_t object) const {
  const std::lock_guard hold(impl_->mutex);
  const auto it = impl_->by_object.find(object);
  return it == impl_->by_object.end() ? 0 : it->second;
}
std::vector<depot::Request> Origin::heard() const {
  const std::lock_guard hold(impl_->mutex);
  return {impl_->heard.begin(), impl_->heard.end()};
}

// ---- The event bus.

struct EventBus::Impl {
  explicit Impl(std::uint16_t at) : acceptor(listener(loop.io, at)) {
    port = acceptor.local_endpoint().port();
  }

  struct Link : std::enable_shared_from_this<Link> {
    Link(Impl& b, Tcp::socket s) : bus(b), socket(std::move(s)), timer(bus.loop.io) {}
    void start() {
      asio::async_read(socket, asio::buffer(in), [self = shared_from_this()](Error error, std::size_t) {
        if (error) return self->end();
        std::uint64_t from = 0;
        std::string missed;
        for (const char c : self->in) from = from << 8 | static_cast<unsigned char>(c);
        {
          const std::lock_guard hold(self->bus.mutex);
          self->bus.asked_from = from;
          for (const bus::Event& e : self->bus.events) {
            if (e.number > from) missed += bus::frame_bytes(e);
          }
        }
        self->say(std::move(missed));
        self->ready = true;
        self->nothing();
        self->watch();
      });
    }
    // The peer says no more; a read ends when it goes.
    void watch() {
      socket.async_read_some(asio::buffer(in), [self = shared_from_this()](Error error, std::size_t) {
        if (error) return self->end();
        self->watch();
      });
    }
    // Now, or as late as the bus is.
    void say(std::string bytes) {
      if (bus.late_ms == 0) {
        out += bytes;
        return write();
      }
      const auto later =
          std::make_shared<asio::steady_timer>(bus.loop.io, std::chrono::milliseconds(bus.late_ms));
      later->async_wait([self = shared_from_this(), later, bytes = std::move(bytes)](Error) {
        self->out += bytes;
        self->write();
      });
    }
    void nothing() {
      bus::Event e;
      {
        const std::lock_guard hold(bus.mutex);
        e.number = bus.events.empty() ? 0 : bus.events.back().number;
      }
      say(bus::frame_bytes(e));
      timer.expires_after(std::chrono::seconds(1));
      timer.async_wait([self = shared_from_this()](Error error) {
        if (!error && !self->ended) self->nothing();
      });
    }
    void write() {
      if (writing || out.empty() || ended) return;
      writing = true;
      now = std::exchange(out, {});
      asio::async_write(socket, asio::buffer(now), [self = shared_from_this()](Error error, std::size_t) {
        self->writing = false;
        if (error) return self->end();
        self->write();
      });
    }
    void end() {
      if (std::exchange(ended, true)) return;
      Error ignored;
      socket.close(ignored);
      timer.cancel();
      bus.links.erase(shared_from_this());
      bus.connected = bus.links.size();
    }
    Impl& bus;
    Tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 8> in{};
    std::string out, now;
    bool writing = false, ready = false, ended = false;
  };

  void accept() {
    acceptor.async_accept([this](Error error, Tcp::socket socket) {
      if (error) return;
      links::set_up(socket);
      auto link = std::make_shared<Link>(*this, std::move(socket));
      links.insert(link);
      connected = links.size();
      link->start();
      accept();
    });
  }
  void close_all() {
    const auto all = links;
    for (const auto& link : all) link->end();
  }

  Loop loop;
  Tcp::acceptor acceptor;
  std::uint16_t port = 0;
  mutable std::mutex mutex;
  std::vector<bus::Event> events;
  std::map<std::uint32_t, bus::Depot> depots;  // as they stand
  std::uint64_t asked_from = 0;
  std::atomic<int> late_ms{0};
  std::set<std::shared_ptr<Link>> links;  // of the loop's thread
  std::atomic<std::size_t> connected{0};
};

EventBus::EventBus(std::uint16_t port) : impl_(std::make_shared<Impl>(port)) {
  impl_->accept();
  impl_->loop.run();
}
EventBus::~EventBus() { impl_->loop.end(); }
std::uint16_t EventBus::port() const { return impl_->port; }

std::uint64_t EventBus::tell(bus::Event event) {
  {
    const std::lock_guard hold(impl_->mutex);
    event.number = impl_->events.size() + 1;
    for (const bus::Depot& d : event.depots) impl_->depots[d.id] = d;
    impl_->events.push_back(event);
  }
  asio::post(impl_->loop.io, [impl = impl_, event] {
    const auto all = impl->links;
    for (const auto& link : all) {
      if (link->ready) link->say(bus::frame_bytes(event));
    }
  });
  return event.number;
}
void EventBus::purge(std::uint64_t object, std::int64_t at_ms) {
  bus::Event e;
  e.kind = bus::Event::Kind::kObjectPurge;
  e.object = object;
  e.purged_ms = at_ms;
  tell(e);
}
void EventBus::purge_group(int group, std::int64_t at_ms) {
  bus::Event e;
  e.kind = bus::Event::Kind::kGroupPurge;
  e.group = group;
  e.purged_ms = at_ms;
  tell(e);
}
void EventBus::late(int ms) { impl_->late_ms = ms; }
void EventBus::close() {
  asio::post(impl_->loop.io, [impl = impl_] {
    Error ignored;
    impl->acceptor.close(ignored);
    impl->close_all();
  });
}
void EventBus::open() {
  asio::post(impl_->loop.io, [impl = impl_] {
    impl->acceptor = listener(impl->loop.io, impl->port);
    impl->accept();
  });
}
void EventBus::begin_anew() {
  const std::lock_guard hold(impl_->mutex);
  bus::Event list;
  list.number = 1;
  list.kind = bus::Event::Kind::kWholeList;
  for (const auto& [id, d] : impl_->depots) {
    if (d.state != bus::State::kGone) list.depots.push_back(d);
  }
  impl_->events = {list};
}
std::size_t EventBus::connected() const { return impl_->connected; }
std::uint64_t EventBus::asked_from() const {
  const std::lock_guard hold(impl_->mutex);
  return impl_->asked_from;
}

}  // namespace anisewick::standin
