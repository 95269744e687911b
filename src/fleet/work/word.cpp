#include "fleet/work/word.hpp"

#include <algorithm>

#include "fleet/work/board.hpp"
#include "work.pb.h"

namespace anisewick::work {

const Line* Word::of(const std::string& machine) const {
  const auto it =
      std::find_if(lines.begin(), lines.end(), [&](const Line& l) { return l.machine == machine; });
  return it == lines.end() ? nullptr : &*it;
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
  for (const std::string& depot : word.ill) w.add_ill(depot);
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
  word.ill.assign(w.ill().begin(), w.ill().end());
  return word;
}

}  // namespace anisewick::work
