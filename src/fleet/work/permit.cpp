#include "fleet/work/permit.hpp"

#include <algorithm>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::work {

using agreement::Mistake;
using agreement::mistaken;

namespace {
constexpr std::int64_t kGapMs = 100;  // between two reads while there is none yet, or news is spoken of
}

bool Permit::read(const Now& now, std::int64_t asked_ms, std::int64_t now_ms) {
  if (ever_ && now.number < now_.number) return false;  // an older read that came late
  const std::int64_t from = mistaken(Mistake::kPermitFromAnswer) ? now_ms : asked_ms;
  const std::int64_t until = from + times_.permit_ms - times_.permit_ms * times_.drift_ppm / 1'000'000 - 1;
  until_ms_ = std::max(until_ms_, until);
  read_ms_ = std::max(read_ms_, asked_ms);
  const bool news = !ever_ || now.number != now_.number;
  ever_ = true;
  if (news) now_ = now;
  return news;
}

bool Permit::due(std::int64_t now_ms) const {
  if (now_ms < asked_ms_ + kGapMs / 5) return false;
  if (!ever_ || spoken_of_ > now_.number) return now_ms >= asked_ms_ + kGapMs;
  return !now_.active.empty() && now_ms >= std::max(read_ms_, asked_ms_) + times_.permit_ms / 4;
}

std::vector<std::string> Permit::left(std::int64_t now_ms) const {
  const bool permitted = valid(now_ms) || mistaken(Mistake::kPermitNeverEnds);
  std::vector<std::string> out;
  for (const Active& a : now_.active) {
    if (a.kind == Kind::kDoorman) continue;
    if (left_alone(a.state) || (announced(a.state) && !permitted)) out.push_back(a.machine);
  }
  return out;
}

}  // namespace anisewick::work
