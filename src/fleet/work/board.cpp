#include "fleet/work/board.hpp"

#include <algorithm>
#include <functional>

#include "work.pb.h"

namespace anisewick::work {

const char* word(State state) {
  static const char* const kWords[] = {"waiting", "announced", "asked",   "draining", "out",    "back",
                                       "warming", "done",      "skipped", "failed",   "stopped"};
  return kWords[static_cast<std::size_t>(state)];
}
const char* word(Phase phase) {
  static const char* const kWords[] = {"none", "being taken", "running", "paused", "stopping", "ended"};
  return kWords[static_cast<std::size_t>(phase)];
}

const Active* Now::of(const std::string& machine) const {
  const auto it =
      std::find_if(active.begin(), active.end(), [&](const Active& a) { return a.machine == machine; });
  return it == active.end() ? nullptr : &*it;
}

std::string encode(const Now& now) {
  wire::WorkNow w;
  w.set_term(now.term);
  w.set_number(now.number);
  for (const Active& a : now.active) {
    auto& out = *w.add_active();
    out.set_place(static_cast<std::uint32_t>(a.slot << 16 | a.place));
    out.set_machine(a.machine);
    out.set_state(static_cast<std::uint32_t>(a.kind) << 8 | static_cast<std::uint32_t>(a.state));
    out.set_number(a.number);
    out.set_since_ms(a.since_ms);
    out.set_session(a.session);
    out.set_born_ms(a.born_ms);
    out.set_usual(a.usual);
    out.set_orders(a.orders);
  }
  return w.SerializeAsString();
}

std::optional<Now> now_from(const std::string& value) {
  wire::WorkNow w;
  if (!w.ParseFromString(value) || w.active_size() > static_cast<int>(kMostActive)) return std::nullopt;
  Now now;
  now.term = w.term();
  now.number = w.number();
  for (const auto& in : w.active()) {
    Active a;
    a.slot = in.place() >> 16;
    a.place = in.place() & 0xffff;
    a.machine = in.machine();
    const std::uint32_t kind = in.state() >> 8, state = in.state() & 0xff;
    if (a.slot >= kSlots || a.place >= kMostMachines || kind > static_cast<std::uint32_t>(Kind::kDoorman) ||
        state > static_cast<std::uint32_t>(State::kStopped)) {
      return std::nullopt;
    }
    a.kind = static_cast<Kind>(kind);
    a.state = static_cast<State>(state);
    a.number = in.number();
    a.since_ms = in.since_ms();
    a.session = in.session();
    a.born_ms = in.born_ms();
    a.usual = in.usual();
    a.orders = in.orders();
    now.active.push_back(std::move(a));
  }
  return now;
}

std::string encode(const Board& board) {
  wire::WorkBoard w;
  w.set_term(board.term);
  w.set_version(board.version);
  w.set_job(board.job);
  w.set_digest(board.digest);
  w.set_name(board.name);
  w.set_phase(static_cast<std::uint32_t>(board.phase));
  w.set_parts(static_cast<std::uint32_t>(board.parts));
  w.set_since_ms(board.since_ms);
  w.set_why(board.why);
  std::string states;
  for (const State s : board.states) states.push_back(static_cast<char>(s));
  w.set_states(states);
  for (const std::size_t place : board.returned) w.add_returned(static_cast<std::uint32_t>(place));
  if (board.after != 0) w.set_after(board.after);
  return w.SerializeAsString();
}

std::optional<Board> board_from(const std::string& value) {
  wire::WorkBoard w;
  if (!w.ParseFromString(value) || w.parts() > kParts || w.states().size() > kMostMachines ||
      w.phase() > static_cast<std::uint32_t>(Phase::kEnded)) {
    return std::nullopt;
  }
  Board b;
  b.term = w.term();
  b.version = w.version();
  b.job = w.job();
  b.digest = w.digest();
  b.name = w.name();
  b.phase = static_cast<Phase>(w.phase());
  b.parts = w.parts();
  b.since_ms = w.since_ms();
  b.why = w.why();
  for (const char c : w.states()) {
    if (static_cast<unsigned char>(c) > static_cast<unsigned char>(State::kStopped)) return std::nullopt;
    b.states.push_back(static_cast<State>(c));
  }
  for (const std::uint32_t place : w.returned()) b.returned.insert(place);
  b.after = w.after();
  return b;
}

std::string encode(const Part& part) {
  wire::WorkPart w;
  w.set_job(part.job);
  w.set_bytes(part.bytes);
  return w.SerializeAsString();
}
std::optional<Part> part_from(const std::string& value) {
  wire::WorkPart w;
  if (!w.ParseFromString(value)) return std::nullopt;
  return Part{w.job(), w.bytes()};
}

std::string encode(const Roll& roll) {
  wire::WorkRoll w;
  for (const std::string& name : roll) w.add_name(name);
  return w.SerializeAsString();
}
std::optional<Roll> roll_from(const std::string& value) {
  wire::WorkRoll w;
  if (!w.ParseFromString(value)) return std::nullopt;
  return Roll(w.name().begin(), w.name().end());
}

std::string board_key(std::size_t slot) { return "work." + std::to_string(slot); }
std::string part_key(std::size_t slot, std::size_t part) {
  return board_key(slot) + "." + std::to_string(part);
}
std::string roll_key(std::size_t roll) { return "work.roll." + std::to_string(roll); }
std::string roll_key(const std::string& name) {
  std::uint32_t h = 0x811c9dc5u;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x01000193u;
  return roll_key((h >> 16 ^ h) % kRolls);
}
std::vector<std::string> all_keys() {
  std::vector<std::string> keys{kNowKey};
  for (std::size_t r = 0; r < kRolls; ++r) keys.push_back(roll_key(r));
  for (std::size_t s = 0; s < kSlots; ++s) {
    keys.push_back(board_key(s));
    for (std::size_t p = 0; p < kParts; ++p) keys.push_back(part_key(s, p));
  }
  return keys;
}

}  // namespace anisewick::work
