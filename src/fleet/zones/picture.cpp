#include "fleet/zones/picture.hpp"

#include <algorithm>
#include <cmath>

#include "zones.pb.h"

namespace anisewick::zones {
namespace {

bool is_name(const std::string& s) { return !s.empty() && s.size() <= kMostName; }
constexpr double kMostFelt = 1e6;
constexpr std::size_t kMostWord = 1'100;  // bytes, before a further watch is added
std::uint32_t hundredths(double v) {
  return static_cast<std::uint32_t>(std::lround(100.0 * std::clamp(v, 0.0, kMostFelt)));
}
bool is_rate(double v) { return std::isfinite(v) && v >= 0.0 && v < 1e9; }

wire::ZonesPicture wire_of(const Picture& p) {
  wire::ZonesPicture w;
  w.set_term(p.term);
  w.set_number(p.number);
  const auto place = [&](const std::string& zone) {
    for (int i = 0; i < w.zones_size(); ++i) {
      if (w.zones(i) == zone) return static_cast<std::uint32_t>(i);
    }
    w.add_zones(zone);
    return static_cast<std::uint32_t>(w.zones_size() - 1);
  };
  for (const Entry& e : p.entries) {
    auto& out = *w.add_entries();
    out.set_zone(place(e.zone));
    out.set_share(e.share);
    out.set_version(e.version);
    out.set_phase(static_cast<std::uint32_t>(e.phase) + 16 * static_cast<std::uint32_t>(e.mode));
    out.set_why(e.why.substr(0, kMostWhy));
    out.set_since_ms(e.since_ms);
    out.set_relapses(e.relapses);
    for (const auto& [zone, part] : e.hosts) out.add_hosts(place(zone) << 16 | part);
    if (e.borne != kWhole) out.set_borne(e.borne);
  }
  return w;
}

std::optional<Picture> picture_of(const wire::ZonesPicture& w) {
  if (w.zones_size() > static_cast<int>(kMostZones) || w.entries_size() > static_cast<int>(kMostZones))
    return std::nullopt;
  for (const std::string& zone : w.zones()) {
    if (!is_name(zone)) return std::nullopt;
  }
  Picture p;
  p.term = w.term();
  p.number = w.number();
  const auto zones = static_cast<std::uint32_t>(w.zones_size());
  for (const auto& in : w.entries()) {
    const std::uint32_t phase = in.phase() % 16, mode = in.phase() / 16;
    if (in.zone() >= zones || in.share() > kWhole || phase > static_cast<std::uint32_t>(Phase::kReturning) ||
        mode > static_cast<std::uint32_t>(Mode::kReturn) || in.borne() > kWhole ||
        in.hosts_size() > static_cast<int>(kMostZones)) {
      return std::nullopt;
    }
    Entry e;
    e.zone = w.zones(static_cast<int>(in.zone()));
    e.share = in.share();
    e.version = in.version();
    e.phase = static_cast<Phase>(phase);
    e.mode = static_cast<Mode>(mode);
    e.why = in.why();
    e.since_ms = in.since_ms();
    e.relapses = in.relapses();
    for (const std::uint32_t h : in.hosts()) {
      if (h >> 16 >= zones || (h & 0xffff) > kWhole) return std::nullopt;
      e.hosts.emplace_back(w.zones(static_cast<int>(h >> 16)), h & 0xffff);
    }
    e.borne = in.has_borne() ? in.borne() : kWhole;
    p.entries.push_back(std::move(e));
  }
  return p;
}

}  // namespace

const char* word(Phase phase) {
  static const char* const kWords[] = {"in", "left", "returning"};
  return kWords[static_cast<std::size_t>(phase)];
}
const char* word(Mode mode) {
  static const char* const kWords[] = {"auto", "leave", "return"};
  return kWords[static_cast<std::size_t>(mode)];
}

bool judged_anew(const Entry* before, const Entry* after) {
  if ((before == nullptr ? 0 : before->version) == (after == nullptr ? 0 : after->version)) return false;
  if (before == nullptr || before->phase != Phase::kReturning) return true;
  const bool on = after == nullptr || after->phase == Phase::kIn ||
                  (after->phase == Phase::kReturning && after->share >= before->share);
  return !on;
}

const Entry* Picture::of(const std::string& zone) const {
  const auto it =
      std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.zone == zone; });
  return it == entries.end() ? nullptr : &*it;
}
Entry* Picture::of(const std::string& zone) {
  return const_cast<Entry*>(static_cast<const Picture*>(this)->of(zone));
}
bool Picture::plain() const {
  return std::all_of(entries.begin(), entries.end(), [](const Entry& e) { return e.phase == Phase::kIn; });
}

Mode Said::of(const std::string& zone) const {
  return leave.contains(zone) ? Mode::kLeave : back.contains(zone) ? Mode::kReturn : Mode::kAuto;
}

std::string encode(const Picture& p) { return wire_of(p).SerializeAsString(); }
std::optional<Picture> picture_from(const std::string& value) {
  wire::ZonesPicture w;
  return w.ParseFromString(value) ? picture_of(w) : std::nullopt;
}

std::string encode(const Said& said) {
  wire::ZonesSaid w;
  w.set_version(said.version);
  for (const std::string& zone : said.leave) w.add_leave(zone);
  for (const std::string& zone : said.back) w.add_return_(zone);
  return w.SerializeAsString();
}
std::optional<Said> said_from(const std::string& value) {
  wire::ZonesSaid w;
  if (!w.ParseFromString(value)) return std::nullopt;
  Said s;
  s.version = w.version();
  s.leave.insert(w.leave().begin(), w.leave().end());
  s.back.insert(w.return_().begin(), w.return_().end());
  return s;
}

std::string encode(const Word& word) {
  wire::ZonesWord w;
  w.set_session(word.session);
  w.set_serial(word.serial);
  w.set_number(word.number);
  w.set_weight(word.weight);
  if (!word.ill.empty()) w.set_ill(word.ill);
  w.set_home(word.home);
  w.set_demand(static_cast<float>(word.demand));
  w.set_part(static_cast<float>(word.part));
  if (word.part_serial != 0) w.set_part_serial(word.part_serial);
  for (const evidence::Seen& s : word.seen) {
    auto& out = *w.add_seen();
    out.set_zone(s.zone);
    for (const std::uint64_t n : s.tally.n) out.add_ends(n);
    out.set_fills(s.tally.fills);
    out.set_depots(s.depots);
    out.set_failing(s.failing);
    out.set_usual_ms(static_cast<float>(s.usual_ms));
    out.set_best(static_cast<float>(s.best));
    out.set_best_fills(static_cast<float>(s.best_fills));
    out.set_age_ms(s.age_ms);
    const auto felt = word.felt.find(s.zone);
    // Only a new owner needs it: where the datagram would be too long it is left out.
    if (felt == word.felt.end() || w.ByteSizeLong() > kMostWord) continue;
    auto& own = *w.add_felt();
    own.set_seen(static_cast<std::uint32_t>(w.seen_size() - 1));
    own.set_down(hundredths(felt->second.down));
    own.set_grey(hundredths(felt->second.grey));
    for (const double n : felt->second.recent) own.add_recent(hundredths(n));
  }
  return w.SerializeAsString();
}
std::optional<Word> word_from(const std::string& bytes) {
  wire::ZonesWord w;
  if (!w.ParseFromString(bytes) || w.seen_size() > static_cast<int>(kMostZones) || w.weight() > 100 ||
      w.home().size() > kMostName || !is_rate(w.demand()) || !is_rate(w.part())) {
    return std::nullopt;
  }
  Word word;
  word.session = w.session();
  word.serial = w.serial();
  word.number = w.number();
  word.weight = w.weight();
  word.ill = w.ill();
  word.home = w.home();
  word.demand = w.demand();
  word.part = w.part();
  word.part_serial = w.part_serial();
  for (const auto& in : w.seen()) {
    if (!is_name(in.zone()) || in.ends_size() != static_cast<int>(evidence::kKinds) ||
        !is_rate(in.usual_ms()) || !is_rate(in.best()) || !is_rate(in.best_fills()))
      return std::nullopt;
    evidence::Seen s{in.zone(),     {},        in.depots(),     in.failing(),
                     in.usual_ms(), in.best(), in.best_fills(), in.age_ms()};
    for (std::size_t k = 0; k < evidence::kKinds; ++k) s.tally.n[k] = in.ends(static_cast<int>(k));
    s.tally.fills = in.fills();
    word.seen.push_back(std::move(s));
  }
  for (const auto& in : w.felt()) {
    if (in.seen() >= word.seen.size() || in.recent_size() != static_cast<int>(evidence::kKinds))
      return std::nullopt;
    Felt& felt = word.felt[word.seen[in.seen()].zone];
    felt.down = in.down() / 100.0;
    felt.grey = in.grey() / 100.0;
    for (std::size_t k = 0; k < evidence::kKinds; ++k)
      felt.recent[k] = in.recent(static_cast<int>(k)) / 100.0;
  }
  return word;
}

std::string encode(const Tell& tell) {
  wire::ZonesTell w;
  *w.mutable_picture() = wire_of(tell.picture);
  w.set_in_ms(tell.in_ms);
  if (tell.part) w.set_part(static_cast<float>(*tell.part));
  w.set_serial(tell.serial);
  return w.SerializeAsString();
}
std::optional<Tell> tell_from(const std::string& bytes) {
  wire::ZonesTell w;
  if (!w.ParseFromString(bytes) || !is_rate(w.part())) return std::nullopt;
  auto picture = picture_of(w.picture());
  if (!picture) return std::nullopt;
  Tell t{std::move(*picture), w.in_ms(), std::nullopt, w.serial()};
  if (w.has_part()) t.part = w.part();
  return t;
}

}  // namespace anisewick::zones
