#include "facade/facade.hpp"

#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>

#include "anisewick/control.hpp"

namespace anisewick {
namespace {

constexpr Time kMs = 1'000'000;

Status status_of(End end) {
  switch (end) {
    case End::kServed:
      return Status::kOk;
    case End::kBroke:
      return Status::kError;
    case End::kFull:
      return Status::kFull;
    case End::kLate:
      return Status::kTimeout;
    case End::kUnreached:
      return Status::kConnectFailed;
    case End::kReset:
      return Status::kReset;
    case End::kOver:
      return Status::kMoot;
    case End::kLacks:
      return Status::kMiss;
  }
  return Status::kError;
}

const char* word_for(Why why) {
  switch (why) {
    case Why::kNoTime:
      return "no_time";
    case Why::kNoRetries:
      return "no_retries";
    case Why::kNoServer:
      return "no_depot";
    case Why::kCrowdedFills:
      return "crowded_fills";
    case Why::kWeakOrigin:
      return "weak_origin";
    case Why::kErrors:
      return "errors";
  }
  return "";
}

Member member_from(const bus::Depot& d) {
  Member m;
  m.id = depot::text_of(d.id);
  m.kind = d.kind;
  m.zone = d.zone;
  m.cell = d.cell;
  m.scale = d.weight;
  m.started_at = d.started_ms * kMs;
  m.share = d.share;
  m.guest = d.guest;
  m.state = d.state == bus::State::kReady      ? State::kUp
            : d.state == bus::State::kDraining ? State::kDraining
                                               : State::kGone;
  return m;
}

Step step_from(const Attempt& a) {
  Step step;
  step.what = Step::What::kSend;
  step.depot = depot::id_from(a.server).value_or(0);
  if (a.source != a.server) step.source = depot::id_from(a.source);
  step.rank = a.rank;
  step.oldest = a.max_age;
  step.until = a.until;
  step.begin_by = a.begin_by;
  step.join = a.join;
  step.held_only = a.held_only;
  return step;
}

}  // namespace

struct Facade::Impl {
  struct Out {  // the attempt of a request
    int number = -1;
    Time at = 0;
    std::string depot;
  };
  using Due = std::pair<Time, std::uint64_t>;  // an alarm and its token

  explicit Impl(const Settings& settings) : control(settings) {}
  Step step_for(Time now, std::uint64_t id);

  Control control;
  bool listed = false;
  Actions actions;
  std::unordered_map<std::uint64_t, Out> open;
  std::vector<std::pair<std::uint64_t, Step>> others;  // found while another request was asked about
  std::priority_queue<Due, std::vector<Due>, std::greater<>> alarms;
};

Facade::Facade(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Facade::~Facade() = default;

void Facade::retune(const Settings& settings) { impl_->control.retune(settings); }

Learned Facade::learned() const { return impl_->control.learned(); }
void Facade::learn(const Learned& learned) { impl_->control.learn(learned); }

Step Facade::pick(Time now, const Ask& ask) {
  impl_->open[ask.id] = {};
  Request r;
  r.id = ask.id;
  r.object = ask.object;
  r.part = ask.part;
  r.size_kb = ask.size_kb;
  r.cls = ask.cls;
  r.terms = ask.terms;
  r.group = ask.group;
  r.give_up_at = ask.give_up_at;
  impl_->control.request(now, r, impl_->actions);
  return impl_->step_for(now, ask.id);
}

bool Facade::may_begin(Time now, std::uint64_t id) { return impl_->control.may_begin(now, id); }

Time Facade::oldest(Time now, std::uint64_t id) const { return impl_->control.max_age(now, id); }

Step Facade::report(Time now, std::uint64_t id, const Report& report) {
  const auto it = impl_->open.find(id);
  if (it == impl_->open.end()) return {};
  Outcome o;
  o.id = id;
  o.attempt = it->second.number;
  o.server = it->second.depot;
  o.closed = report.end == End::kServed;
  o.status = status_of(report.end);
  o.note = report.remark >= 0 && report.remark <= 10 ? static_cast<Note>(report.remark) : Note::kNone;
  o.elapsed = now - it->second.at;
  o.first_byte = report.waited;
  if (o.closed) impl_->open.erase(it);
  impl_->control.outcome(now, o, impl_->actions);
  return impl_->step_for(now, id);
}

std::vector<std::pair<std::uint64_t, Step>> Facade::tick(Time now) {
  while (!impl_->alarms.empty() && impl_->alarms.top().first <= now) {
    const std::uint64_t token = impl_->alarms.top().second;
    impl_->alarms.pop();
    impl_->control.alarm(now, token, impl_->actions);
    impl_->step_for(now, 0);
  }
  return std::exchange(impl_->others, {});
}

void Facade::gone(Time now, std::uint64_t id) {
  if (impl_->open.erase(id) == 0) return;
  impl_->control.abandoned(now, id, impl_->actions);
  impl_->step_for(now, id);
}

void Facade::heed(Time now, const bus::Event& event) {
  using Kind = bus::Event::Kind;
  if (event.kind == Kind::kWholeList || event.kind == Kind::kChanges) {
    std::vector<Member> list;
    for (const bus::Depot& d : event.depots) list.push_back(member_from(d));
    const auto kind = event.kind == Kind::kChanges ? ListKind::kChanges
                      : impl_->listed              ? ListKind::kFull
                                                   : ListKind::kSaved;
    impl_->listed = true;
    impl_->control.members(now, kind, list, impl_->actions);
  } else if (event.kind == Kind::kObjectPurge || event.kind == Kind::kGroupPurge) {
    Purge p;
    p.whole_group = event.kind == Kind::kGroupPurge;
    p.object = event.object;
    p.group = event.group;
    p.age = now - event.purged_ms * kMs;
    impl_->control.purged(now, p, impl_->actions);
  }
  impl_->step_for(now, 0);
}

// Empties what the module asked for: the step of the request `id` is returned, those of others are kept for
// the next tick.
Step Facade::Impl::step_for(Time now, std::uint64_t id) {
  Step own;
  const auto settle = [&](std::uint64_t of, const Step& step) {
    if (of == id) {
      own = step;
    } else {
      others.emplace_back(of, step);
    }
    if (step.what != Step::What::kSend) open.erase(of);
  };
  for (const Action& action : actions) {
    if (const auto* a = std::get_if<Attempt>(&action)) {
      Out& out = open[a->id];
      ++out.number;
      out.at = now;
      out.depot = a->server;
      settle(a->id, step_from(*a));
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      Step step;
      step.what = Step::What::kRefuse;
      step.come_back = refuse->hold_off;
      step.why = word_for(refuse->why);
      settle(refuse->id, step);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      Step step;
      step.what = Step::What::kFail;
      step.why = word_for(fail->why);
      settle(fail->id, step);
    } else if (const auto* alarm = std::get_if<Alarm>(&action)) {
      alarms.emplace(now + alarm->in, alarm->token);
    }
    // Subscribe: the event bus pushes unasked. Abort: the module gives attempts up by their time limit only.
  }
  actions.clear();
  return own;
}

}  // namespace anisewick
