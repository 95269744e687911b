// The jobs as they stand in the registers, as far as they were read: by the owner all the while, by another
// doorman while somebody wants to see them or has called something. No I/O, no clock; one owner, one thread.
#ifndef ANISEWICK_FLEET_WORK_LIBRARY_HPP_
#define ANISEWICK_FLEET_WORK_LIBRARY_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/work/board.hpp"
#include "fleet/work/job.hpp"

namespace anisewick::work {

class Library {
 public:
  // Boards are read again after so long; until `until_ms`.
  void want(std::int64_t until_ms) { until_ms_ = std::max(until_ms_, until_ms); }
  std::vector<std::string> due(std::int64_t now_ms);
  void again(const std::string& key) { asked_ms_.erase(key); }
  // What a read or a change found, begun at `asked_ms`.
  void took(const std::string& key, const std::string& value, std::int64_t asked_ms);

  const Board& board(std::size_t slot) const { return boards_[slot].board; }
  std::optional<std::size_t> slot_by(std::uint64_t job) const;  // 0: nothing
  // The oldest begin of the last reads of all boards; -1: not all were read.
  std::int64_t read_ms() const;
  // Nothing: not all parts of it were read, or they are another job's.
  const Job* job(std::size_t slot) const;
  std::optional<std::size_t> slot_of(const std::string& name) const;  // of a job that has not ended first

 private:
  struct Slot {
    Board board;
    std::int64_t read_ms = -1;
    std::array<Part, kParts> parts;
    mutable std::uint64_t of = 0;  // `job` is of this one
    mutable std::optional<Job> job;
  };
  std::array<Slot, kSlots> boards_;
  std::map<std::string, std::int64_t> asked_ms_;
  std::int64_t until_ms_ = -1;
};

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_LIBRARY_HPP_
