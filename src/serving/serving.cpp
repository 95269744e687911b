#include "serving/serving.hpp"

#include <algorithm>

namespace anisewick::serving {

std::int64_t least_birth(const Class& cls, std::int64_t oldest_ms, std::int64_t now_ms) {
  if (cls.fresh_ms <= 0) return oldest_ms > 0 ? now_ms - oldest_ms : 0;
  const std::int64_t most = cls.fresh_ms + cls.grace_ms;
  return now_ms - (oldest_ms > 0 ? std::min(oldest_ms, most) : cls.fresh_ms);
}

Judgement judge(const copies::About& about, bool doubtful, const Class& cls, const depot::Request& request,
                const purges::Ledger& ledger, std::int64_t now_ms) {
  // A group that the asker told goes before one that nobody had told when the copy was made.
  copies::About known = about;
  if (known.group == depot::kUnknownGroup) known.group = request.group;
  if (ledger.voids(known)) return {Fit::kVoid, false};
  if (doubtful || about.born_ms < least_birth(cls, request.oldest_ms, now_ms)) return {Fit::kAsk, false};
  if (cls.fresh_ms <= 0) return {Fit::kServe, false};
  const std::int64_t age = now_ms - about.born_ms;
  return {age > cls.fresh_ms ? Fit::kServeStale : Fit::kServe, age > cls.fresh_ms - cls.fresh_ms / 5};
}

std::int64_t Fill::time_for(std::int64_t now_ms) const {
  return std::max<std::int64_t>(0, std::min(limits_.timeout_ms, until_ms_ - now_ms));
}

void Fill::extend(std::int64_t until_ms) { until_ms_ = std::max(until_ms_, until_ms); }

Fill::Next Fill::again(const Refusal& else_with, std::int64_t now_ms, std::minstd_rand& random, bool plain) {
  const std::int64_t base = limits_.pause_ms << std::min(tries_ - 1, 6);
  // Between a half and the whole of the step, so that boxes that failed together do not come back together.
  const std::int64_t pause =
      base / 2 + static_cast<std::int64_t>(random() % static_cast<unsigned>(base / 2 + 1));
  if (tries_ >= limits_.tries || now_ms + pause >= until_ms_) return {What::kOver, 0, false, else_with};
  ++tries_;
  return {What::kAgain, pause, plain, {}};
}

Fill::Next Fill::failed(End end, int remark, std::int64_t now_ms, std::minstd_rand& random) {
  using depot::Word;
  switch (end) {
    case End::kLacks:
      return {What::kOver, 0, false, {Word::kLack, kSrcLacks}};
    case End::kFull:
      // Turned away unseen: it never ran, there or here.
      return again({Word::kWait, kSrcRefused}, now_ms, random, false);
    case End::kUnreached:
      return again({Word::kWait, kSrcBroke}, now_ms, random, false);
    case End::kOver:
      return {What::kOver, 0, false, {Word::kPast, 0}};
    case End::kBroke: {
      const bool behind = !from_origin_ && (remark == kOriginFailed || remark == kSrcBroke);
      const Refusal refusal{Word::kBroke, behind ? kOriginFailed : kSrcBroke};
      if (write_) return {What::kOver, 0, false, refusal};
      return again(refusal, now_ms, random, false);
    }
    case End::kLate:
    case End::kReset:
    case End::kServed:
      break;
  }
  const Refusal refusal{Word::kBroke, kSrcBroke};
  if (write_) return {What::kOver, 0, false, refusal};
  return again(refusal, now_ms, random, false);
}

Fill::Next Fill::too_old(std::int64_t now_ms, std::minstd_rand& random) {
  return again({depot::Word::kLack, kSrcLacks}, now_ms, random, true);
}

std::int64_t Pacer::book(Transfer& transfer, std::size_t bytes, std::int64_t now_us) {
  const auto step = [&](std::int64_t& free_at, std::uint64_t rate) {
    if (rate == 0) return now_us;
    const std::int64_t at = std::max(free_at, now_us);
    free_at = at + static_cast<std::int64_t>(bytes * std::uint64_t{1'000'000} / rate);
    return at;
  };
  const std::int64_t mine = step(transfer.free_at_us, flow_);
  return std::max(mine, step(link_free_at_us_, link_));
}

double Pacer::load(std::int64_t now_us) const {
  return link_ == 0 ? 0.0 : static_cast<double>(std::max<std::int64_t>(0, link_free_at_us_ - now_us)) / 1e6;
}

}  // namespace anisewick::serving
