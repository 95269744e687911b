#include "fleet/evidence/evidence.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anisewick::evidence {
namespace {

constexpr int kRemarkHit = 1, kRemarkStale = 5;  // the depots' notes on an answer that needed no fill
constexpr std::uint32_t kKnown = 20;             // answers, before anything is called late
constexpr double kSmooth = 0.05, kSlowly = 0.002;
constexpr double kTimes = 5.0, kMoreMs = 60.0;  // late: so many times the usual, and so much more
constexpr std::int64_t kRateMs = 1'000;
constexpr double kBestSeconds = 3'600.0;
constexpr double kOverdueMs = 250.0;  // nothing heard for less is no silence

}  // namespace

const char* word(Kind kind) {
  static const char* const kWords[] = {"well", "refused", "reset", "silent", "late", "overloaded"};
  return kWords[static_cast<std::size_t>(kind)];
}

std::uint64_t Tally::bad() const {
  std::uint64_t sum = 0;
  for (std::size_t k = 0; k < kKinds; ++k) sum += failed(static_cast<Kind>(k)) ? n[k] : 0;
  return sum;
}

void Evidence::Usual::add(double x, double weight) {
  // The first few make the mean; later ones move it.
  ms += std::max(weight, n < kKnown ? 1.0 / (n + 1) : 0.0) * (x - ms);
  if (n < kKnown) ++n;
}

double Evidence::limit(const Usual& usual) { return usual.n < kKnown ? 1e12 : kTimes * usual.ms + kMoreMs; }

void Evidence::began(std::uint64_t attempt, const std::string& zone, depot::Id depot, std::int64_t now_ms) {
  const auto it = zones_.find(zone);
  if (it == zones_.end() && zones_.size() >= kMostZones) return;
  Zone& z = zones_[zone];
  z.places[depot % kPlaces].asked_ms = now_ms;
  if (open_.size() < kMostOpen) open_[attempt] = {zone, depot, now_ms, false};
}

void Evidence::count(Zone& zone, depot::Id depot, Kind kind, std::int64_t now_ms) {
  ++zone.tally.n[static_cast<std::size_t>(kind)];
  zone.counted_ms = now_ms;
  if (failed(kind)) zone.places[depot % kPlaces].failed_ms = now_ms;
}

void Evidence::ended(std::uint64_t attempt, const Report& report, std::int64_t now_ms) {
  const auto it = open_.find(attempt);
  if (it == open_.end()) return;
  const Open o = it->second;
  open_.erase(it);
  Zone& zone = zones_[o.zone];
  const auto count = [&](Kind kind) {
    if (!o.silent) this->count(zone, o.depot, kind, now_ms);
  };
  const double ms = static_cast<double>(now_ms - o.at_ms);
  switch (report.end) {
    case End::kServed: {
      const bool hit = report.remark == kRemarkHit || report.remark == kRemarkStale;
      Usual& usual = hit ? zone.hit : zone.fill;
      const bool late = ms > limit(usual);
      // What is usual follows what is late only slowly: a zone that slowed down is not well an hour later.
      usual.add(ms, late ? kSlowly : kSmooth);
      if (!hit && !o.silent && !late) ++zone.tally.fills;
      return count(late ? Kind::kLate : Kind::kWell);
    }
    case End::kLacks:
      return count(Kind::kWell);
    case End::kFull:
      return count(Kind::kOverloaded);
    case End::kUnreached:
      return count(Kind::kRefused);
    case End::kReset:
      return count(Kind::kReset);
    case End::kLate:
      return count(Kind::kSilent);
    case End::kBroke:
    case End::kOver:
      return;
  }
}

void Evidence::tick(std::int64_t now_ms) {
  for (auto& [name, z] : zones_) {
    if (z.rated_ms >= 0 && now_ms < z.rated_ms + kRateMs) continue;
    if (z.rated_ms >= 0) {
      const double s = static_cast<double>(now_ms - z.rated_ms) / 1000.0,
                   faded = std::exp2(-s / kBestSeconds);
      z.best = std::max(z.best * faded, static_cast<double>(z.tally.well() - z.rated.well()) / s);
      z.best_fills = std::max(z.best_fills * faded, static_cast<double>(z.tally.fills - z.rated.fills) / s);
    }
    z.rated = z.tally;
    z.rated_ms = now_ms;
  }
  for (auto& [attempt, o] : open_) {
    const double ms = static_cast<double>(now_ms - o.at_ms);
    if (o.silent || ms < kOverdueMs) continue;
    Zone& zone = zones_[o.zone];
    // A fill may take what fills take; where none is known yet, its own time limit has to tell.
    if (ms <= std::max(zone.hit.n < kKnown ? 1e12 : 0.0,
                       std::max(limit(zone.hit), zone.fill.n < kKnown ? 0.0 : limit(zone.fill))))
      continue;
    o.silent = true;
    count(zone, o.depot, Kind::kSilent, now_ms);
  }
}

std::vector<Seen> Evidence::seen(std::int64_t now_ms) const {
  std::vector<Seen> out;
  for (const auto& [name, z] : zones_) {
    Seen s{name,
           z.tally,
           0,
           0,
           z.hit.n < kKnown ? 0.0 : z.hit.ms,
           z.best,
           z.best_fills,
           z.counted_ms < 0 ? 0 : static_cast<std::uint32_t>(now_ms - z.counted_ms)};
    for (const Place& p : z.places) {
      s.depots += now_ms - p.asked_ms <= kLatelyMs;
      s.failing += now_ms - p.failed_ms <= kLatelyMs;
    }
    out.push_back(std::move(s));
  }
  return out;
}

const Tally& Evidence::of(const std::string& zone) const {
  static const Tally kNone;
  const auto it = zones_.find(zone);
  return it == zones_.end() ? kNone : it->second.tally;
}

std::vector<Seen> Late::seen(std::vector<Seen> now, std::int64_t now_ms, std::int64_t late_ms) {
  all_.emplace_back(now_ms, std::move(now));
  while (all_.size() > kMost || (all_.size() > 1 && all_[1].first <= now_ms - late_ms)) all_.pop_front();
  if (all_.front().first > now_ms - late_ms) return {};
  std::vector<Seen> out = all_.front().second;
  for (Seen& s : out) s.age_ms += static_cast<std::uint32_t>(now_ms - all_.front().first);
  return out;
}

}  // namespace anisewick::evidence
