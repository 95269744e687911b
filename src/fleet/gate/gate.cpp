#include "fleet/gate/gate.hpp"

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::gate {

using agreement::Mistake;
using agreement::mistaken;

Gate::Verdict Gate::look(const std::string& duty, std::uint64_t term) {
  const auto it = terms_.find(duty);
  if (it == terms_.end()) {
    if (terms_.size() >= kMostDuties) return Verdict::kRefuse;
    terms_.emplace(duty, term);
    return Verdict::kRaised;
  }
  if (term < it->second) {
    if (mistaken(Mistake::kGateOpen)) return Verdict::kHeed;
    ++refused_;
    return Verdict::kRefuse;
  }
  if (term == it->second) return Verdict::kHeed;
  it->second = term;
  return Verdict::kRaised;
}

std::uint64_t Gate::highest(const std::string& duty) const {
  const auto it = terms_.find(duty);
  return it == terms_.end() ? 0 : it->second;
}

}  // namespace anisewick::gate
