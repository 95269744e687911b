#include "net/doorman.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/request_log.hpp"

namespace anisewick::net {
namespace {

constexpr std::int64_t kMs = 1'000'000;
constexpr auto kTick = std::chrono::milliseconds(10);
constexpr std::int64_t kSameMoment = 5 * kMs;
// The depots' notes on where an answer came from, and why none did.
constexpr int kRemarkHit = 1, kRemarkViaOrigin = 3, kRemarkJoined = 4, kRemarkStale = 5;
constexpr int kRemarkOriginFailed = 10;

// How the end of an attempt is counted, in reports and in the log.
struct Counted {
  std::uint64_t Counters::*counter;
  Tally::What what;
};

Tally::What served_from(int remark) {
  if (remark == kRemarkHit || remark == kRemarkStale) return Tally::kHits;
  if (remark == kRemarkViaOrigin) return Tally::kViaOrigin;
  return remark == kRemarkJoined ? Tally::kJoined : Tally::kFilled;
}

Counted counted(const UpstreamPool::Reply& reply) {
  switch (reply.report.end) {
    case End::kServed:
      return {reply.same ? &Counters::kept : &Counters::done, served_from(reply.report.remark)};
    case End::kBroke:
      return {&Counters::broke, Tally::kBroke};
    case End::kFull:
      return {&Counters::full, Tally::kFull};
    case End::kLate:
      return {&Counters::late, Tally::kLate};
    case End::kUnreached:
      return {&Counters::unreached, Tally::kUnreached};
    case End::kReset:
      return {&Counters::reset, Tally::kReset};
    case End::kOver:
      return {&Counters::over, Tally::kOver};
    case End::kLacks:
      return {&Counters::lacks, Tally::kLacks};
  }
  return {&Counters::broke, Tally::kBroke};
}

// Source: PROTOCOL, answers of servers, and the table of completion codes in WIRE.
bool proves_unrun(End end) {
  return end == End::kFull || end == End::kUnreached || end == End::kOver || end == End::kLacks;
}

// Of 16 hex digits, as the front has checked; never 0, which stands for none.
std::uint64_t number_of(std::string_view id) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number, 16);
  return std::max<std::uint64_t>(1, number);
}

// A purge, by the clock of the decisions. Where that is ahead of the system's the purge is taken for younger,
// up to now: an older one would let old copies do.
bus::Event dated(bus::Event event) {
  const std::int64_t now = steady_unix_now();
  const std::int64_t ahead = std::max<std::int64_t>(0, now - unix_now());
  event.purged_ms = std::max(event.purged_ms, std::min(event.purged_ms + ahead / kMs, now / kMs));
  return event;
}

// What goes to the cache server if it is written now. `oldest` is that of now: a purge may have been told
// since the step was decided.
depot::Fetch fetch_of(const Call& call, const Step& step, Time oldest, std::int64_t now) {
  depot::Fetch fetch;
  fetch.id = call.id;
  fetch.profile = call.profile;
  fetch.thing = call.thing;
  fetch.nth = call.nth;
  fetch.seen = call.tag;
  fetch.body = call.body;
  fetch.from = step.source;
  fetch.rank = step.rank;
  // Rounded down, so that no copy older than was meant will do; but 0 would mean any fresh one.
  fetch.oldest_ms = oldest > 0 ? std::max<std::int64_t>(1, oldest / kMs) : 0;
  fetch.max_ms = std::max<std::int64_t>(1, (step.until - now) / kMs);
  fetch.collapse = step.join;
  fetch.only_if_cached = step.held_only;
  return fetch;
}

}  // namespace

Doorman::Doorman(asio::io_context& io, Facade& facade, UpstreamPool& depots, Counters& counters,
                 const generations::Classes& classes)
    : io_(io), facade_(facade), depots_(depots), counters_(counters), classes_(classes), ticking_(io) {}

void Doorman::heed(const bus::Event& event) {
  using Kind = bus::Event::Kind;
  const bool list = event.kind == Kind::kWholeList || event.kind == Kind::kChanges;
  ++(list ? counters_.lists : counters_.purges);
  if (event.kind == Kind::kWholeList) listed_ = true;
  if (list && watch_) {
    for (const bus::Depot& d : event.depots) {
      if (d.state == bus::State::kGone) served_.erase(d.id);
    }
  }
  if (counters_.tallies != nullptr) {
    for (const bus::Depot& d : event.depots) counters_.tallies->told(d);
  }
  // The decisions first: what the pool then calls back is picked again by the new list.
  facade_.heed(steady_unix_now(), dated(event));
  depots_.heed(event);
}

void Doorman::taken(Ticket ticket, Call&& call) {
  const generations::Class* cls = classes_.find(call.profile);
  if (cls == nullptr) return turn_away(ticket, 404, "unknown_class");
  // No client waits for longer than its class allows, give or take: such a figure is made up.
  if (call.patience / 2 > cls->terms->deadline) return turn_away(ticket, 400, "patience");
  // By its id a depot tells a request from another: two at once would get each other's answers.
  if (!ids_.insert(call.id).second) return turn_away(ticket, 409, "id_is_open");
  const std::uint64_t claimed = cls->terms->repeat == Repeat::kSafe ? 0 : number_of(call.id);
  if (claimed != 0 && runs_.claim && !runs_.claim(claimed)) {
    ids_.erase(call.id);
    return turn_away(ticket, 409, "may_have_run");
  }
  Ask ask;
  ask.id = ticket;
  ask.object = call.object;
  ask.part = call.part;
  ask.size_kb = call.size_kb;
  ask.cls = cls->slot;
  ask.terms = cls->terms;
  ask.group = call.group;
  ask.give_up_at = call.taken + call.patience;
  open_.emplace(ticket, std::make_unique<Open>(io_, std::move(call))).first->second->claimed = claimed;
  if (watch_) {
    watch_->look();
    if (const std::int64_t back = watch_->admit(ask.cls, ask.terms->worth, ask.size_kb, ticket); back > 0) {
      Step step;
      step.what = Step::What::kRefuse;
      step.come_back = back;
      step.why = "zone_left";
      return act(ticket, step);
    }
  }
  act(ticket, facade_.pick(steady_unix_now(), ask));
}

void Doorman::left(Ticket ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  const auto open = std::move(it->second);
  open_.erase(it);
  take_back(*open);
  forget(*open);
  if (watch_) watch_->given_up(ticket);
  facade_.gone(steady_unix_now(), ticket);
}

void Doorman::fail_all() {
  while (!open_.empty()) {
    const Ticket ticket = open_.begin()->first;
    take_back(*open_.begin()->second);
    ++counters_.given_up["ended"];
    Answer answer;
    answer.reason = "ended";
    finish(ticket, answer);
  }
}

void Doorman::act(Ticket ticket, const Step& step) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  Answer answer;
  switch (step.what) {
    case Step::What::kWait:
      return;
    case Step::What::kSend:
      return send(ticket, *it->second, step);
    case Step::What::kRefuse:
      ++counters_.given_up[step.why];
      answer.kind = Answer::Kind::kRefused;
      answer.reason = step.why;
      answer.come_back = step.come_back;
      return finish(ticket, answer);
    case Step::What::kFail:
      ++counters_.given_up[step.why];
      answer.reason = step.why;
      return finish(ticket, answer);
  }
}

void Doorman::send(Ticket ticket, Open& open, const Step& step) {
  const std::int64_t now = steady_unix_now();
  if (++open.attempts > 1) ++counters_.retried[open.last_end];
  const Call& call = open.call;
  open.bare = !step.source;
  open.held_only = step.held_only && step.source;
  open.depot = step.depot;
  open.source = step.source;
  open.sent_at = now;
  log_attempt(ticket, open, step);
  if (watch_) watch_->began(ticket, step.depot);
  counters_.tally(step.depot, Tally::kAttempts);
  if (open.held_only || open.bare) counters_.tally(step.depot, open.bare ? Tally::kBare : Tally::kHeld);
  if (step.source) counters_.tally(*step.source, Tally::kFills);
  // The pool lets go of the order before the request ends.
  const auto bytes = [this, ticket, &call, step] {
    const std::int64_t written_at = steady_unix_now();
    const Time oldest = facade_.oldest(written_at, ticket);
    return depot::fetch_bytes(fetch_of(call, step, oldest, written_at));
  };
  UpstreamPool::Order order;
  order.depot = step.depot;
  order.source = step.source;
  order.id = call.id;
  order.bytes = bytes;
  order.facts.seen = call.tag;
  order.may_begin = [this, ticket] { return facade_.may_begin(steady_unix_now(), ticket); };
  order.begin_by = step.begin_by;
  order.tag = ticket;
  open.sent = depots_.send(std::move(order),
                           [this, ticket](UpstreamPool::Reply&& reply) { ended(ticket, std::move(reply)); });
  open.until = step.until;
  wait_for_end(ticket, open, step.begin_by > 0 ? std::min(step.begin_by, step.until) : step.until);
}

void Doorman::log_attempt(Ticket ticket, const Open& open, const Step& step) {
  if (counters_.log == nullptr) return;
  const std::int64_t left = open.call.taken + open.call.patience - open.sent_at;
  counters_.log->attempt(ticket, open.attempts, step.depot, left / kMs);
}

// Looks at the attempt again at that time: one that may not begin any more has its end then, and every other
// when its time is over.
void Doorman::wait_for_end(Ticket ticket, Open& open, std::int64_t look_at) {
  open.timer.expires_after(std::chrono::nanoseconds(std::max<std::int64_t>(0, look_at - steady_unix_now())));
  open.timer.async_wait([this, ticket, look_at, sent = open.sent](Error error) {
    const auto it = open_.find(ticket);
    if (error || it == open_.end() || it->second->sent != sent) return;
    if (look_at < it->second->until && depots_.begun(sent))
      return wait_for_end(ticket, *it->second, it->second->until);
    too_late(ticket);
  });
}

void Doorman::ended(Ticket ticket, UpstreamPool::Reply&& reply) {
  const auto [count, what] = counted(reply);
  ++(counters_.*count);
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  if (counters_.tallies != nullptr) tally(*it->second, reply.report, what);
  if (watch_ && reply.report.end == End::kServed) {
    Served& s = served_[it->second->depot];
    ++s.answers;
    if (what != Tally::kHits) ++s.fills;
  }
  it->second->sent = 0;
  it->second->may_have_run = it->second->may_have_run || !proves_unrun(reply.report.end);
  it->second->last_end = Tally::kWords[what];
  if (counters_.log != nullptr)
    counters_.log->attempt_ended(ticket, it->second->attempts, it->second->depot, Tally::kWords[what]);
  it->second->timer.cancel();
  if (watch_) watch_->ended(ticket, it->second->depot, reply.report);
  if (watch_) watch_->look();
  const Step step = facade_.report(steady_unix_now(), ticket, reply.report);
  if (reply.report.end != End::kServed) return act(ticket, step);
  Answer answer;
  answer.kind = reply.same ? Answer::Kind::kSame : Answer::Kind::kServed;
  answer.body = std::move(reply.body);
  finish(ticket, answer);
}

void Doorman::tally(const Open& open, const Report& report, Tally::What what) {
  const auto add = [&](Tally::What w, std::int64_t n) {
    counters_.tally(open.depot, w, static_cast<std::uint32_t>(n));
  };
  add(what, 1);
  const std::int64_t ms = (steady_unix_now() - open.sent_at) / kMs;
  if (what == Tally::kHits) add(Tally::kHitMs, ms);
  if (what == Tally::kFilled) add(Tally::kFilledMs, ms);
  if (what == Tally::kViaOrigin) add(Tally::kViaOriginMs, ms);
  if (what == Tally::kFilled || what == Tally::kViaOrigin) add(Tally::kWaitedMs, report.waited / kMs);
  if (report.remark > kRemarkStale && report.remark <= kRemarkOriginFailed)
    add(static_cast<Tally::What>(Tally::kSrcRefused + report.remark - kRemarkStale - 1), 1);
  if (what == Tally::kLate && (open.held_only || open.bare))
    add(open.bare ? Tally::kLateBare : Tally::kLateHeld, 1);
}

Doorman::Served Doorman::served(depot::Id depot) const {
  const auto it = served_.find(depot);
  return it == served_.end() ? Served{} : it->second;
}

std::uint32_t Doorman::open(depot::Id depot) const {
  std::uint32_t n = 0;
  for (const auto& [ticket, open] : open_) {
    if (open->sent != 0 && (open->depot == depot || open->source == depot)) ++n;
  }
  return n;
}

// The attempt's time is over. What had not gone out by then never ran.
void Doorman::too_late(Ticket ticket) {
  UpstreamPool::Reply reply;
  reply.report.end = take_back(*open_.at(ticket));
  ended(ticket, std::move(reply));
}

void Doorman::turn_away(Ticket ticket, int status, std::string_view reason) {
  ++counters_.invalid;
  Answer answer;
  answer.reason = reason;
  answer.status = status;
  reply_(ticket, answer);
}

void Doorman::finish(Ticket ticket, const Answer& answer) {
  const auto it = open_.find(ticket);
  forget(*it->second);
  open_.erase(it);
  reply_(ticket, answer);
}

End Doorman::take_back(Open& open) {
  const bool unsent = open.sent == 0 || depots_.give_up(open.sent);
  open.sent = 0;
  open.may_have_run = open.may_have_run || !unsent;
  return unsent ? End::kUnreached : End::kLate;
}

void Doorman::forget(const Open& open) {
  ids_.erase(open.call.id);
  if (open.claimed != 0 && !open.may_have_run && runs_.release) runs_.release(open.claimed);
}

// Events that came together are handled in any order: the tick may have been the first of them.
std::int64_t Doorman::held_up() const {
  const std::int64_t since = steady_unix_now() - ticked_;
  return since < kSameMoment ? std::max(since, tick_gap_) : since;
}

void Doorman::tick() {
  const std::int64_t now = steady_unix_now();
  tick_gap_ = ticked_ == 0 ? 0 : now - ticked_;
  ticked_ = now;
  if (watch_) watch_->look();
  for (const auto& [ticket, step] : facade_.tick(steady_unix_now())) act(ticket, step);
  ticking_.expires_after(kTick);
  ticking_.async_wait([this](Error error) {
    if (!error) tick();
  });
}

}  // namespace anisewick::net
