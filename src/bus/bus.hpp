// The event bus: frames as events. No I/O.
#ifndef ANISEWICK_BUS_HPP_
#define ANISEWICK_BUS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anisewick::bus {

enum class State : std::uint8_t { kReady = 0, kDraining = 1, kGone = 2 };

struct Depot {
  std::uint32_t id = 0;
  std::uint32_t address = 0;  // IPv4, in the host's order
  std::uint16_t port = 0;
  State state = State::kReady;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  double weight = 1.0;
  std::int64_t started_ms = 0;  // 0: long ago
  // Not on the bus: laid over its list.
  double share = 1.0;  // of its usual part of the requests
  bool guest = false;  // a cache that serves another location too
};

struct Event {
  enum class Kind { kNothing, kWholeList, kChanges, kObjectPurge, kGroupPurge };
  std::uint64_t number = 0;
  Kind kind = Kind::kNothing;
  std::vector<Depot> depots;
  std::uint64_t object = 0;
  int group = 0;
  std::int64_t purged_ms = 0;  // Unix time of the purge
};

std::string hello_bytes(std::uint64_t last_number);
// The event as the event bus writes it.
std::string frame_bytes(const Event& event);

class FrameReader {
 public:
  // False: not the event bus, or out of step.
  bool feed(std::string_view bytes, std::vector<Event>& out);
  // A frame has come in part.
  bool midway() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace anisewick::bus

#endif  // ANISEWICK_BUS_HPP_
