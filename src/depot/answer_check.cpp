#include "depot/answer_check.hpp"

namespace anisewick::depot {
namespace {

constexpr int kGroupNotTold = 0xffff;

bool names_the_copy(const RequestFacts& request, const Answer& answer) {
  return !request.seen.empty() && answer.tag == request.seen;
}

bool same_group(const RequestFacts& request, const Answer& answer) {
  if (request.group == kGroupNotTold || answer.group == kGroupNotTold) return true;
  return request.group == answer.group;
}

}  // namespace

bool answers(const RequestFacts& request, const Answer& answer) {
  if (!same_group(request, answer)) return false;
  switch (answer.word) {
    case Word::kDone:
      return true;
    case Word::kKeep:
      return answer.body.empty() && names_the_copy(request, answer);
    case Word::kLack:
    case Word::kWait:
    case Word::kBroke:
    case Word::kPast:
      return answer.body.empty();
  }
  return false;
}

}  // namespace anisewick::depot
