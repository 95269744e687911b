// The bytes of the disk tier's files. No I/O. Everything is little-endian; docs/design/disk-tier.md draws it.
//
// segment-%016x   a head of 64 bytes, records one after another, each on a multiple of 64; once it is sealed,
//                 a table of its live records and a tail of 64 bytes, which ends the file
// checkpoint      the index as it stood: a head, then per segment a block with its own checksum
// purges-%016x    the ledger: lines of 64 bytes, each with a checksum
// store           what the folder is, its version, and a number of its own
//
// Every record's checksums are seeded with the store's number and hold its segment and offset, so that a
// block left over from another file, or written to the wrong place, is not taken for a record.
#ifndef ANISEWICK_DISK_FORMAT_HPP_
#define ANISEWICK_DISK_FORMAT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/copy.hpp"
#include "purges/ledger.hpp"

namespace anisewick::disk {

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kUnit = 64;  // records begin on multiples of it
constexpr std::size_t kHead = 64;
constexpr std::size_t kLine = 64;  // of the ledger
constexpr std::size_t kTableEntry = 32;

// Where a record lies. `offset` is in units; a segment holds at most 2^32 of them.
struct Place {
  std::uint64_t segment = 0;
  std::uint32_t offset = 0;
  std::uint32_t size = 0;       // of the bytes
  std::uint8_t tag_bytes = 0;   // of the tag
  std::size_t length() const {  // on disk, in bytes
    return (kHead + tag_bytes + size + kUnit - 1) / kUnit * kUnit;
  }
  std::uint64_t at() const { return static_cast<std::uint64_t>(offset) * kUnit; }
};

// What the index holds of a record: 32 bytes in a segment's table and in the checkpoint.
struct Row {
  copies::Key key;
  std::int64_t born_ms = 0;
  int group = depot::kUnknownGroup;
  int rank = 0;
  Place place;
};

// A record as it is written; appended to `out`. The copy's tag is at most depot::kMostTag bytes.
void append_record(std::string& out, std::uint64_t store, const Place& place, const copies::Copy& copy);
// A record's head (at least kHead bytes): what it says, if its own checksum over head and tag holds. `bytes`
// must hold the tag too. `payload` is the checksum that the payload must have.
struct Head {
  copies::About about;
  Place place;
  std::uint64_t payload = 0;
};
std::optional<Head> head_from(std::string_view bytes, std::uint64_t store);
// True: this may be a head, judged by its first bytes alone.
bool head_begins(std::string_view bytes);
std::uint64_t payload_sum(std::string_view payload, std::uint64_t store);
// The head of a whole record, checked in full: it stands where it should, and its bytes are the ones that
// were written.
std::optional<Head> record_from(std::string_view bytes, std::uint64_t store, const Place& place);

std::string segment_name(std::uint64_t segment);
std::optional<std::uint64_t> segment_from(std::string_view name);
std::string ledger_name(std::uint64_t number);
std::optional<std::uint64_t> ledger_from(std::string_view name);

enum class Fit { kGood, kBad, kNewer };  // kNewer: of a version that we do not know

std::string segment_head(std::uint64_t store, std::uint64_t segment);
Fit segment_head_fits(std::string_view bytes, std::uint64_t store, std::uint64_t segment);

// The table and the tail, to be written at `at`, where the records end.
std::string segment_tail(std::uint64_t store, std::uint64_t segment, std::uint64_t at,
                         const std::vector<Row>& rows);
struct Tail {
  std::uint64_t at = 0;  // where the table begins and the records end
  std::uint32_t rows = 0;
  std::uint64_t sum = 0;  // of the table
};
// From the last kHead bytes of a segment.
std::optional<Tail> tail_from(std::string_view bytes, std::uint64_t store, std::uint64_t segment);
// False: the table is not the one that the tail was written for.
bool table_from(std::string_view bytes, const Tail& tail, std::uint64_t store, std::uint64_t segment,
                std::vector<Row>& rows);

// The checkpoint's head; blocks follow.
std::string checkpoint_head(std::uint64_t store, std::uint64_t blocks);
Fit checkpoint_head_fits(std::string_view bytes, std::uint64_t store, std::uint64_t& blocks);
struct Block {
  std::uint64_t segment = 0;
  std::uint64_t covered = 0;  // bytes of the segment whose records are in it
  std::vector<Row> rows;
};
std::string block_bytes(std::uint64_t store, const Block& block);
// Takes one block off the front. False: damaged, and nothing after it can be trusted to begin where it
// should.
bool block_from(std::string_view& bytes, std::uint64_t store, Block& block);

std::string ledger_head(std::uint64_t store, std::uint64_t number);
Fit ledger_head_fits(std::string_view bytes, std::uint64_t store);
std::string ledger_line(std::uint64_t store, const purges::Entry& entry);
std::optional<purges::Entry> ledger_entry(std::string_view line, std::uint64_t store);

std::string store_bytes(std::uint64_t store, std::uint32_t version = kVersion);
Fit store_from(std::string_view bytes, std::uint64_t& store);

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_FORMAT_HPP_
