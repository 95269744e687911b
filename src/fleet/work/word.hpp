// What a doorman says of the picture that it heeds: to the owner, in one message. No I/O.
#ifndef ANISEWICK_FLEET_WORK_WORD_HPP_
#define ANISEWICK_FLEET_WORK_WORD_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anisewick::work {

// What a doorman sees of a machine.
struct Line {
  std::string machine;
  std::uint32_t open = 0;  // attempts that may reach it
  bool needed = false;     // there is too little else: it is used all the same
  std::int64_t born_ms = 0;
  std::uint64_t answers = 0, fills = 0;  // since the doorman was started
  bool gone = false;                     // from the list
  bool operator==(const Line&) const = default;
};
struct Word {
  std::uint64_t number = 0;   // of the picture; it is on disk
  std::uint64_t session = 0;  // of the process
  bool up = false;            // in service: started, caught up and in no drain
  bool idle = false;          // in a drain, with nothing open
  std::vector<Line> lines;    // of machines in progress
  // Depots that give it no answer, whatever the bus says, and its attempts in a row that got none.
  std::vector<std::pair<std::string, std::uint32_t>> ill;
  const Line* of(const std::string& machine) const;
};

// Whether a depot is ill, by the attempts in a row that got no answer of it at each doorman of whom it is
// said; `speak`: doormen who say anything at present.
bool ill(std::size_t speak, const std::vector<std::uint32_t>& in_a_row);

std::string encode(const Word& word);
std::optional<Word> word_from(const std::string& bytes);

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_WORD_HPP_
