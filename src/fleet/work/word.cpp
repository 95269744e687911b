#include "fleet/work/word.hpp"

#include <algorithm>

#include "fleet/work/board.hpp"
#include "work.pb.h"

namespace anisewick::work {
namespace {
constexpr std::size_t kLeastIll = 2;  // doormen whom a depot gives no answer, where there are as many
constexpr std::size_t kIllShare = 8;  // one attempt more is needed for so many doormen
}  // namespace

const Line* Word::of(const std::string& machine) const {
  const auto it =
      std::find_if(lines.begin(), lines.end(), [&](const Line& l) { return l.machine == machine; });
  return it == lines.end() ? nullptr : &*it;
}

// One alone may be cut off from it. Of several, each asks a depot that failed more and more seldom, so what
// they saw is taken together: where one attempt in a hundred fails, as many as are asked for here are the
// last ones of their doormen at a time once in some ten thousand looks, however many doormen there are. Where
// few of many ask it at all, two who are sure are enough.
bool ill(std::size_t speak, const std::vector<std::uint32_t>& in_a_row) {
  if (in_a_row.size() < std::min(kLeastIll, speak)) return false;
  std::size_t failed = 0, sure = 0;
  for (const std::uint32_t n : in_a_row) {
    failed += std::min(n, kInARow);
    sure += n >= kInARow;
  }
  const std::size_t needed = kInARow - 1 + (speak + kIllShare - 1) / kIllShare;
  return failed >= needed || sure >= kLeastIll;
}

std::string encode(const Word& word) {
  wire::WorkWord w;
  w.set_number(word.number);
  w.set_session(word.session);
  w.set_up(word.up);
  w.set_idle(word.idle);
  for (const Line& l : word.lines) {
    auto& out = *w.add_lines();
    out.set_machine(l.machine);
    if (l.open != 0) out.set_open(l.open);
    if (l.needed) out.set_needed(true);
    if (l.born_ms != 0) out.set_born_ms(l.born_ms);
    out.set_answers(l.answers);
    out.set_fills(l.fills);
    if (l.gone) out.set_gone(true);
  }
  for (const auto& [depot, in_a_row] : word.ill) {
    w.add_ill(depot);
    w.add_in_a_row(in_a_row);
  }
  return w.SerializeAsString();
}

std::optional<Word> word_from(const std::string& bytes) {
  wire::WorkWord w;
  if (!w.ParseFromString(bytes) || w.lines_size() > static_cast<int>(kMostActive) ||
      w.ill_size() > static_cast<int>(kMostIll)) {
    return std::nullopt;
  }
  Word word;
  word.number = w.number();
  word.session = w.session();
  word.up = w.up();
  word.idle = w.idle();
  for (const auto& in : w.lines()) {
    word.lines.push_back(
        {in.machine(), in.open(), in.needed(), in.born_ms(), in.answers(), in.fills(), in.gone()});
  }
  // An older version told only those with as many as make one ill.
  for (int i = 0; i < w.ill_size(); ++i) {
    word.ill.emplace_back(w.ill(i), i < w.in_a_row_size() ? w.in_a_row(i) : kInARow);
  }
  return word;
}

}  // namespace anisewick::work
