#include "fleet/work/library.hpp"

#include <algorithm>

namespace anisewick::work {
namespace {
constexpr std::int64_t kAgainMs = 300;      // between two reads of a board
constexpr std::int64_t kPartAgainMs = 100;  // of a part that has not come
}  // namespace

std::vector<std::string> Library::due(std::int64_t now_ms) {
  std::vector<std::string> out;
  if (now_ms > until_ms_) return out;
  const auto ask = [&](const std::string& key, std::int64_t gap) {
    const auto [it, fresh] = asked_ms_.try_emplace(key, now_ms);
    if (!fresh && now_ms < it->second + gap) return;
    it->second = now_ms;
    out.push_back(key);
  };
  for (std::size_t s = 0; s < kSlots; ++s) {
    ask(board_key(s), kAgainMs);
    const Board& b = boards_[s].board;
    if (b.phase < Phase::kRunning || job(s) != nullptr) continue;
    for (std::size_t p = 0; p < b.parts; ++p) {
      if (boards_[s].parts[p].job != b.job) ask(part_key(s, p), kPartAgainMs);
    }
  }
  return out;
}

void Library::took(const std::string& key, const std::string& value, std::int64_t asked_ms) {
  for (std::size_t s = 0; s < kSlots; ++s) {
    Slot& slot = boards_[s];
    if (key == board_key(s)) {
      const auto board = board_from(value);
      if (!board) return;
      if (board->version >= slot.board.version) slot.board = *board;
      slot.read_ms = std::max(slot.read_ms, asked_ms);
      return;
    }
    for (std::size_t p = 0; p < kParts; ++p) {
      if (key != part_key(s, p)) continue;
      if (auto part = part_from(value)) slot.parts[p] = std::move(*part);
      return;
    }
  }
}

std::int64_t Library::read_ms() const {
  std::int64_t oldest = boards_[0].read_ms;
  for (const Slot& s : boards_) oldest = std::min(oldest, s.read_ms);
  return oldest;
}

const Job* Library::job(std::size_t s) const {
  const Slot& slot = boards_[s];
  if (slot.board.job == 0) return nullptr;
  if (slot.of == slot.board.job) return slot.job ? &*slot.job : nullptr;
  std::string bytes;
  for (std::size_t p = 0; p < slot.board.parts; ++p) {
    if (slot.parts[p].job != slot.board.job) return nullptr;
    bytes += slot.parts[p].bytes;
  }
  slot.of = slot.board.job;
  slot.job = job_from(bytes);
  return slot.job ? &*slot.job : nullptr;
}

std::optional<std::size_t> Library::slot_by(std::uint64_t job) const {
  for (std::size_t s = 0; s < kSlots && job != 0; ++s) {
    if (boards_[s].board.job == job) return s;
  }
  return std::nullopt;
}

std::optional<std::size_t> Library::slot_of(const std::string& name) const {
  std::optional<std::size_t> ended, going;
  for (std::size_t s = 0; s < kSlots; ++s) {
    const Board& b = boards_[s].board;
    if (b.phase == Phase::kNone || b.name != name) continue;
    if (b.phase != Phase::kEnded) {
      // A changed file goes before the one that it follows, once it is there.
      if (!going || (b.after != 0 && b.phase >= Phase::kRunning) ||
          boards_[*going].board.phase == Phase::kClaimed)
        going = s;
      continue;
    }
    if (!ended || boards_[*ended].board.since_ms < b.since_ms) ended = s;
  }
  return going ? going : ended;
}

}  // namespace anisewick::work
