#include "standin/histories.hpp"

#include <set>
#include <stdexcept>
#include <utility>

namespace anisewick::standin {
namespace {

using Kind = Operation::Kind;
using End = Operation::End;

struct Search {
  const std::vector<Operation>& all;
  std::set<std::pair<std::uint64_t, std::string>> met;

  bool from(std::uint64_t done, const std::string& value) {
    std::int64_t first_answer = std::numeric_limits<std::int64_t>::max();
    bool over = true;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if ((done >> i & 1) != 0 || all[i].end == End::kUnknown) continue;
      over = false;
      first_answer = std::min(first_answer, all[i].answered);
    }
    if (over) return true;  // those without an answer need not have happened
    if (!met.insert({done, value}).second) return false;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const Operation& op = all[i];
      if ((done >> i & 1) != 0 || op.called > first_answer) continue;
      const std::uint64_t with = done | std::uint64_t{1} << i;
      const bool sets = op.kind == Kind::kCompareAndSet && op.expected == value;
      if (op.end == End::kUnknown) {
        if (sets && from(with, op.written)) return true;
      } else if (op.end == End::kDone) {
        if (sets && from(with, op.written)) return true;
      } else if (op.found == value && !sets) {
        if (from(with, value)) return true;
      }
    }
    return false;
  }
};

}  // namespace

bool linearizable(const std::vector<Operation>& history) {
  if (history.size() > 64) throw std::length_error("a history of over 64 operations");
  return Search{history, {}}.from(0, "");
}

}  // namespace anisewick::standin
