#include "holds/holds.hpp"

#include <algorithm>
#include <iterator>

namespace anisewick::holds {

using Kind = bus::Event::Kind;

std::optional<bus::Event> Holds::detach(depot::Id id, std::int64_t now_ms) {
  if (!told_.contains(id)) return std::nullopt;
  const auto it = marks_.find(id);
  if (it != marks_.end() && it->second.held) return bus::Event{};
  // A clock that was set back must not make the newer call the older one.
  const std::int64_t at = it == marks_.end() ? now_ms : std::max(now_ms, it->second.at_ms + 1);
  set({id, true, at});
  return change_of({id});
}

std::optional<bus::Event> Holds::attach(depot::Id id, std::int64_t now_ms) {
  if (!told_.contains(id) && !marks_.contains(id)) return std::nullopt;
  const auto it = marks_.find(id);
  if (it == marks_.end() || !it->second.held) return bus::Event{};
  set({id, false, std::max(now_ms, it->second.at_ms + 1)});
  return change_of({id});
}

bus::Event Holds::over(bus::Event event) {
  if (event.kind != Kind::kWholeList && event.kind != Kind::kChanges) return event;
  if (event.kind == Kind::kWholeList) {
    for (auto& [id, depot] : told_) depot.state = bus::State::kGone;
  }
  for (const bus::Depot& d : event.depots) told_[d.id] = d;
  for (bus::Depot& d : event.depots) d = effective(d);
  // What is needed may have changed with the rest.
  for (const depot::Id id : left_) {
    const bool there = std::any_of(event.depots.begin(), event.depots.end(),
                                   [&](const bus::Depot& d) { return d.id == id; });
    if (const auto it = told_.find(id); !there && it != told_.end()) {
      event.depots.push_back(effective(it->second));
    }
  }
  trim();
  return event;
}

bus::Event Holds::merge(const std::vector<Mark>& marks) {
  std::vector<depot::Id> changed;
  for (const Mark& mark : marks) {
    if (set(mark)) changed.push_back(mark.depot);
  }
  trim();
  return change_of(changed);
}

bus::Event Holds::settle(const Word& word) {
  const auto it = marks_.find(word.depot);
  const bool was = it != marks_.end() && it->second.held;
  marks_[word.depot] = {word.depot, word.held, word.at_ms};
  trim();
  return was == word.held && it != marks_.end() ? bus::Event{} : change_of({word.depot});
}

bus::Event Holds::leave(const std::vector<depot::Id>& left, const std::map<depot::Id, std::int64_t>& back) {
  std::set<depot::Id> next(left.begin(), left.end()), changed = left_;
  if (next == left_ && back == back_) return {};
  changed.insert(next.begin(), next.end());
  for (const auto& [id, at_ms] : back) changed.insert(id);
  left_ = std::move(next);
  // Those that are no longer spoken of stay as started as they were.
  for (const auto& [id, at_ms] : back) back_[id] = at_ms;
  while (back_.size() > kMostBack) back_.erase(back_.begin());
  return change_of({changed.begin(), changed.end()});
}

bus::Event Holds::lay(const std::map<depot::Id, Lay>& laid) {
  std::vector<depot::Id> changed;
  for (const auto& [id, lay] : laid) {
    const auto it = laid_.find(id);
    if (it == laid_.end() || it->second != lay) changed.push_back(id);
  }
  for (const auto& [id, lay] : laid_) {
    if (!laid.contains(id)) changed.push_back(id);
  }
  laid_ = laid;
  while (laid_.size() > kMost) laid_.erase(std::prev(laid_.end()));
  return change_of(changed);
}

bool Holds::needed(depot::Id id) const {
  const auto it = told_.find(id);
  if (!left_.contains(id) || it == told_.end() || it->second.state != bus::State::kReady) return false;
  for (const auto& [other, d] : told_) {
    if (d.kind != it->second.kind || d.zone != it->second.zone || d.state != bus::State::kReady) continue;
    const auto mark = marks_.find(other);
    if (!left_.contains(other) && (mark == marks_.end() || !mark->second.held)) return false;
  }
  return true;
}

const bus::Depot* Holds::told(depot::Id id) const {
  const auto it = told_.find(id);
  return it == told_.end() ? nullptr : &it->second;
}

std::vector<bus::Depot> Holds::list() const {
  std::vector<bus::Depot> all;
  for (const auto& [id, depot] : told_) all.push_back(depot);
  return all;
}

std::vector<bus::Depot> Holds::listed() const {
  std::vector<bus::Depot> all = list();
  std::erase_if(all, [](const bus::Depot& d) { return d.state == bus::State::kGone; });
  return all;
}

bool Holds::gone(depot::Id id) const {
  const auto it = told_.find(id);
  return it == told_.end() || it->second.state == bus::State::kGone;
}

std::vector<Mark> Holds::marks() const {
  std::vector<Mark> all;
  for (const auto& [id, mark] : marks_) all.push_back(mark);
  return all;
}

bool Holds::set(const Mark& mark) {
  const auto [it, fresh] = marks_.emplace(mark.depot, mark);
  if (fresh) return true;
  const bool later = mark.at_ms > it->second.at_ms || (mark.at_ms == it->second.at_ms && mark.held);
  if (!later || it->second == mark) return false;
  it->second = mark;
  return true;
}

bus::Depot Holds::effective(const bus::Depot& told) const {
  bus::Depot d = told;
  if (left_.contains(d.id) && d.state == bus::State::kReady && !needed(d.id)) d.state = bus::State::kDraining;
  if (const auto laid = laid_.find(d.id); laid != laid_.end()) {
    d.share = laid->second.share;
    d.guest = laid->second.guest;
    if (laid->second.left && d.state == bus::State::kReady) d.state = bus::State::kDraining;
  }
  if (const auto back = back_.find(d.id); back != back_.end()) {
    d.started_ms = std::max(d.started_ms, back->second);
  }
  const auto it = marks_.find(d.id);
  if (it == marks_.end()) return d;
  if (it->second.held) {
    if (d.state == bus::State::kReady) d.state = bus::State::kDraining;
  } else {
    d.started_ms = std::max(d.started_ms, it->second.at_ms);
  }
  return d;
}

bus::Event Holds::change_of(const std::vector<depot::Id>& ids) const {
  bus::Event event;
  for (const depot::Id id : ids) {
    if (const auto it = told_.find(id); it != told_.end()) event.depots.push_back(effective(it->second));
  }
  if (!event.depots.empty()) event.kind = Kind::kChanges;
  return event;
}

// Bounded: of those that have gone, the ones that nobody spoke about are forgotten first. A mark that no
// longer holds anything goes with its depot; one that holds stays, for the depot may come again.
void Holds::trim() {
  if (told_.size() > kMost) {
    std::erase_if(told_, [&](const auto& kv) {
      return kv.second.state == bus::State::kGone && !marks_.contains(kv.first);
    });
  }
  if (marks_.size() <= kMost) return;
  std::erase_if(marks_, [&](const auto& kv) {
    const auto it = told_.find(kv.first);
    return !kv.second.held && (it == told_.end() || it->second.state == bus::State::kGone);
  });
}

}  // namespace anisewick::holds
