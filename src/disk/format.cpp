#include "disk/format.hpp"

#if defined(__x86_64__)
// The widest instructions that the machine has: beside the copy, the sum of a part is most of a read.
#include <xxh_x86dispatch.h>
#else
#include <xxhash.h>
#endif

#include <bit>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace anisewick::disk {
namespace {

static_assert(std::endian::native == std::endian::little, "the files are little-endian");

constexpr std::uint32_t kRecordMagic = 0x31525741;  // "AWR1"
constexpr std::uint64_t kSegmentMagic = 0x0047455357414EULL;
constexpr std::uint64_t kTailMagic = 0x004C494154574EULL;
constexpr std::uint64_t kCheckpointMagic = 0x00544E4F50574EULL;
constexpr std::uint64_t kBlockMagic = 0x004B434F4C574EULL;
constexpr std::uint64_t kStoreMagic = 0x0045524F5457414EULL;
constexpr std::uint64_t kLedgerMagic = 0x0052454744454CULL;
constexpr std::uint32_t kLineMagic = 0x314C5741;  // "AWL1"

template <typename T>
void put(char* at, T value) {
  std::memcpy(at, &value, sizeof value);
}
template <typename T>
T get(const char* at) {
  T value;
  std::memcpy(&value, at, sizeof value);
  return value;
}
std::uint64_t sum_of(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// The heads of files are alike: magic, version, two numbers, and a checksum over it all.
std::string file_head(std::uint64_t magic, std::uint64_t store, std::uint64_t a, std::uint64_t b = 0,
                      std::uint64_t c = 0, std::uint32_t version = kVersion) {
  std::string out(kHead, '\0');
  put(out.data(), magic);
  put(out.data() + 8, version);
  put(out.data() + 16, store);
  put(out.data() + 24, a);
  put(out.data() + 32, b);
  put(out.data() + 40, c);
  put(out.data() + 56, sum_of(std::string_view(out).substr(0, 56), store));
  return out;
}
Fit file_head_fits(std::string_view bytes, std::uint64_t magic, std::uint64_t store) {
  if (bytes.size() < kHead || get<std::uint64_t>(bytes.data()) != magic) return Fit::kBad;
  if (get<std::uint64_t>(bytes.data() + 16) != store) return Fit::kBad;
  if (get<std::uint64_t>(bytes.data() + 56) != sum_of(bytes.substr(0, 56), store)) return Fit::kBad;
  return get<std::uint32_t>(bytes.data() + 8) > kVersion ? Fit::kNewer : Fit::kGood;
}

void put_row(char* at, const Row& row) {
  put(at, row.key.object);
  put(at + 8, row.born_ms);
  put(at + 16, row.key.part);
  put(at + 20, row.place.offset);
  // The size of a part is under 2^24, and a rank under 4.
  put(at + 24, row.place.size | static_cast<std::uint32_t>(row.rank) << 24);
  put(at + 28, static_cast<std::uint16_t>(row.group));
  put(at + 30, row.place.tag_bytes);
  put(at + 31, std::uint8_t{0});
}
Row get_row(const char* at, std::uint64_t segment) {
  Row row;
  row.key.object = get<std::uint64_t>(at);
  row.born_ms = get<std::int64_t>(at + 8);
  row.key.part = get<std::uint32_t>(at + 16);
  row.place.segment = segment;
  row.place.offset = get<std::uint32_t>(at + 20);
  const auto packed = get<std::uint32_t>(at + 24);
  row.place.size = packed & 0xffffff;
  row.rank = static_cast<int>(packed >> 24 & 3);
  row.group = get<std::uint16_t>(at + 28);
  row.place.tag_bytes = get<std::uint8_t>(at + 30);
  return row;
}
std::string table_bytes(const std::vector<Row>& rows) {
  std::string out(rows.size() * kTableEntry, '\0');
  for (std::size_t i = 0; i < rows.size(); ++i) put_row(out.data() + i * kTableEntry, rows[i]);
  return out;
}
void rows_from(std::string_view bytes, std::uint64_t segment, std::vector<Row>& rows) {
  rows.reserve(rows.size() + bytes.size() / kTableEntry);
  for (std::size_t at = 0; at + kTableEntry <= bytes.size(); at += kTableEntry) {
    rows.push_back(get_row(bytes.data() + at, segment));
  }
}

std::string numbered(const char* format, std::uint64_t number) {
  char text[40];
  std::snprintf(text, sizeof text, format, static_cast<unsigned long long>(number));
  return text;
}
std::optional<std::uint64_t> number_after(std::string_view name, std::string_view prefix) {
  std::uint64_t number = 0;
  if (!name.starts_with(prefix) || name.size() != prefix.size() + 16) return std::nullopt;
  const auto r = std::from_chars(name.data() + prefix.size(), name.data() + name.size(), number, 16);
  if (r.ec != std::errc{} || r.ptr != name.data() + name.size()) return std::nullopt;
  return number;
}

}  // namespace

void append_record(std::string& out, std::uint64_t store, const Place& place, const copies::Copy& copy) {
  const std::size_t start = out.size();
  out.resize(start + kHead);
  out.append(copy.about.tag).append(*copy.bytes);
  out.resize(start + place.length());
  char* at = out.data() + start;
  put(at, kRecordMagic);
  put(at + 8, copy.about.key.object);
  put(at + 16, copy.about.key.part);
  put(at + 20, static_cast<std::uint16_t>(copy.about.group));
  put(at + 22, static_cast<std::uint8_t>(copy.about.rank));
  put(at + 23, place.tag_bytes);
  put(at + 24, copy.about.born_ms);
  put(at + 32, place.size);
  put(at + 36, place.offset);
  put(at + 40, payload_sum(*copy.bytes, store));
  put(at + 48, place.segment);
  put(at + 56, store);
  const auto sum = sum_of({at + 8, kHead - 8 + place.tag_bytes}, store);
  put(at + 4, static_cast<std::uint32_t>(sum));
}

bool head_begins(std::string_view bytes) {
  return bytes.size() >= 4 && get<std::uint32_t>(bytes.data()) == kRecordMagic;
}

std::uint64_t payload_sum(std::string_view payload, std::uint64_t store) { return sum_of(payload, ~store); }

std::optional<Head> head_from(std::string_view bytes, std::uint64_t store) {
  if (bytes.size() < kHead || !head_begins(bytes)) return std::nullopt;
  const char* at = bytes.data();
  const auto tag_bytes = get<std::uint8_t>(at + 23);
  if (tag_bytes > depot::kMostTag || bytes.size() < kHead + tag_bytes) return std::nullopt;
  const auto sum = sum_of(bytes.substr(8, kHead - 8 + tag_bytes), store);
  if (get<std::uint32_t>(at + 4) != static_cast<std::uint32_t>(sum)) return std::nullopt;
  Head head;
  head.about.key = {get<std::uint64_t>(at + 8), get<std::uint32_t>(at + 16)};
  head.about.group = get<std::uint16_t>(at + 20);
  head.about.rank = get<std::uint8_t>(at + 22);
  head.about.born_ms = get<std::int64_t>(at + 24);
  head.about.tag = std::string(bytes.substr(kHead, tag_bytes));
  head.place.segment = get<std::uint64_t>(at + 48);
  head.place.offset = get<std::uint32_t>(at + 36);
  head.place.size = get<std::uint32_t>(at + 32);
  head.place.tag_bytes = tag_bytes;
  head.payload = get<std::uint64_t>(at + 40);
  return head;
}

std::optional<Head> record_from(std::string_view bytes, std::uint64_t store, const Place& place) {
  auto head = head_from(bytes, store);
  if (!head || head->place.segment != place.segment || head->place.offset != place.offset ||
      head->place.size != place.size || bytes.size() < place.length()) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(kHead + place.tag_bytes, place.size);
  if (payload_sum(payload, store) != head->payload) return std::nullopt;
  return head;
}

std::string segment_name(std::uint64_t segment) { return numbered("segment-%016llx", segment); }
std::optional<std::uint64_t> segment_from(std::string_view name) { return number_after(name, "segment-"); }
std::string ledger_name(std::uint64_t number) { return numbered("purges-%016llx", number); }
std::optional<std::uint64_t> ledger_from(std::string_view name) { return number_after(name, "purges-"); }

std::string segment_head(std::uint64_t store, std::uint64_t segment) {
  return file_head(kSegmentMagic, store, segment);
}
Fit segment_head_fits(std::string_view bytes, std::uint64_t store, std::uint64_t segment) {
  const Fit fit = file_head_fits(bytes, kSegmentMagic, store);
  return fit == Fit::kGood && get<std::uint64_t>(bytes.data() + 24) != segment ? Fit::kBad : fit;
}

std::string segment_tail(std::uint64_t store, std::uint64_t segment, std::uint64_t at,
                         const std::vector<Row>& rows) {
  std::string out = table_bytes(rows);
  out.resize((out.size() + kUnit - 1) / kUnit * kUnit);
  const std::uint64_t sum = sum_of(std::string_view(out).substr(0, rows.size() * kTableEntry), store);
  return out + file_head(kTailMagic, store ^ segment, at, rows.size(), sum);
}
std::optional<Tail> tail_from(std::string_view bytes, std::uint64_t store, std::uint64_t segment) {
  if (file_head_fits(bytes, kTailMagic, store ^ segment) != Fit::kGood) return std::nullopt;
  Tail tail;
  tail.at = get<std::uint64_t>(bytes.data() + 24);
  const auto rows = get<std::uint64_t>(bytes.data() + 32);
  if (rows > 0xffffffff) return std::nullopt;
  tail.rows = static_cast<std::uint32_t>(rows);
  tail.sum = get<std::uint64_t>(bytes.data() + 40);
  return tail;
}
bool table_from(std::string_view bytes, const Tail& tail, std::uint64_t store, std::uint64_t segment,
                std::vector<Row>& rows) {
  if (bytes.size() < tail.rows * kTableEntry) return false;
  const std::string_view table = bytes.substr(0, tail.rows * kTableEntry);
  if (sum_of(table, store) != tail.sum) return false;
  rows_from(table, segment, rows);
  return true;
}

std::string checkpoint_head(std::uint64_t store, std::uint64_t blocks) {
  return file_head(kCheckpointMagic, store, blocks);
}
Fit checkpoint_head_fits(std::string_view bytes, std::uint64_t store, std::uint64_t& blocks) {
  const Fit fit = file_head_fits(bytes, kCheckpointMagic, store);
  if (fit == Fit::kGood) blocks = get<std::uint64_t>(bytes.data() + 24);
  return fit;
}
std::string block_bytes(std::uint64_t store, const Block& block) {
  const std::string table = table_bytes(block.rows);
  // The seed takes the segment and the count in, so that a table can't pass under another block's head.
  const std::uint64_t seed = store ^ block.segment;
  return file_head(kBlockMagic, seed, block.segment, block.covered,
                   block.rows.size() << 32 | (sum_of(table, seed) & 0xffffffff)) +
         table;
}
bool block_from(std::string_view& bytes, std::uint64_t store, Block& block) {
  if (bytes.size() < kHead) return false;
  block.segment = get<std::uint64_t>(bytes.data() + 24);
  const std::uint64_t seed = store ^ block.segment;
  if (file_head_fits(bytes, kBlockMagic, seed) != Fit::kGood) return false;
  block.covered = get<std::uint64_t>(bytes.data() + 32);
  const auto packed = get<std::uint64_t>(bytes.data() + 40);
  const std::size_t size = static_cast<std::size_t>(packed >> 32) * kTableEntry;
  if (bytes.size() - kHead < size) return false;
  const std::string_view table = bytes.substr(kHead, size);
  if ((sum_of(table, seed) & 0xffffffff) != (packed & 0xffffffff)) return false;
  block.rows.clear();
  rows_from(table, block.segment, block.rows);
  bytes.remove_prefix(kHead + size);
  return true;
}

std::string ledger_head(std::uint64_t store, std::uint64_t number) {
  return file_head(kLedgerMagic, store, number);
}
Fit ledger_head_fits(std::string_view bytes, std::uint64_t store) {
  return file_head_fits(bytes, kLedgerMagic, store);
}

std::string ledger_line(std::uint64_t store, const purges::Entry& entry) {
  std::string out(kLine, '\0');
  put(out.data(), kLineMagic);
  put(out.data() + 4, static_cast<std::uint32_t>(entry.kind));
  put(out.data() + 8, entry.what);
  put(out.data() + 16, entry.at_ms);
  put(out.data() + 24, entry.number);
  put(out.data() + 32, entry.digest);
  put(out.data() + 40, entry.sequence);
  put(out.data() + 56, sum_of(std::string_view(out).substr(0, 56), store));
  return out;
}
std::optional<purges::Entry> ledger_entry(std::string_view line, std::uint64_t store) {
  if (line.size() != kLine || get<std::uint32_t>(line.data()) != kLineMagic ||
      get<std::uint64_t>(line.data() + 56) != sum_of(line.substr(0, 56), store)) {
    return std::nullopt;
  }
  const auto kind = get<std::uint32_t>(line.data() + 4);
  if (kind < 1 || kind > 5) return std::nullopt;
  purges::Entry entry;
  entry.kind = static_cast<purges::Entry::Kind>(kind);
  entry.what = get<std::uint64_t>(line.data() + 8);
  entry.at_ms = get<std::int64_t>(line.data() + 16);
  entry.number = get<std::uint64_t>(line.data() + 24);
  entry.digest = get<std::uint64_t>(line.data() + 32);
  entry.sequence = get<std::uint64_t>(line.data() + 40);
  return entry;
}

std::string store_bytes(std::uint64_t store, std::uint32_t version) {
  return file_head(kStoreMagic, store, 0, 0, 0, version);
}
Fit store_from(std::string_view bytes, std::uint64_t& store) {
  if (bytes.size() < kHead) return Fit::kBad;
  store = get<std::uint64_t>(bytes.data() + 16);
  return file_head_fits(bytes, kStoreMagic, store);
}

}  // namespace anisewick::disk
