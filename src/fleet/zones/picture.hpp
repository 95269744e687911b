// What the fleet holds of its zones: how much of a zone's own load stays there, and where the rest goes. The
// value of a register, and what doormen and the owner of the duty say to one another. No I/O, no clock.
//
//   zones.now    the picture: zones that are not wholly in use, or were not lately
//   zones.said   staff's word on zones
#ifndef ANISEWICK_FLEET_ZONES_PICTURE_HPP_
#define ANISEWICK_FLEET_ZONES_PICTURE_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/evidence/evidence.hpp"

namespace anisewick::zones {

constexpr const char* kDuty = "zones";
constexpr const char* kNowKey = "zones.now";
constexpr const char* kSaidKey = "zones.said";
constexpr std::uint32_t kWhole = 10'000;  // of shares and parts
constexpr std::size_t kMostZones = evidence::Evidence::kMostZones;
constexpr std::size_t kMostName = 24, kMostWhy = 48;  // bytes

enum class Phase : std::uint8_t { kIn, kLeft, kReturning };
enum class Mode : std::uint8_t { kAuto, kLeave, kReturn };  // staff's word
const char* word(Phase phase);
const char* word(Mode mode);

struct Entry {
  std::string zone;
  std::uint32_t share = kWhole;  // of the load of its own doormen
  std::uint64_t version = 0;     // the picture in which the share became this
  Phase phase = Phase::kIn;
  Mode mode = Mode::kAuto;
  std::string why;
  std::int64_t since_ms = 0;   // Unix time, by the owner's clock; orders nothing
  std::uint32_t relapses = 0;  // of late
  std::vector<std::pair<std::string, std::uint32_t>> hosts;
  std::uint32_t borne = kWhole;  // of what goes elsewhere
  bool operator==(const Entry&) const = default;
};
// Whether what is seen of a zone is judged by itself after this change, or adds to what was seen before: from
// step to step of a return it adds, else a zone that loses one answer in ten would pass every step for
// itself. Null: not in the picture.
bool judged_anew(const Entry* before, const Entry* after);
struct Picture {
  std::uint64_t term = 0, number = 0;
  std::vector<Entry> entries;
  const Entry* of(const std::string& zone) const;
  Entry* of(const std::string& zone);
  bool plain() const;  // every zone is wholly in use
};
struct Said {
  std::uint64_t version = 0;
  std::set<std::string> leave, back;
  Mode of(const std::string& zone) const;
};

// How a doorman's own watch on a zone stands, for an owner who has heard nothing of it yet.
struct Felt {
  double down = 0.0, grey = 0.0;                  // sums of its sequential tests
  std::array<double, evidence::kKinds> recent{};  // attempts by their end, halved each second
};
// What a doorman says to the owner.
struct Word {
  std::uint64_t session = 0, serial = 0;
  std::uint64_t number = 0;  // of the picture that is in force there
  std::uint32_t weight = 100;
  std::string ill;  // why it weighs less
  std::string home;
  double demand = 0.0;  // requests a second
  double part = 0.0;
  std::uint64_t part_serial = 0;  // of its word that the tell answered which gave it
  std::vector<evidence::Seen> seen;
  std::map<std::string, Felt> felt;  // by zone, of those seen of late
};
// What the owner says to a doorman; without a part it may be passed on.
struct Tell {
  Picture picture;
  std::uint32_t in_ms = 0;
  std::optional<double> part;
  std::uint64_t serial = 0;
};

std::string encode(const Picture& picture);
std::string encode(const Said& said);
std::string encode(const Word& word);
std::string encode(const Tell& tell);
// An empty value is an empty one; nothing: the bytes are not such a value.
std::optional<Picture> picture_from(const std::string& value);
std::optional<Said> said_from(const std::string& value);
std::optional<Word> word_from(const std::string& bytes);
std::optional<Tell> tell_from(const std::string& bytes);

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_PICTURE_HPP_
