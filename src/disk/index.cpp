#include "disk/index.hpp"

#include <algorithm>

namespace anisewick::disk {

Index::Index(std::size_t most) : most_(most) {
  constexpr std::size_t kShards = std::size_t{1} << kShardBits;
  sets_.reserve(kShards);
  for (std::size_t i = 0; i < kShards; ++i) {
    sets_.emplace_back(0, Hash{this}, Same{this});
    sets_.back().reserve(most / kShards + most / kShards / 20);  // they fill unevenly, by a few in a hundred
  }
  slabs_.reserve(most / kSlab + 1);
}

std::size_t Index::length(const Entry& e) {
  Place place;
  place.size = e.size;
  place.tag_bytes = e.tag_bytes;
  return place.length();
}

std::uint32_t Index::segment_place(std::uint64_t id) {
  const auto [it, fresh] = places_.try_emplace(id, 0);
  if (!fresh) return it->second;
  if (free_places_.empty()) {
    free_places_.push_back(static_cast<std::uint32_t>(segments_.size()));
    segments_.emplace_back();
  }
  it->second = free_places_.back();
  free_places_.pop_back();
  segments_[it->second] = Segment{};
  segments_[it->second].id = id;
  return it->second;
}

void Index::link(Slot slot, std::uint32_t place) {
  Entry& e = entry(slot);
  Segment& s = segments_[place];
  e.segment = place;
  e.before = kNone;
  e.next = s.first;
  if (s.first != kNone) entry(s.first).before = slot;
  s.first = slot;
  ++s.parts;
  s.live_bytes += length(e);
}

void Index::unlink(Slot slot) {
  const Entry& e = entry(slot);
  Segment& s = segments_[e.segment];
  (e.before == kNone ? s.first : entry(e.before).next) = e.next;
  if (e.next != kNone) entry(e.next).before = e.before;
  --s.parts;
  s.live_bytes -= length(e);
  if (e.asked > 0) s.hot_bytes -= length(e);
  if (s.parts == 0) {
    places_.erase(s.id);
    s.id = 0;
    free_places_.push_back(e.segment);
  }
}

bool Index::put(const Row& row) {
  if (const Slot held = find(row.key); held != kNone) {
    const Entry& e = entry(held);
    const std::uint64_t segment = segments_[e.segment].id;
    if (segment > row.place.segment || (segment == row.place.segment && e.offset >= row.place.offset)) {
      return false;
    }
    remove(held);
  }
  if (size() >= most_) return false;
  Slot slot = free_;
  if (slot != kNone) {
    free_ = entry(slot).next;
  } else {
    slot = used_++;
    if (slot / kSlab >= slabs_.size()) slabs_.push_back(std::make_unique_for_overwrite<Entry[]>(kSlab));
  }
  Entry& e = entry(slot);
  e.object = row.key.object;
  e.born_ms = row.born_ms;
  e.part = row.key.part;
  e.offset = row.place.offset;
  e.size = row.place.size & 0xffffff;
  e.rank = static_cast<std::uint32_t>(row.rank) & 3;
  e.asked = 0;
  e.group = static_cast<std::uint16_t>(row.group);
  e.tag_bytes = row.place.tag_bytes;
  link(slot, segment_place(row.place.segment));
  shard(row.key).insert(slot);
  ++size_;
  return true;
}

Index::Slot Index::find(const copies::Key& key) const {
  const Set& set = shard(key);
  const auto it = set.find(key);
  return it == set.end() ? kNone : *it;
}

Row Index::row(Slot slot) const {
  const Entry& e = entry(slot);
  Row row;
  row.key = {e.object, e.part};
  row.born_ms = e.born_ms;
  row.group = e.group;
  row.rank = static_cast<int>(e.rank);
  row.place = {segments_[e.segment].id, e.offset, e.size, e.tag_bytes};
  return row;
}

void Index::remove(Slot slot) {
  shard({entry(slot).object, entry(slot).part}).erase(slot);
  --size_;
  unlink(slot);
  entry(slot).next = free_;
  free_ = slot;
}

void Index::ask(Slot slot) {
  Entry& e = entry(slot);
  if (e.asked == 0) segments_[e.segment].hot_bytes += length(e);
  if (e.asked < 15) ++e.asked;
}

void Index::confirm(Slot slot, std::int64_t born_ms) {
  Entry& e = entry(slot);
  e.born_ms = std::max(e.born_ms, born_ms);
}

const Index::Segment* Index::segment(std::uint64_t id) const {
  const auto it = places_.find(id);
  return it == places_.end() ? nullptr : &segments_[it->second];
}

std::vector<Index::Slot> Index::slots_of(std::uint64_t id) const {
  std::vector<Slot> out;
  const Segment* s = segment(id);
  if (s == nullptr) return out;
  out.reserve(s->parts);
  for (Slot slot = s->first; slot != kNone; slot = entry(slot).next) out.push_back(slot);
  return out;
}

std::vector<Row> Index::rows_of(std::uint64_t id) const {
  std::vector<Row> out;
  for (const Slot slot : slots_of(id)) out.push_back(row(slot));
  return out;
}

void Index::drop(std::uint64_t id) {
  for (const Slot slot : slots_of(id)) remove(slot);
}

std::size_t Index::bytes() const {
  std::size_t sets = 0;
  for (const Set& set : sets_) sets += set.capacity();
  return slabs_.size() * kSlab * sizeof(Entry) + slabs_.capacity() * sizeof(slabs_.front()) +
         sets * (sizeof(Slot) + 1) + segments_.capacity() * sizeof(Segment) +
         places_.capacity() * (sizeof(std::uint64_t) + 9);
}

}  // namespace anisewick::disk
