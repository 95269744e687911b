#include "links/watch_plan.hpp"

#include <algorithm>

namespace anisewick::links {
namespace {

using std::chrono::milliseconds;

// Events count as told while we are away, and a drain must be applied within 250 ms: so these are short.
constexpr milliseconds kConnectPatience{200};
constexpr milliseconds kPause{20};
// A long list may come in pieces. One that is not whole by then may have broken off, even if bytes come that
// seem to belong to it.
constexpr milliseconds kFramePatience{4000};

}  // namespace

WatchPlan::Id WatchPlan::opened(Time now) {
  Watch watch;
  watch.id = ++last_id_;
  watch.heard = now;
  watches_.push_back(watch);
  again_ = false;
  return watch.id;
}

void WatchPlan::up(Id id, Time now) {
  Watch* watch = find(id);
  if (watch == nullptr) return;
  watch->up = true;
  watch->heard = now;
}

void WatchPlan::heard(Id id, bool midway, Time now) {
  Watch* watch = find(id);
  if (watch == nullptr) return;
  watch->heard = now;
  if (!midway) {
    watch->frame_began.reset();
  } else if (!watch->frame_began) {
    watch->frame_began = now;
  }
}

std::vector<WatchPlan::Id> WatchPlan::told(Id id, Time now) {
  Watch* watch = find(id);
  if (watch == nullptr) return {};
  watch->heard = now;
  watch->frame_began.reset();
  current_ = id;
  silence_told_ = again_ = false;
  silence_ = kFirstSilence;
  slowness_ = kFirstSlowness;
  std::vector<Id> others;
  for (const Watch& other : watches_) {
    if (other.id != id) others.push_back(other.id);
  }
  for (const Id other : others) forget(other);
  return others;
}

void WatchPlan::ended(Id id, Time now) {
  if (find(id) == nullptr) return;
  const bool newest = watches_.back().id == id;
  forget(id);
  if (!newest) return;
  again_ = true;
  again_at_ = now + kPause;
}

WatchPlan::Due WatchPlan::due(Time now) {
  Due due;
  if (again_) {
    due.open = now >= again_at_;
  } else if (now >= patience_ends(watches_.back())) {
    due.open = true;
    const bool told_last = watches_.back().id == current_;
    due.fell_silent = told_last && !silence_told_;
    silence_told_ = silence_told_ || told_last;
    if (watches_.back().up) silence_ = std::min(2 * silence_, kMostSilence);
  }
  if (watches_.size() > 1 && now - watches_.front().heard >= slowness_) {
    due.close.push_back(watches_.front().id);
    slowness_ = std::min(2 * slowness_, kMostSlowness);
  } else if (due.open && watches_.size() >= kMostWatches) {
    due.close.push_back(watches_.back().id);
  }
  for (const Id id : due.close) forget(id);
  again_ = again_ || due.open;
  return due;
}

WatchPlan::Time WatchPlan::next_look() const {
  const Time quick = again_ ? again_at_ : patience_ends(watches_.back());
  if (watches_.size() <= 1) return quick;
  return std::min(quick, watches_.front().heard + slowness_);
}

WatchPlan::Watch* WatchPlan::find(Id id) {
  const auto it = std::find_if(watches_.begin(), watches_.end(), [&](const Watch& w) { return w.id == id; });
  return it == watches_.end() ? nullptr : &*it;
}

WatchPlan::Time WatchPlan::patience_ends(const Watch& newest) const {
  if (!newest.up) return newest.heard + kConnectPatience;
  const Time silent = newest.heard + silence_;
  return newest.frame_began ? std::min(silent, *newest.frame_began + kFramePatience) : silent;
}

void WatchPlan::forget(Id id) {
  std::erase_if(watches_, [&](const Watch& w) { return w.id == id; });
  if (current_ == id) current_ = 0;
}

}  // namespace anisewick::links
