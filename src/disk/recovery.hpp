// What a store finds in its folder when it starts. Blocks; runs on a worker, and touches nothing that the
// loop uses until it is done.
#ifndef ANISEWICK_DISK_RECOVERY_HPP_
#define ANISEWICK_DISK_RECOVERY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "disk/files.hpp"
#include "disk/index.hpp"
#include "purges/continuity.hpp"
#include "purges/ledger.hpp"

namespace anisewick::disk {

struct Recovered {
  enum class State { kOn, kReadOnly, kOff };
  State state = State::kOn;
  std::string line;       // why it is not on, in one line
  bool unlocked = false;  // nothing may be written in this life
  std::uint64_t store = 0;
  std::unique_ptr<Index> index;
  struct Segment {
    std::shared_ptr<File> file;
    std::uint64_t bytes = 0;
    std::uint64_t records = 0;  // where its records end
  };
  std::map<std::uint64_t, Segment> segments;
  std::uint64_t next_segment = 1;
  std::uint64_t next_ledger = 1;
  purges::Ledger ledger;
  purges::Witness witness;
  std::vector<std::uint64_t> ledgers;  // files that were read, oldest first
  std::size_t ledger_lines = 0;
  // How it came about.
  std::uint64_t by_checkpoint = 0, by_table = 0, by_scan = 0;  // segments
  std::uint64_t torn = 0;                                      // places where a record is damaged or cut off
  std::uint64_t voided = 0;                                    // records that fall to a purge
  bool checkpoint_bad = false, ledger_bad = false;
};

struct RecoveryLimits {
  std::size_t most_parts = 0;
  std::size_t most_objects = 65536;  // of the ledger
};

// `fresh_store`: the number that a new store gets.
Recovered recover(Files& files, const RecoveryLimits& limits, std::uint64_t fresh_store);

// The records of a segment from `from` to the end of the file, each checked in full; damaged places are
// passed over in steps of kUnit and counted. Gives where the last good record ends.
std::uint64_t scan_segment(File& file, std::uint64_t store, std::uint64_t segment, std::uint64_t from,
                           std::vector<Row>& rows, std::uint64_t& torn);

// The record at this place. Nothing, and `error` 0: what stands there is not it, or not whole.
std::optional<copies::Copy> read_record(File& file, std::uint64_t store, const Place& place, int& error);

std::string what_error(int error);  // of a negative errno, in words

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_RECOVERY_HPP_
