#include "facade/facade.hpp"

#include <variant>

namespace anisewick {
namespace {

constexpr Time kMs = 1'000'000;

anisewick::Status status_of(End end) {
  switch (end) {
    case End::kServed:
      return anisewick::Status::kOk;
    case End::kBroke:
      return anisewick::Status::kError;
    case End::kFull:
      return anisewick::Status::kFull;
    case End::kLate:
      return anisewick::Status::kTimeout;
    case End::kUnreached:
      return anisewick::Status::kConnectFailed;
    case End::kReset:
      return anisewick::Status::kReset;
    case End::kOver:
      return anisewick::Status::kMoot;
    case End::kLacks:
      return anisewick::Status::kMiss;
  }
  return anisewick::Status::kError;
}

anisewick::Member member_from(const bus::Depot& d) {
  anisewick::Member m;
  m.id = depot::text_of(d.id);
  m.kind = d.kind;
  m.zone = d.zone;
  m.cell = d.cell;
  m.scale = d.weight;
  m.started_at = d.started_ms * kMs;
  m.state = d.state == bus::State::kReady      ? anisewick::State::kUp
            : d.state == bus::State::kDraining ? anisewick::State::kDraining
                                               : anisewick::State::kGone;
  return m;
}

Step step_from(const anisewick::Attempt& a) {
  Step step;
  step.what = Step::What::kSend;
  step.depot = depot::id_from(a.server).value_or(0);
  if (a.source != a.server) step.source = depot::id_from(a.source);
  step.rank = a.rank;
  step.oldest = a.max_age;
  step.until = a.until;
  step.join = a.join;
  step.held_only = a.held_only;
  return step;
}

}  // namespace

Facade::Facade(const anisewick::Settings& settings) : control_(settings) {}

Step Facade::pick(Time now, const Ask& ask) {
  open_[ask.id] = Out{};
  anisewick::Request r;
  r.id = ask.id;
  r.object = ask.object;
  r.part = ask.part;
  r.size_kb = ask.size_kb;
  r.cls = ask.cls;
  r.group = ask.group;
  r.give_up_at = ask.give_up_at;
  control_.request(now, r, actions_);
  return step_for(now, ask.id);
}

Step Facade::report(Time now, std::uint64_t id, const Report& report) {
  const auto it = open_.find(id);
  if (it == open_.end()) return {};
  anisewick::Outcome o;
  o.id = id;
  o.attempt = it->second.number;
  o.server = it->second.depot;
  o.closed = report.end == End::kServed;
  o.status = status_of(report.end);
  o.note = report.remark >= 0 && report.remark <= 10 ? static_cast<anisewick::Note>(report.remark)
                                                     : anisewick::Note::kNone;
  o.elapsed = now - it->second.at;
  o.first_byte = report.waited;
  if (o.closed) open_.erase(it);
  control_.outcome(now, o, actions_);
  return step_for(now, id);
}

std::vector<std::pair<std::uint64_t, Step>> Facade::tick(Time now) {
  while (!alarms_.empty() && alarms_.top().first <= now) {
    const std::uint64_t token = alarms_.top().second;
    alarms_.pop();
    control_.alarm(now, token, actions_);
    step_for(now, 0);
  }
  return std::exchange(others_, {});
}

void Facade::gone(Time now, std::uint64_t id) {
  if (open_.erase(id) == 0) return;
  control_.abandoned(now, id, actions_);
  step_for(now, id);
}

void Facade::heed(Time now, const bus::Event& event) {
  using Kind = bus::Event::Kind;
  if (event.kind == Kind::kWholeList || event.kind == Kind::kChanges) {
    std::vector<anisewick::Member> list;
    for (const bus::Depot& d : event.depots) list.push_back(member_from(d));
    const auto kind = event.kind == Kind::kChanges ? anisewick::ListKind::kChanges
                      : listed_                    ? anisewick::ListKind::kFull
                                                   : anisewick::ListKind::kSaved;
    listed_ = true;
    control_.members(now, kind, list, actions_);
  } else if (event.kind == Kind::kObjectPurge || event.kind == Kind::kGroupPurge) {
    anisewick::Purge p;
    p.whole_group = event.kind == Kind::kGroupPurge;
    p.object = event.object;
    p.group = event.group;
    p.age = now - event.purged_ms * kMs;
    control_.purged(now, p, actions_);
  }
  step_for(now, 0);
}

// Empties what the module asked for: the step of the request `id` is returned, those of others are kept for
// the next tick.
Step Facade::step_for(Time now, std::uint64_t id) {
  Step own;
  const auto settle = [&](std::uint64_t of, const Step& step) {
    if (of == id) {
      own = step;
    } else {
      others_.emplace_back(of, step);
    }
    if (step.what != Step::What::kSend) open_.erase(of);
  };
  for (const anisewick::Action& action : actions_) {
    if (const auto* a = std::get_if<anisewick::Attempt>(&action)) {
      Out& out = open_[a->id];
      ++out.number;
      out.at = now;
      out.depot = a->server;
      settle(a->id, step_from(*a));
    } else if (const auto* refuse = std::get_if<anisewick::Refuse>(&action)) {
      Step step;
      step.what = Step::What::kRefuse;
      step.come_back = refuse->hold_off;
      settle(refuse->id, step);
    } else if (const auto* fail = std::get_if<anisewick::Fail>(&action)) {
      Step step;
      step.what = Step::What::kFail;
      settle(fail->id, step);
    } else if (const auto* alarm = std::get_if<anisewick::Alarm>(&action)) {
      alarms_.emplace(now + alarm->in, alarm->token);
    }
    // Subscribe: the event bus pushes unasked. Abort: the module gives attempts up by their time limit only.
  }
  actions_.clear();
  return own;
}

}  // namespace anisewick
