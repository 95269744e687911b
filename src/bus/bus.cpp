#include "bus/bus.hpp"

namespace anisewick::bus {
namespace {

constexpr std::size_t kLength = 4;
constexpr std::size_t kHead = 9;  // number and kind
constexpr std::size_t kRecord = 27;
constexpr std::size_t kMostFrame = kHead + 65536 * kRecord;

// Takes big-endian numbers off the front; the caller has checked that they are there.
std::uint64_t take(std::string_view& bytes, std::size_t n) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < n; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  bytes.remove_prefix(n);
  return value;
}

bool depots_from(std::string_view payload, std::vector<Depot>& out) {
  if (payload.size() % kRecord != 0) return false;
  while (!payload.empty()) {
    Depot d;
    d.id = static_cast<std::uint32_t>(take(payload, 4));
    d.address = static_cast<std::uint32_t>(take(payload, 4));
    d.port = static_cast<std::uint16_t>(take(payload, 2));
    const std::uint64_t state = take(payload, 1);
    if (state > 2) return false;
    d.state = static_cast<State>(state);
    d.zone = static_cast<int>(take(payload, 1));
    d.kind = static_cast<int>(take(payload, 1));
    d.cell = static_cast<int>(take(payload, 2));
    d.weight = static_cast<double>(take(payload, 4)) / 1000.0;
    d.started_ms = static_cast<std::int64_t>(take(payload, 8));
    out.push_back(d);
  }
  return true;
}

bool event_from(std::string_view frame, Event& event) {
  event.number = take(frame, 8);
  const std::uint64_t kind = take(frame, 1);
  if (kind > 4) return true;  // a kind not known yet: its number counts, the rest says nothing to us
  event.kind = static_cast<Event::Kind>(kind);
  switch (event.kind) {
    case Event::Kind::kNothing:
      return true;
    case Event::Kind::kWholeList:
    case Event::Kind::kChanges:
      return depots_from(frame, event.depots);
    case Event::Kind::kObjectPurge:
      if (frame.size() != 16) return false;
      event.object = take(frame, 8);
      break;
    case Event::Kind::kGroupPurge:
      if (frame.size() != 10) return false;
      event.group = static_cast<int>(take(frame, 2));
      break;
  }
  event.purged_ms = static_cast<std::int64_t>(take(frame, 8));
  return true;
}

}  // namespace

std::string hello_bytes(std::uint64_t last_number) {
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(last_number >> shift & 0xff));
  return out;
}

std::string frame_bytes(const Event& event) {
  std::string out;
  const auto put = [&](std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  };
  std::size_t payload = event.depots.size() * kRecord;
  if (event.kind == Event::Kind::kObjectPurge) payload = 16;
  if (event.kind == Event::Kind::kGroupPurge) payload = 10;
  put(kHead + payload, 4);
  put(event.number, 8);
  put(static_cast<std::uint64_t>(event.kind), 1);
  if (event.kind == Event::Kind::kObjectPurge) put(event.object, 8);
  if (event.kind == Event::Kind::kGroupPurge) put(static_cast<std::uint64_t>(event.group), 2);
  if (event.kind == Event::Kind::kObjectPurge || event.kind == Event::Kind::kGroupPurge)
    put(static_cast<std::uint64_t>(event.purged_ms), 8);
  for (const Depot& d : event.depots) {
    put(d.id, 4);
    put(d.address, 4);
    put(d.port, 2);
    put(static_cast<std::uint64_t>(d.state), 1);
    put(static_cast<std::uint64_t>(d.zone), 1);
    put(static_cast<std::uint64_t>(d.kind), 1);
    put(static_cast<std::uint64_t>(d.cell), 2);
    put(static_cast<std::uint64_t>(d.weight * 1000.0), 4);
    put(static_cast<std::uint64_t>(d.started_ms), 8);
  }
  return out;
}

bool FrameReader::feed(std::string_view bytes, std::vector<Event>& out) {
  pending_.append(bytes);
  std::string_view rest = pending_;
  while (rest.size() >= kLength) {
    std::string_view body = rest;
    const std::uint64_t length = take(body, kLength);
    if (length < kHead || length > kMostFrame) return false;
    if (body.size() < length) break;
    Event event;
    if (!event_from(body.substr(0, length), event)) return false;
    out.push_back(std::move(event));
    rest.remove_prefix(kLength + length);
  }
  pending_.erase(0, pending_.size() - rest.size());
  return true;
}

}  // namespace anisewick::bus
