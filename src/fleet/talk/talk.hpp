// What members say to one another about duties and the order, beside membership and agreement, and how all of
// it stands in a datagram and on disk: values to protobuf and back. No I/O.
#ifndef ANISEWICK_FLEET_TALK_TALK_HPP_
#define ANISEWICK_FLEET_TALK_TALK_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/agreement/voter.hpp"
#include "fleet/gate/gate.hpp"
#include "fleet/orders/order.hpp"

namespace anisewick::talk {

struct Talk {
  enum class Kind : std::uint8_t {
    kTell = 1,  // an owner's news, or what somebody has of it: the term, the order from `from` to `to`
    kAsk,       // `known` is heeded here: whoever has more tells it; `answer`: say so too if there is none
    kCall,      // a call of staff for the owner
    kSettled,   // to whose call it was
    kRelease,   // the owner has given the duty up: the heir may take it at once
    kRefused,   // an act came with a lower term than `term`
    kHeeded,    // to the owner: up to `known` all is heeded here
    kWord       // to the owner of work: what is seen of the machines in progress
  };
  Kind kind = Kind::kTell;
  std::string duty;
  std::uint64_t term = 0;
  std::string owner;
  std::uint64_t renewal = 0;  // of the owner's lease: that it lives
  std::uint64_t from = 0, to = 0, known = 0;
  std::vector<orders::Entry> entries;
  orders::Call call;
  std::uint8_t verdict = 0;
  std::string word;  // of kWord: the bytes of a work::Word or a zones::Word; of kTell, of a zones::Tell
  bool answer = false;
};

// One datagram's worth, and who says it.
struct Packet {
  std::string from;
  std::variant<agreement::Message, Talk> what;
};

constexpr std::size_t kMostPacket = 1299;  // bytes: with its kind one datagram
constexpr std::size_t kMostTold = 8;       // entries in one message, each of 140 bytes at the most

std::string bytes_of(const Packet& packet);
enum class Fault { kNone, kMalformed, kVersion };
std::optional<Packet> packet_from(std::string_view bytes, Fault& fault);

// What lasts of a member.
struct Saved {
  agreement::Voter::Saved voter;
  gate::Terms terms;
  std::uint64_t serial = 0;          // of its own calls
  std::vector<orders::Call> calls;   // taken here and not settled yet
  std::vector<orders::Entry> order;  // what was heeded
  std::uint64_t upto = 0;
  std::string work;   // of work::Crew
  std::string zones;  // of zones::Zones
};
std::string bytes_of(const Saved& saved);
std::optional<Saved> saved_from(std::string_view bytes);

}  // namespace anisewick::talk

#endif  // ANISEWICK_FLEET_TALK_TALK_HPP_
