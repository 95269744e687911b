#include "cachebox/box.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace anisewick::cachebox {
namespace {

using bus::Event;
using depot::Word;
using links::Error;
using logs::Level;
using serving::Remark;

constexpr auto kTick = std::chrono::milliseconds(5);
constexpr std::int64_t kNoMaxMs = 10'000;   // for a request that does not say how long its asker waits
constexpr std::int64_t kEndMs = 5000;       // for what is open when the box is told to end
constexpr std::int64_t kCloseMs = 10'000;   // for the disk, after that
constexpr std::size_t kMostList = 1 << 20;  // depots known of, gone ones not counted

std::int64_t now_ms() { return links::unix_now() / 1'000'000; }

std::unique_ptr<admission::Keeper> keeper_of(const Settings& s) {
  using Admission = Settings::Disk::Admission;
  if (!s.disk) return std::make_unique<admission::AdmitAll>(admission::AdmitAll::Order::kFifo);
  switch (s.disk->admission) {
    case Admission::kFifo:
      return std::make_unique<admission::AdmitAll>(admission::AdmitAll::Order::kFifo);
    case Admission::kLru:
      return std::make_unique<admission::AdmitAll>(admission::AdmitAll::Order::kLru);
    case Admission::kRanked:
      break;
  }
  return std::make_unique<admission::Ranked>(s.disk->ranked);
}

std::unique_ptr<disk::Workers> workers_of(asio::io_context& io, const Settings& s) {
  if (!s.disk) return std::make_unique<disk::InlineWorkers>();
  disk::Pool::Limits limits;
  limits.readers = s.disk->readers;
  return std::make_unique<disk::Pool>(limits,
                                      [&io](std::function<void()> f) { asio::post(io, std::move(f)); });
}

}  // namespace

Box::Box(asio::io_context& io, const Settings& settings, logs::Log& log, std::unique_ptr<disk::Files> files,
         std::string why)
    : io_(io),
      settings_(settings),
      log_(log),
      pool_(io, counters_, settings.pool),
      pacer_(settings.link_bytes_per_s, settings.flow_bytes_per_s),
      shelf_(settings.memory_bytes),
      keeper_(keeper_of(settings_)),
      workers_(workers_of(io, settings_)),
      store_(std::make_unique<disk::Store>(
          std::move(files), *workers_, *keeper_,
          settings_.disk ? settings_.disk->limits : disk::Store::Limits{},
          [this](const char* what, const std::string& detail) {
            if (settings_.disk) log_.say(Level::kWarn, what, {{"reason", detail}});
          },
          std::move(why))),
      bus_(io, counters_, settings.bus,
           {[this] { return continuity_.ask_from(!whole_list_); }, [this] { continuity_.begun(); },
            [this](const Event& e) { heard(e); }, [this] { continuity_.lost(now_ms()); }}),
      continuity_({}, true, settings.bus_away_ms),
      acceptor_(io,
                {[] { return true; }, [this](links::Tcp::socket socket) { take(std::move(socket)); }, [] {}}),
      ending_by_(io),
      ticking_(io) {
  std::random_device device;
  random_.seed(device());
  fill_salt_ = std::uint64_t{device()} << 32;
  events_.asked = [this](const std::shared_ptr<Peer>& peer, depot::Request&& r) {
    return asked(peer, std::move(r));
  };
  events_.malformed = [this] {
    ++counters_.malformed;
    log_.say(Level::kDebug, "malformed");
  };
  events_.ended = [this](const std::shared_ptr<Peer>& peer) {
    const auto open = std::exchange(peer->open, {});
    for (const auto& [id, ticket] : open) drop(ticket);
    peers_.erase(peer);
  };
}

Box::~Box() = default;

Error Box::start() {
  Error error;
  acceptor_.listen(settings_.listen, error);
  if (error) return error;
  acceptor_.start();
  const std::uint64_t fresh =
      (std::uint64_t{random_()} << 32 | random_()) ^ static_cast<std::uint64_t>(links::unix_now());
  store_->open(now_ms(), fresh, [this](const disk::Recovered& how) { opened(how); });
  bus_.start();
  tick();
  return {};
}

std::uint16_t Box::port() const { return acceptor_.port(); }

void Box::opened(const disk::Recovered& how) {
  disk_opened_ = true;
  if (settings_.disk && store_->state() != disk::Store::State::kOff) {
    log_.say(Level::kInfo, "disk_open",
             {{"parts", static_cast<std::int64_t>(store_->parts())},
              {"segments", static_cast<std::int64_t>(how.by_checkpoint + how.by_table + how.by_scan)},
              {"by_checkpoint", static_cast<std::int64_t>(how.by_checkpoint)},
              {"by_table", static_cast<std::int64_t>(how.by_table)},
              {"by_scan", static_cast<std::int64_t>(how.by_scan)},
              {"torn", static_cast<std::int64_t>(how.torn)},
              {"purged", static_cast<std::int64_t>(how.voided)},
              {"ledger_bad", how.ledger_bad && store_->parts() > 0}});
  }
  // Now it is known which event must come again. The bus is asked anew, from the start, for the list as well.
  continuity_ = purges::Continuity(store_->witness(), store_->parts() > 0, settings_.bus_away_ms);
  whole_list_ = false;
  bus_.move(settings_.bus, {});
}

bool Box::proven() const {
  return disk_opened_ && continuity_.state(now_ms()) == purges::Continuity::State::kProven;
}

// ---- The event bus.

void Box::heard(const Event& event) {
  const std::int64_t now = now_ms();
  const auto verdict = continuity_.heard(event);
  if (verdict.gap && disk_opened_) {
    ++counters_.gaps;
    log_.say(Level::kWarn, "gap",
             {{"reason", std::string("the event bus cannot prove that nothing was missed")}});
    store_->note({purges::Entry::Kind::kGap, 0, now + settings_.clock_skew_ms, 0, 0, 0}, now);
  }
  if (verdict.heed) heed(event, now);
  // The witness of the next life: from the purge itself, or by a line of its own.
  const purges::Witness& witness = continuity_.witness();
  if (disk_opened_ && witness.number != 0 && witness != store_->witness()) {
    store_->note({purges::Entry::Kind::kHeard, 0, 0, witness.number, witness.digest, 0}, now);
  }
}

void Box::heed(const Event& event, std::int64_t now) {
  switch (event.kind) {
    case Event::Kind::kNothing:
      return;
    case Event::Kind::kWholeList:
    case Event::Kind::kChanges:
      return heed_list(event);
    case Event::Kind::kObjectPurge:
    case Event::Kind::kGroupPurge:
      break;
  }
  const bool object = event.kind == Event::Kind::kObjectPurge;
  purges::Entry entry;
  entry.kind = object ? purges::Entry::Kind::kObject : purges::Entry::Kind::kGroup;
  entry.what = object ? event.object : static_cast<std::uint64_t>(event.group);
  entry.at_ms = event.purged_ms;
  // Only an event of a numbering that counts may be the witness of the next life.
  if (disk_opened_ && continuity_.witness().number == event.number) {
    entry.number = event.number;
    entry.digest = continuity_.witness().digest;
  }
  ++counters_.purges;
  // The bus tells its history again at each start: what is known already is not written twice.
  if (!store_->ledger().covers(entry)) store_->note(entry, now);
}

void Box::heed_list(const Event& event) {
  ++counters_.lists;
  if (event.kind == Event::Kind::kWholeList) {
    list_.clear();
    origin_.reset();
    whole_list_ = true;
  }
  for (const bus::Depot& d : event.depots) {
    if (d.state == bus::State::kGone) {
      list_.erase(d.id);
      if (origin_ == d.id) origin_.reset();
      continue;
    }
    if (list_.size() >= kMostList && !list_.contains(d.id)) continue;
    list_[d.id] = {d.kind, d.state == bus::State::kReady};
    if (d.kind == settings_.origin_kind) origin_ = d.id;
  }
  pool_.heed(event);
}

// ---- Peers.

void Box::take(links::Tcp::socket socket) {
  if (peers_.size() >= settings_.connections) {
    ++counters_.turned_away;  // closed as it goes out of sight
    return;
  }
  ++counters_.connections;
  const auto peer = std::make_shared<Peer>(std::move(socket), settings_, pacer_, events_);
  peers_.insert(peer);
  peer->start();
}

bool Box::asked(const std::shared_ptr<Peer>& peer, depot::Request&& request) {
  switch (request.verb) {
    case depot::Request::Verb::kFetch:
      break;
    case depot::Request::Verb::kAbort: {
      const auto it = peer->open.find(request.id);
      if (it == peer->open.end()) return true;
      ++counters_.aborted;
      const Ticket ticket = it->second;
      peer->open.erase(it);
      drop(ticket);
      return true;
    }
    case depot::Request::Verb::kAlive:
      ++counters_.probes;
      peer->answer(depot::probe_head(request.id, !ending_, {}), nullptr);
      return true;
    case depot::Request::Verb::kStats:
      ++counters_.probes;
      peer->answer(depot::probe_head(request.id, !ending_, report_text()), nullptr);
      return true;
  }
  if (peer->open.contains(request.id)) return false;
  fetch(peer, std::move(request));
  return true;
}

std::string Box::report_text() const {
  const double hits =
      lately_asked_ > 0 ? static_cast<double>(lately_hits_) / static_cast<double>(lately_asked_) : 0.0;
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count();
  const double second = settings_.parent ? static_cast<double>(fills_.size()) : pacer_.load(us);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "x0:%.3f;x1:%.3f", hits, second);
  return text.data();
}

void Box::fetch(const std::shared_ptr<Peer>& peer, depot::Request&& request) {
  ++counters_.requests;
  const auto cls = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                [&](const serving::Class& c) { return c.name == request.profile; });
  const auto turn_away = [&](Word word, std::uint64_t& counter) {
    ++counter;
    peer->answer(depot::answer_head(request.id, word, {}, 0), nullptr);
  };
  if (!request.fault.empty() || cls == settings_.classes.end()) {
    ++counters_.unusable;
    return turn_away(Word::kBroke, counters_.broke);
  }
  if (ending_ || open_.size() >= settings_.requests || peer->open.size() >= settings_.streams) {
    return turn_away(Word::kWait, counters_.full);
  }
  if (request.from == settings_.id) request.from.reset();  // the box itself: no fill
  if (settings_.parent) request.rank = request.no_store_up ? 0 : 1;
  const Ticket ticket = next_ticket_++;
  peer->open.emplace(request.id, ticket);
  Open open;
  open.peer = peer;
  open.cls = static_cast<std::size_t>(cls - settings_.classes.begin());
  open.came_ms = now_ms();
  open.until_ms =
      open.came_ms + (request.max_ms > 0 ? std::min<std::int64_t>(request.max_ms, 600'000) : kNoMaxMs);
  open.request = std::move(request);
  deadlines_.emplace(open.until_ms, ticket);
  const bool write = cls->write || !open.request.body.empty();
  open_.emplace(ticket, std::move(open));
  if (write) return from_source(ticket);
  look(ticket);
}

void Box::answered(Ticket ticket) {
  const auto it = open_.find(ticket);
  it->second.peer->open.erase(it->second.request.id);
  drop(ticket);
}

// The request is over: answered, taken back or out of time.
void Box::drop(Ticket ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  const Open open = std::move(it->second);
  open_.erase(it);
  const auto range = deadlines_.equal_range(open.until_ms);
  for (auto d = range.first; d != range.second; ++d) {
    if (d->second == ticket) {
      deadlines_.erase(d);
      break;
    }
  }
  const auto fill = fills_.find(open.fill);
  if (fill == fills_.end()) return;
  std::erase(fill->second->waiters, ticket);
  // A fill whose asker has left runs on and is kept. What is not kept is of use to nobody.
  if (fill->second->waiters.empty() && !fill->second->keep) {
    if (fill->second->handle != 0) pool_.give_up(fill->second->handle);
    forget_fill(open.fill);
  }
}

void Box::serve(Ticket ticket, const copies::Copy& copy, int remark, double waited_ms) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  const depot::Request& r = it->second.request;
  const bool same = !r.seen.empty() && r.seen == copy.about.tag;
  depot::Told told;
  told.tag = copy.about.tag;
  told.born_ms = copy.about.born_ms;
  told.remark = remark;
  told.waited_ms = waited_ms;
  told.group = copy.about.group;
  ++(same ? counters_.kept : counters_.done);
  ++lately_asked_;
  if (remark == Remark::kHit || remark == Remark::kStale) ++lately_hits_;
  if (lately_asked_ > 2000) {
    lately_asked_ /= 2;
    lately_hits_ /= 2;
  }
  it->second.peer->answer(
      depot::answer_head(r.id, same ? Word::kKeep : Word::kDone, told, same ? 0 : copy.bytes->size()),
      same ? nullptr : copy.bytes);
  answered(ticket);
}

void Box::refuse(Ticket ticket, const serving::Refusal& refusal, double waited_ms) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  switch (refusal.word) {
    case Word::kLack:
      ++counters_.lacks;
      break;
    case Word::kWait:
      ++counters_.full;
      break;
    case Word::kPast:
      ++counters_.past;
      break;
    default:
      ++counters_.broke;
  }
  ++lately_asked_;
  depot::Told told;
  told.remark = refusal.remark;
  told.waited_ms = waited_ms;
  it->second.peer->answer(depot::answer_head(it->second.request.id, refusal.word, told, 0), nullptr);
  answered(ticket);
}

// ---- Copies of our own.

bool Box::doubtful(const copies::About& about, std::uint64_t sequence) {
  return continuity_.state(now_ms()) == purges::Continuity::State::kUnproven ||
         store_->ledger().doubtful(about, sequence);
}

void Box::look(Ticket ticket) {
  Open& open = open_.at(ticket);
  const depot::Request& r = open.request;
  const serving::Class& cls = settings_.classes[open.cls];
  const copies::Key key{r.object, r.part};
  const std::int64_t now = now_ms();
  store_->asked(key, r.rank, now);
  if (const shelf::Held* held = shelf_.find(key); held != nullptr) {
    const auto verdict = serving::judge(held->copy.about, doubtful(held->copy.about, held->sequence), cls, r,
                                        store_->ledger(), now);
    if (verdict.fit == serving::Fit::kVoid) {
      shelf_.remove(key);
    } else {
      shelf_.use(key, r.rank);
      const copies::Copy copy = held->copy;
      if (verdict.fit == serving::Fit::kAsk) {
        open.candidate = copy;
        return from_source(ticket);
      }
      ++counters_.memory_hits;
      const bool stale = verdict.fit == serving::Fit::kServeStale;
      counters_.stale += stale ? 1 : 0;
      if (verdict.renew && r.refresh && r.from) renew(r, open.cls, copy);
      // What is asked for again may be worth the disk now.
      if (!held->copy.about.tag.empty()) store_->offer(copy, now);
      return serve(ticket, copy, stale ? Remark::kStale : Remark::kHit);
    }
  }
  read_disk(ticket);
}

void Box::read_disk(Ticket ticket) {
  Open& open = open_.at(ticket);
  const depot::Request& r = open.request;
  const copies::Key key{r.object, r.part};
  const std::int64_t now = now_ms();
  const auto held = store_->find(key);
  if (!held) return from_source(ticket);
  const bool doubt = held->doubtful || continuity_.state(now) == purges::Continuity::State::kUnproven;
  const auto verdict =
      serving::judge(held->about, doubt, settings_.classes[open.cls], r, store_->ledger(), now);
  // What will do only if a source says so is of no use to who names none.
  if (verdict.fit == serving::Fit::kVoid || (verdict.fit == serving::Fit::kAsk && !r.from)) {
    return from_source(ticket);
  }
  open.reading = true;
  read_deadlines_.emplace(now + settings_.disk->read_limit_ms, ticket);
  const std::uint64_t sequence = store_->sequence();
  store_->read(key, now, [this, ticket, key, sequence, doubt](std::optional<copies::Copy> copy) {
    const auto it = open_.find(ticket);
    const std::int64_t at = now_ms();
    // What the disk vouches for is worth the memory, also when its asker has gone on or left. A copy that may
    // have missed a purge stays marked by standing at the store's beginning.
    const bool doubtful_now = copy && (doubt || store_->ledger().doubtful(copy->about, sequence));
    if (copy && !doubtful_now && shelf_.find(key) == nullptr) shelf_.put({*copy, sequence});
    if (it == open_.end() || !it->second.reading) return;
    Open& waiting = it->second;
    waiting.reading = false;
    if (!copy) return from_source(ticket);
    if (waiting.request.group != depot::kUnknownGroup && copy->about.group == depot::kUnknownGroup) {
      copy->about.group = waiting.request.group;
    }
    const auto fit = serving::judge(copy->about, doubtful_now, settings_.classes[waiting.cls],
                                    waiting.request, store_->ledger(), at);
    if (fit.fit == serving::Fit::kVoid) return from_source(ticket);
    if (fit.fit == serving::Fit::kAsk) {
      waiting.candidate = std::move(*copy);
      return from_source(ticket);
    }
    ++counters_.disk_hits;
    const bool stale = fit.fit == serving::Fit::kServeStale;
    counters_.stale += stale ? 1 : 0;
    if (fit.renew && waiting.request.refresh && waiting.request.from)
      renew(waiting.request, waiting.cls, *copy);
    serve(ticket, *copy, stale ? Remark::kStale : Remark::kHit);
  });
}

// ---- Fills.

void Box::from_source(Ticket ticket) {
  Open& open = open_.at(ticket);
  const depot::Request& r = open.request;
  const serving::Class& cls = settings_.classes[open.cls];
  const bool write = cls.write || !r.body.empty();
  const copies::Key key{r.object, r.part};
  if (!r.from) {
    const bool under_way = !write && fills_by_key_.contains(key);
    return refuse(ticket, {Word::kLack, under_way ? Remark::kJoined : 0});
  }
  if (!write && r.collapse) {
    // A fill that was sent before a purge, or asks for an older copy than will do here, is none to join.
    const std::int64_t least = std::max(store_->ledger().least_birth(r.object, r.group),
                                        serving::least_birth(cls, r.oldest_ms, open.came_ms));
    const auto range = fills_by_key_.equal_range(key);
    for (auto it = range.first; it != range.second; ++it) {
      FillUnder& fill = *fills_.at(it->second);
      if (fill.least_birth < least && fill.sent_ms <= least) continue;
      if (fill.sequence < store_->sequence() && store_->ledger().gap_ms() > fill.sent_ms) continue;
      open.fill = it->second;
      open.joined = true;
      fill.waiters.push_back(ticket);
      fill.rank = std::max(fill.rank, r.rank);
      fill.course.extend(open.until_ms);
      return;
    }
  }
  if (fills_.size() >= settings_.fills.places) return refuse(ticket, {Word::kWait, Remark::kNoSlot});
  const std::uint64_t id = begin_fill(r, open.cls, std::move(open.candidate), open.until_ms);
  open.fill = id;
  fills_.at(id)->waiters.push_back(ticket);
  try_fill(id);
}

std::uint64_t Box::begin_fill(const depot::Request& request, std::size_t cls,
                              std::optional<copies::Copy> candidate, std::int64_t until_ms) {
  const std::uint64_t id = next_fill_++;
  const bool write = settings_.classes[cls].write || !request.body.empty();
  const auto known = list_.find(*request.from);
  const bool from_origin = known != list_.end() && known->second.kind == settings_.origin_kind;
  auto fill = std::make_unique<FillUnder>(io_, serving::Fill(settings_.fills, write, from_origin, until_ms));
  fill->request = request;
  fill->cls = cls;
  fill->candidate = std::move(candidate);
  fill->source = *request.from;
  fill->keep = !write;
  fill->rank = request.rank;
  fill->began_ms = now_ms();
  fills_.emplace(id, std::move(fill));
  if (!write) fills_by_key_.emplace(copies::Key{request.object, request.part}, id);
  ++counters_.fills;
  return id;
}

// The oldest copy that will do as of now: what the class and the asker allow, and nothing from before a purge
// or a gap.
std::int64_t Box::bound_age(FillUnder& fill, std::int64_t now) {
  const depot::Request& r = fill.request;
  std::int64_t least = store_->ledger().least_birth(r.object, r.group);
  if (fill.candidate) {
    if (store_->ledger().gap_ms() > fill.candidate->about.born_ms)
      least = std::max(least, store_->ledger().gap_ms());
    if (continuity_.state(now) == purges::Continuity::State::kUnproven) {
      least = std::max(least, now - settings_.bus_away_ms);
    }
  }
  const std::int64_t by_age = serving::least_birth(settings_.classes[fill.cls], r.oldest_ms, now);
  fill.least_birth = std::max(least, by_age);
  fill.sequence = store_->sequence();
  return least >= by_age && least > 0 ? std::max<std::int64_t>(1, now - least - 1) : r.oldest_ms;
}

// What goes to the source if it is written now, later than the fill was begun: a purge may have been told and
// time has passed.
std::string Box::fill_bytes(FillUnder& fill, const std::string& request_id, std::optional<depot::Id> from,
                            std::int64_t until_ms) {
  const depot::Request& r = fill.request;
  const std::int64_t now = now_ms();
  depot::Fetch fetch;
  fetch.id = request_id;
  fetch.profile = r.profile;
  fetch.thing = r.thing;
  fetch.nth = r.nth;
  fetch.body = r.body;
  fetch.max_ms = std::max<std::int64_t>(1, until_ms - now);
  fetch.oldest_ms = bound_age(fill, now);
  fill.sent_ms = now;
  fetch.from = from;
  if (is_parent(fill.source)) {
    fetch.collapse = fill.keep;
    fetch.no_store_up = r.no_store_up;
  }
  if (fill.candidate) fetch.seen = fill.candidate->about.tag;
  return depot::fetch_bytes(fetch);
}

// Whom the source of a fill asks itself: a parent the origin.
std::optional<depot::Id> Box::fill_from(const FillUnder& fill) const {
  if (!is_parent(fill.source) || fill.request.only_if_cached) return std::nullopt;
  return origin_;
}

bool Box::is_parent(depot::Id id) const {
  const auto known = list_.find(id);
  return known != list_.end() && known->second.kind == settings_.parent_kind;
}

void Box::try_fill(std::uint64_t id) {
  FillUnder& fill = *fills_.at(id);
  const std::int64_t now = now_ms();
  const std::int64_t time = std::max<std::int64_t>(1, fill.course.time_for(now));
  bound_age(fill, now);
  fill.sent_ms = now;

  std::array<char, 17> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(fill_salt_ + id * 16 + static_cast<unsigned>(fill.course.tries())));
  const std::string own(text.data());
  links::UpstreamPool::Order order;
  order.depot = fill.source;
  order.source = fill_from(fill);
  order.id = own;
  // The pool lets go of the order before the fill ends.
  order.bytes = [this, &fill, own, from = order.source, until = now + time] {
    return fill_bytes(fill, own, from, until);
  };
  if (fill.candidate) order.facts.seen = fill.candidate->about.tag;
  order.facts.group = fill.request.group;
  ++counters_.fill_tries;
  fill.handle = pool_.send(
      std::move(order), [this, id](links::UpstreamPool::Reply&& reply) { fill_ended(id, std::move(reply)); });
  fill.timer.expires_after(std::chrono::milliseconds(time));
  fill.timer.async_wait([this, id, handle = fill.handle](Error error) {
    const auto it = fills_.find(id);
    if (error || it == fills_.end() || it->second->handle != handle) return;
    links::UpstreamPool::Reply reply;
    reply.report.end = pool_.give_up(handle) ? End::kUnreached : End::kLate;
    fill_ended(id, std::move(reply));
  });
}

void Box::fill_ended(std::uint64_t id, links::UpstreamPool::Reply&& reply) {
  const auto it = fills_.find(id);
  if (it == fills_.end()) return;
  FillUnder& fill = *it->second;
  fill.handle = 0;
  fill.timer.cancel();
  const std::int64_t now = now_ms();
  if (reply.report.end != End::kServed) {
    ++counters_.fill_failures;
    return fill_next(id, fill.course.failed(reply.report.end, reply.report.remark, now, random_));
  }
  if (!fill.keep) {
    // A write, or what came with a body: passed on as it came.
    copies::Copy copy;
    copy.about.tag = reply.tag;
    copy.about.born_ms = reply.born_ms;
    copy.bytes = copies::bytes_of(std::move(reply.body));
    const auto waiters = fill.waiters;
    const double waited = static_cast<double>(now - fill.began_ms);
    forget_fill(id);
    for (const Ticket t : waiters) serve(t, copy, Remark::kFilled, waited);
    return;
  }
  copies::Copy copy;
  if (reply.same) {
    copy = *fill.candidate;  // the pool lets no KEEP through where no tag went out
  } else {
    copy.bytes = copies::bytes_of(std::move(reply.body));
    copy.about.key = {fill.request.object, fill.request.part};
    copy.about.tag = std::move(reply.tag);
  }
  // A source that does not tell when the origin gave it out may have had it for long: no later than we asked.
  // Nor can the origin have given it out after it came here.
  const bool born_told = reply.born_ms > 0 && reply.born_ms <= now;
  const std::int64_t born = born_told ? reply.born_ms : fill.sent_ms;
  copy.about.born_ms = reply.same ? std::max(copy.about.born_ms, born) : born;
  if (reply.group != depot::kUnknownGroup) copy.about.group = reply.group;
  if (copy.about.group == depot::kUnknownGroup) copy.about.group = fill.request.group;
  copy.about.rank = fill.rank;
  if (store_->ledger().voids(copy.about) || store_->ledger().doubtful(copy.about, fill.sequence)) {
    // A purge, or a gap, came while it was on its way.
    return fill_next(id, fill.course.too_old(now, random_));
  }
  const bool parent = is_parent(fill.source);
  const bool behind = reply.report.remark >= Remark::kFilled && reply.report.remark <= Remark::kJoined;
  if (reply.same) {
    ++counters_.confirmed;
    store_->confirm(copy.about.key, copy.about.born_ms);
    shelf_.confirm(copy.about.key, copy.about.born_ms, fill.sequence);
  }
  ++counters_.filled;
  fill_good(id, std::move(copy), parent && behind ? Remark::kViaOrigin : Remark::kFilled);
}

void Box::fill_good(std::uint64_t id, copies::Copy copy, int remark) {
  FillUnder& fill = *fills_.at(id);
  const std::int64_t now = now_ms();
  if (fill.rank > 0) {
    shelf_.put({copy, fill.sequence});
    store_->offer(copy, now);
  }
  const auto waiters = fill.waiters;
  const double waited = static_cast<double>(now - fill.began_ms);
  forget_fill(id);
  for (const Ticket t : waiters) {
    const auto it = open_.find(t);
    if (it == open_.end()) continue;
    const bool joined = it->second.joined;
    counters_.joined += joined ? 1 : 0;
    serve(t, copy, joined ? static_cast<int>(Remark::kJoined) : remark, waited);
  }
}

void Box::fill_next(std::uint64_t id, const serving::Fill::Next& next) {
  FillUnder& fill = *fills_.at(id);
  if (next.what == serving::Fill::What::kAgain) {
    if (next.plain) fill.candidate.reset();
    fill.timer.expires_after(std::chrono::milliseconds(next.pause_ms));
    fill.timer.async_wait([this, id](Error error) {
      if (!error && fills_.contains(id)) try_fill(id);
    });
    return;
  }
  const auto waiters = fill.waiters;
  const double waited = static_cast<double>(now_ms() - fill.began_ms);
  forget_fill(id);
  for (const Ticket t : waiters) refuse(t, next.refusal, waited);
}

void Box::forget_fill(std::uint64_t id) {
  const auto it = fills_.find(id);
  const auto range = fills_by_key_.equal_range({it->second->request.object, it->second->request.part});
  for (auto k = range.first; k != range.second; ++k) {
    if (k->second == id) {
      fills_by_key_.erase(k);
      break;
    }
  }
  fills_.erase(it);
}

// Fetched anew behind an answer that a copy of ours has given.
void Box::renew(const depot::Request& request, std::size_t cls, const copies::Copy& copy) {
  const copies::Key& key = copy.about.key;
  if (fills_by_key_.contains(key) || fills_.size() >= settings_.fills.places) return;
  ++counters_.renewed;
  depot::Request again = request;
  again.seen.clear();
  again.rank = std::max(request.rank, copy.about.rank);
  again.oldest_ms =
      std::max<std::int64_t>(1, settings_.classes[cls].fresh_ms / 5);  // a younger one than ours
  try_fill(begin_fill(again, cls, copy, now_ms() + settings_.fills.timeout_ms));
}

// ---- Time.

void Box::tick() {
  const std::int64_t now = now_ms();
  store_->tick(now);
  while (!read_deadlines_.empty() && read_deadlines_.begin()->first <= now) {
    const Ticket ticket = read_deadlines_.begin()->second;
    read_deadlines_.erase(read_deadlines_.begin());
    const auto it = open_.find(ticket);
    if (it == open_.end() || !it->second.reading) continue;
    it->second.reading = false;  // its end, when it comes, finds nobody waiting
    ++counters_.late_reads;
    from_source(ticket);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const Ticket ticket = deadlines_.begin()->second;
    const auto it = open_.find(ticket);
    if (it == open_.end()) {
      deadlines_.erase(deadlines_.begin());
      continue;
    }
    // Its asker has left by its own word; no answer is owed.
    it->second.peer->open.erase(it->second.request.id);
    ++counters_.past;
    drop(ticket);
  }
  ticking_.expires_after(kTick);
  ticking_.async_wait([this](Error error) {
    if (!error) tick();
  });
}

void Box::end(std::function<void(bool clean)> done) {
  if (std::exchange(ending_, true)) return;
  done_ = std::move(done);
  acceptor_.close();
  ending_by_.expires_after(std::chrono::milliseconds(kEndMs));
  ending_by_.async_wait([this](Error error) {
    if (error || ended_) return;
    const auto peers = peers_;
    for (const auto& peer : peers) peer->close();
  });
  end_when_done();
}

void Box::end_when_done() {
  const bool writing = std::any_of(peers_.begin(), peers_.end(), [](const auto& p) { return p->writing(); });
  if (!open_.empty() || writing) {
    const auto look_again = std::make_shared<asio::steady_timer>(io_, kTick);
    look_again->async_wait([this, look_again](Error) { end_when_done(); });
    return;
  }
  if (std::exchange(ended_, true)) return;
  ending_by_.cancel();
  const auto peers = peers_;
  for (const auto& peer : peers) peer->close();
  for (auto& [id, fill] : fills_) {
    fill->timer.cancel();
    if (fill->handle != 0) pool_.give_up(fill->handle);
  }
  fills_.clear();
  fills_by_key_.clear();
  bus_.close();
  // A disk that does not come back must not keep the process.
  ending_by_.expires_after(std::chrono::milliseconds(kCloseMs));
  ending_by_.async_wait([this](Error error) {
    if (!error) finish(false);
  });
  store_->close(now_ms(), [this] { finish(true); });
}

void Box::finish(bool clean) {
  if (!done_) return;
  ending_by_.cancel();
  ticking_.cancel();
  pool_.close();
  report(clean ? "end" : "end without the disk");
  std::exchange(done_, {})(clean);
}

void Box::report(const char* why) {
  const auto& c = counters_;
  const auto& d = store_->counters();
  const auto n = [](std::uint64_t v) { return static_cast<std::int64_t>(v); };
  log_.say(Level::kInfo, "counters",
           {{"reason", std::string(why)},
            {"connections", n(c.connections)},
            {"turned_away", n(c.turned_away)},
            {"malformed", n(c.malformed)},
            {"unusable", n(c.unusable)},
            {"requests", n(c.requests)},
            {"aborted", n(c.aborted)},
            {"done", n(c.done)},
            {"kept", n(c.kept)},
            {"lacks", n(c.lacks)},
            {"full", n(c.full)},
            {"broke", n(c.broke)},
            {"past", n(c.past)},
            {"memory_hits", n(c.memory_hits)},
            {"disk_hits", n(c.disk_hits)},
            {"stale", n(c.stale)},
            {"filled", n(c.filled)},
            {"joined", n(c.joined)},
            {"confirmed", n(c.confirmed)},
            {"renewed", n(c.renewed)},
            {"fill_tries", n(c.fill_tries)},
            {"fill_failures", n(c.fill_failures)},
            {"late_reads", n(c.late_reads)},
            {"purges", n(c.purges)},
            {"gaps", n(c.gaps)},
            {"bus_lost", n(c.bus_lost)},
            {"memory_bytes", n(shelf_.bytes())},
            {"disk_parts", n(store_->parts())},
            {"disk_space", n(store_->space())},
            {"disk_written", n(d.written_bytes)},
            {"disk_admitted", n(d.admitted_bytes)},
            {"disk_again", n(d.again_bytes)},
            {"disk_passed_over", n(d.passed_over)},
            {"disk_dropped", n(d.dropped)},
            {"disk_torn", n(d.torn)},
            {"disk_read_errors", n(d.read_errors)},
            {"disk_write_errors", n(d.write_errors)},
            {"disk_refused_reads", n(d.refused_reads)}});
}

}  // namespace anisewick::cachebox
