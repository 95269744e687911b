#include "links/upstream_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <utility>

#include "links/stream.hpp"

namespace anisewick::links {
namespace {

using Clock = std::chrono::steady_clock;

// Ids remembered per connection: of given up requests, whose late answers are dropped, and of served ones.
constexpr std::size_t kMostRemembered = 128;
constexpr auto kIdleMargin = std::chrono::seconds(2);
constexpr auto kWatch = std::chrono::milliseconds(200);
// Depots pause for up to 370 ms; an answer that stands still for longer will not be ended.
constexpr auto kStuck = std::chrono::milliseconds(700);
constexpr int kMostMoves = 2;
// A connection within a centre is up in a few milliseconds. What waits for one that is not looks this often
// for another way, and from the third time on has a further connection opened.
constexpr auto kConnectLook = std::chrono::milliseconds(30);
constexpr int kLooksBeforeFurther = 3;
constexpr auto kConnectAgain = std::chrono::milliseconds(5);  // where the lack is ours
// On a connection that was silent for longer a request could be lost with the machine, where one that never
// came up proves that nothing ran.
constexpr auto kHeardLately = std::chrono::seconds(1);
constexpr auto kReadAgain = std::chrono::milliseconds(10);  // where there was no room for more of an answer
constexpr double kNanosecondsPerMs = 1e6;
constexpr std::size_t kSpare = 8;  // connections beyond the limit, for depots that have none that will do

// A lack of this machine or of this process, not of the server: descriptors, memory, local addresses, a
// route.
bool here(const Error& error) {
  switch (error.value()) {
    case ENFILE:
    case EMFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case ENETUNREACH:
    case ENETDOWN:
    case EAGAIN:
    case EINTR:
      return true;
    default:
      return false;
  }
}

UpstreamPool::Reply ended(End end) {
  UpstreamPool::Reply reply;
  reply.report.end = end;
  return reply;
}

// How long the server says that it waited for its source: at most since it was asked.
Time waited_of(const depot::Answer& answer, Clock::time_point asked_at) {
  const std::chrono::duration<double, std::milli> since_asked = Clock::now() - asked_at;
  return static_cast<Time>(std::min(answer.waited_ms, since_asked.count()) * kNanosecondsPerMs);
}

End end_of(depot::Word word) {
  switch (word) {
    case depot::Word::kDone:
    case depot::Word::kKeep:
      return End::kServed;
    case depot::Word::kLack:
      return End::kLacks;
    case depot::Word::kWait:
      return End::kFull;
    case depot::Word::kBroke:
      return End::kBroke;
    case depot::Word::kPast:
      return End::kOver;
  }
  return End::kBroke;
}

}  // namespace

// One connection. Writes its requests in order, one at a time, and knows of each whether any of it went out.
class UpstreamPool::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(UpstreamPool& pool, const bus::Depot& depot)
      : pool_(pool),
        depot_(depot.id),
        socket_(pool.io_),
        timer_(pool.io_),
        again_(pool.io_),
        reading_again_(pool.io_) {
    to_ = endpoint_of(depot.address, depot.port);
    ++pool_.links_;
  }

  void connect() {
    ++pool_.counters_.links;
    pool_.counters_.tally(depot_, Tally::kOpened);
    wait_for_connection(Clock::now() + pool_.limits_.connect_timeout, 1);
    try_connect();
  }

  void try_connect() {
    socket_.async_connect(to_, [self = shared_from_this()](Error error) {
      if (self->closed_) return;
      if (here(error)) return self->connect_again();
      if (error) {
        self->pool_.counters_.tally(self->depot_, Tally::kRefused);
        return self->fail();
      }
      self->timer_.cancel();
      self->up_ = true;
      self->used_ = Clock::now();
      set_up(self->socket_);
      self->watch();
      self->read();
      self->look();
      self->pump();
    });
  }

  // The failure is ours and passes; any other server would be no nearer. What waits here goes on waiting, for
  // as long as its attempt may take.
  void connect_again() {
    Error ignored;
    socket_.close(ignored);
    ++pool_.counters_.connects_failed_here;
    if (items_.empty()) return close();
    again_.expires_after(kConnectAgain);
    again_.async_wait([self = shared_from_this()](Error error) {
      if (error || self->closed_) return;
      self->wait_for_connection(Clock::now() + self->pool_.limits_.connect_timeout, 1);
      self->try_connect();
    });
  }

  // A refused connection and one that doesn't come up in time prove alike that nothing ran. But a late one
  // says little of its depot, and what waits for it has not been sent: it goes another way if there is one.
  void wait_for_connection(Clock::time_point limit, int look) {
    timer_.expires_at(std::min(limit, Clock::now() + kConnectLook));
    timer_.async_wait([self = shared_from_this(), limit, look](Error error) {
      if (error || self->up_ || self->closed_) return;
      if (Clock::now() >= limit) {
        self->pool_.counters_.tally(self->depot_, Tally::kUnanswered);
        return self->fail();
      }
      self->move_waiting(look >= kLooksBeforeFurther);
      if (!self->closed_) self->wait_for_connection(limit, look + 1);
    });
  }

  std::size_t load() const { return items_.size(); }
  bool up() const { return up_; }
  // Something came here not long ago: the machine is neither gone nor cut off.
  bool heard_lately() const { return up_ && Clock::now() - heard_ < kHeardLately; }
  bool begun(const std::string& id) const {
    const auto it = items_.find(id);
    return it != items_.end() && it->second.started;
  }
  bool takes(const std::string& id) const {
    // An id given up here may still be answered: its next attempt goes another way, so that the late answer
    // can't be taken for the new one.
    return !closed_ && !retired_ && !stale() && static_cast<int>(items_.size()) < pool_.limits_.streams &&
           !items_.contains(id) && std::find(aborted_.begin(), aborted_.end(), id) == aborted_.end();
  }
  void send(Handle handle, Order order, Done done) {
    const std::string id = order.id;
    queue_.push_back({id, {}});
    items_.emplace(id, Item{handle, std::move(order), std::move(done), false, {}});
    pump();
  }
  bool give_up(const std::string& id) {
    const auto it = items_.find(id);
    if (it == items_.end()) return false;
    const bool unsent = !it->second.started;
    // Nothing has come at all since it went out: the machine may be gone without a word. What comes next
    // finds out on a new connection, within the connect time.
    const bool silent = !unsent && (heard_ < it->second.at || reader_.midway());
    items_.erase(it);
    if (unsent) {
      std::erase_if(queue_, [&](const Piece& p) { return p.id == id; });
    } else {
      remember(aborted_, id);
      queue_.push_back({{}, depot::abort_bytes(id)});
      pump();
    }
    if (silent) retire();
    close_if_done();
    return unsent;
  }
  // What waits here, to other connections to the same depot that are up; `further`: or to a new one.
  void move_waiting(bool further) {
    std::vector<std::string> ids;
    for (const auto& [id, item] : items_) ids.push_back(id);
    for (const std::string& id : ids) {
      const auto it = items_.find(id);
      const bool may_open = further && it->second.order.moved < kMostMoves;
      const auto other = pool_.other_link(depot_, id, may_open);
      if (other == nullptr) continue;
      Item item = std::move(it->second);
      items_.erase(it);
      std::erase_if(queue_, [&](const Piece& p) { return p.id == id; });
      if (!other->up()) ++item.order.moved;
      pool_.open_[item.handle] = {other, id};
      other->send(item.handle, std::move(item.order), std::move(item.done));
    }
    close_if_done();  // one to a process that is no more has nothing left to do
  }
  // Takes nothing new; ends when nothing is open.
  void retire() {
    retired_ = true;
    close_if_done();
  }
  // Ends what has not gone out and may not any more.
  template <typename May>
  void recall(const May& may) {
    std::vector<std::string> ids;
    for (const auto& [id, item] : items_) {
      if (!item.started && !(may(depot_) && (!item.order.source || may(*item.order.source))))
        ids.push_back(id);
    }
    for (const std::string& id : ids) {
      std::erase_if(queue_, [&](const Piece& p) { return p.id == id; });
      finish(id, ended(End::kUnreached));
    }
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    Error ignored;
    timer_.cancel();
    again_.cancel();
    reading_again_.cancel();
    socket_.close(ignored);
    note_arriving(0);
    if (pool_.finishing_ == this) pool_.finishing_ = nullptr;
    --pool_.links_;
    if (const auto it = pool_.depots_.find(depot_); it != pool_.depots_.end()) {
      std::erase(it->second.links, shared_from_this());
    }
  }

 private:
  struct Item {
    Handle handle;
    Order order;
    Done done;
    bool started;  // the first of its bytes may have gone out
    Clock::time_point at;
  };
  struct Piece {
    std::string id;     // none: an abort
    std::string bytes;  // of an abort; a request's are made when it is written
  };

  void finish(const std::string& id, Reply&& reply) {
    const auto it = items_.find(id);
    if (it == items_.end()) return;
    const Done done = std::move(it->second.done);
    // A second copy of this answer must not be taken for one to a later attempt.
    remember(reply.report.end == End::kServed ? served_ : aborted_, id);
    pool_.open_.erase(it->second.handle);
    items_.erase(it);
    done(std::move(reply));
  }
  // The connection ended. Of what was never begun it is certain that it did not run: if the depot could be
  // reached, it goes on another connection, as if it had waited for that one.
  void fail() {
    const auto self = shared_from_this();
    close();
    auto items = std::move(items_);
    items_.clear();
    std::vector<Item> over;
    for (auto& [id, item] : items) {
      if (up_ && !item.started && item.order.moved < kMostMoves) {
        ++item.order.moved;
        pool_.dispatch(item.handle, std::move(item.order), std::move(item.done));
      } else {
        pool_.open_.erase(item.handle);
        over.push_back(std::move(item));
      }
    }
    for (Item& item : over) item.done(ended(item.started ? End::kReset : End::kUnreached));
  }
  // True: the depot has closed it, and the news has only not been read yet. Asked where nothing is open, so
  // that nothing can be waiting to be read.
  bool stale() const {
    if (!up_ || !items_.empty()) return false;
    char byte;
    const auto fd = const_cast<Tcp::socket&>(socket_).native_handle();
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }
  static void remember(std::deque<std::string>& ids, const std::string& id) {
    ids.push_back(id);
    if (ids.size() > kMostRemembered) ids.pop_front();
  }
  void close_if_done() {
    if (retired_ && items_.empty() && !(up_ && (writing_ || !queue_.empty()))) close();
  }

  // What has waited may not go any more: it is recalled then. Never while something is being sent, for that
  // must not end within its own call.
  void look() {
    if (!queue_.empty() && pool_.look_) pool_.look_();
  }
  // None: it may go out now. What has waited for too long to be a repeat could run a second time.
  static std::optional<End> barred(const Order& order) {
    if (order.begin_by != 0 && steady_unix_now() >= order.begin_by) return End::kUnreached;
    if (order.may_begin && !order.may_begin()) return End::kOver;
    return std::nullopt;
  }
  // Leaves in front what is written next.
  void drop_barred() {
    while (!queue_.empty()) {
      const auto it = items_.find(queue_.front().id);
      if (it == items_.end()) return;
      const auto end = barred(it->second.order);
      if (!end) return;
      queue_.pop_front();
      pool_.end_later(it->second.handle, std::move(it->second.done), *end);
      items_.erase(it);
    }
  }
  void pump() {
    if (!up_ || writing_ || closed_) return;
    drop_barred();
    if (queue_.empty()) return;
    writing_ = true;
    now_ = std::move(queue_.front());
    queue_.pop_front();
    if (const auto it = items_.find(now_.id); it != items_.end()) {
      now_.bytes = it->second.order.bytes();
      it->second.started = true;
      it->second.at = Clock::now();
      ++pool_.counters_.sent;
    }
    used_ = Clock::now();
    async_write_all(socket_, asio::buffer(now_.bytes), [self = shared_from_this()](Error error, std::size_t) {
      if (self->closed_) return;
      if (error) return self->fail();
      self->writing_ = false;
      self->now_ = {};  // a request's body does not stay with the connection
      self->look();
      self->pump();
      self->close_if_done();
    });
  }

  // There is room for the answer of one that is open here at least; none open: there is nothing to hold.
  // Where there is none for any answer, those that have come in part are read to their end one after another,
  // since only then they can go out.
  bool may_read() {
    if (!pool_.may_read_ || items_.empty()) return true;
    if (std::any_of(items_.begin(), items_.end(),
                    [&](const auto& item) { return pool_.may_read_(item.second.order.tag); }))
      return true;
    if (pool_.finishing_ == nullptr && reader_.midway()) pool_.finishing_ = this;
    return pool_.finishing_ == this;
  }
  void read() {
    if (!may_read()) {
      heard_ = Clock::now();  // it is we who do not listen
      reading_again_.expires_after(kReadAgain);
      reading_again_.async_wait([self = shared_from_this()](Error error) {
        if (!error && !self->closed_) self->read();
      });
      return;
    }
    async_read_available(
        socket_, asio::buffer(pool_.read_buffer_), [self = shared_from_this()](Error error, std::size_t n) {
          if (self->closed_) return;
          if (error) return self->fail();
          self->heard_ = self->used_ = Clock::now();
          std::vector<depot::Answer> answers;
          const bool fine = self->reader_.feed({self->pool_.read_buffer_.data(), n}, answers);
          self->note_arriving(self->reader_.held());
          if (self->pool_.finishing_ == self.get() && !self->reader_.midway())
            self->pool_.finishing_ = nullptr;
          for (depot::Answer& a : answers) self->answered(a);
          if (self->closed_) return;
          if (!fine) return self->fail();
          self->close_if_done();
          if (!self->closed_) self->read();
        });
  }
  void note_arriving(std::size_t bytes) {
    pool_.arriving_ += bytes - arriving_;  // unsigned, and it may fall: the sum comes out right
    arriving_ = bytes;
  }
  void answered(depot::Answer& a) {
    const auto it = items_.find(a.id);
    if (it == items_.end() || !it->second.started) {
      ++pool_.counters_.late_answers;
      std::erase(aborted_, a.id);  // of a request that was given up one answer may still come
      // A second answer to one that was served: what else comes here cannot be trusted.
      if (std::find(served_.begin(), served_.end(), a.id) != served_.end()) retire();
      return;
    }
    if (!depot::answers(it->second.order.facts, a)) return refuse_answer(a.id);
    Reply reply;
    reply.report.end = end_of(a.word);
    reply.report.remark = a.remark;
    reply.report.waited = waited_of(a, it->second.at);
    reply.same = a.word == depot::Word::kKeep;
    reply.body = std::move(a.body);
    reply.tag = std::move(a.tag);
    reply.born_ms = a.born_ms;
    reply.group = a.group;
    finish(a.id, std::move(reply));
  }

  // The server has the request, and what it says of it cannot be believed: it may have run. What else is open
  // here may still be answered, but nothing new goes this way.
  void refuse_answer(const std::string& id) {
    ++pool_.counters_.contradicting_answers;
    finish(id, ended(End::kBroke));
    retire();
  }

  // Depots close what has been idle for a set time. A request sent at that moment could not be told from one
  // that ran, so we close earlier.
  void watch() {
    timer_.expires_after(kWatch);
    timer_.async_wait([self = shared_from_this()](Error error) {
      if (error || self->closed_) return;
      const auto now = Clock::now();
      if (self->items_.empty() && now - self->used_ > self->pool_.limits_.idle - kIdleMargin) {
        return self->close();
      }
      // Broken off, and open all the same: it is of no further use, also to what else waits on it.
      if (self->reader_.midway() && now - self->heard_ > kStuck) return self->fail();
      self->watch();
    });
  }

  UpstreamPool& pool_;
  const depot::Id depot_;
  Tcp::endpoint to_;
  Tcp::socket socket_;
  asio::steady_timer timer_, again_, reading_again_;
  depot::AnswerReader reader_;
  std::size_t arriving_ = 0;  // bytes of an answer that has come in part
  std::deque<Piece> queue_;
  Piece now_;  // being written
  std::unordered_map<std::string, Item> items_;
  std::deque<std::string> aborted_, served_;
  Clock::time_point heard_{}, used_ = Clock::now();
  bool up_ = false, writing_ = false, closed_ = false, retired_ = false;
};

UpstreamPool::UpstreamPool(asio::io_context& io, Counters& counters, Limits limits)
    : io_(io), counters_(counters), limits_(limits) {}
UpstreamPool::~UpstreamPool() = default;

bool UpstreamPool::ready(depot::Id id) const {
  const auto it = depots_.find(id);
  return it != depots_.end() && it->second.depot.state == bus::State::kReady;
}

void UpstreamPool::heed(const bus::Event& event) {
  using Kind = bus::Event::Kind;
  if (event.kind != Kind::kWholeList && event.kind != Kind::kChanges) return;
  if (event.kind == Kind::kWholeList) {
    for (auto& [id, known] : depots_) known.depot.state = bus::State::kGone;
  }
  for (const bus::Depot& d : event.depots) {
    Known& known = depots_[d.id];
    // A new process, or a new place: the connections lead to the old one.
    const bool other = known.depot.started_ms != d.started_ms || known.depot.address != d.address ||
                       known.depot.port != d.port;
    known.depot = d;
    if (other) retire(known);
  }
  for (auto& [id, known] : depots_) {
    if (known.depot.state == bus::State::kGone) retire(known);  // also what a whole list no longer names
  }
  // What waits for a connection or behind other writes must not reach a depot that drains, nor name it.
  std::vector<std::shared_ptr<Link>> links;
  for (const auto& [id, known] : depots_) links.insert(links.end(), known.links.begin(), known.links.end());
  for (const auto& link : links) {
    link->recall([this](depot::Id id) { return ready(id); });
  }
  std::erase_if(depots_, [](const auto& kv) {
    return kv.second.depot.state == bus::State::kGone && kv.second.links.empty();
  });
}

void UpstreamPool::retire(const Known& known) {
  const auto links = known.links;  // a copy: a link that retires may leave the list
  for (const auto& link : links) link->retire();
}

std::shared_ptr<UpstreamPool::Link> UpstreamPool::link_for(Known& known, const std::string& id) {
  // One request a connection, where there are enough: what spoils or ends a connection then spoils no other.
  std::shared_ptr<Link> least;
  for (const auto& link : known.links) {
    if ((least == nullptr || link->load() < least->load()) && link->takes(id)) least = link;
  }
  // Where a handshake has its price and connections at depots are scarce for the many fronts, up to so many
  // share one.
  if (least != nullptr && (least->load() < limits_.share || links_ >= limits_.links)) return least;
  if (links_ >= limits_.links + kSpare) return nullptr;
  return open_link(known);
}

std::shared_ptr<UpstreamPool::Link> UpstreamPool::other_link(depot::Id depot, const std::string& id,
                                                             bool may_open) {
  const auto it = depots_.find(depot);
  if (it == depots_.end() || !ready(depot)) return nullptr;
  std::shared_ptr<Link> least;
  for (const auto& link : it->second.links) {
    if (link->heard_lately() && (least == nullptr || link->load() < least->load()) && link->takes(id))
      least = link;
  }
  if (least != nullptr || !may_open || links_ >= limits_.links + kSpare) return least;
  return open_link(it->second);
}

std::shared_ptr<UpstreamPool::Link> UpstreamPool::open_link(Known& known) {
  auto link = std::make_shared<Link>(*this, known.depot);
  known.links.push_back(link);
  link->connect();
  return link;
}

UpstreamPool::Handle UpstreamPool::send(Order order, Done done) {
  const Handle handle = next_++;
  dispatch(handle, std::move(order), std::move(done));
  return handle;
}

void UpstreamPool::dispatch(Handle handle, Order&& order, Done&& done) {
  const auto it = depots_.find(order.depot);
  const auto link = it != depots_.end() && ready(order.depot) ? link_for(it->second, order.id) : nullptr;
  if (link == nullptr) return end_later(handle, std::move(done), End::kUnreached);
  open_[handle] = {link, order.id};
  link->send(handle, std::move(order), std::move(done));
}

void UpstreamPool::end_later(Handle handle, Done&& done, End end) {
  open_[handle] = {nullptr, {}};
  asio::post(io_, [this, handle, end, done = std::move(done)] {
    if (open_.erase(handle) > 0) done(ended(end));
  });
}

bool UpstreamPool::begun(Handle handle) const {
  const auto it = open_.find(handle);
  return it != open_.end() && it->second.link != nullptr && it->second.link->begun(it->second.id);
}

bool UpstreamPool::give_up(Handle handle) {
  const auto it = open_.find(handle);
  if (it == open_.end()) return false;
  const Open open = std::move(it->second);
  open_.erase(it);
  return open.link == nullptr || open.link->give_up(open.id);
}

void UpstreamPool::close() {
  for (auto& [id, known] : depots_) {
    const auto links = known.links;
    for (const auto& link : links) link->close();
  }
}

}  // namespace anisewick::links
