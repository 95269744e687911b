#include "config/config.hpp"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "depot/depot.hpp"

namespace anisewick::config {
namespace {

using simdjson::dom::element;

constexpr int kMostAttempts = 8;  // a rule of the platform, whatever a file says
constexpr std::size_t kMostClasses = 256;

template <typename T>
bool number(std::string_view text, T& value, int base = 10) {
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return r.ec == std::errc{} && r.ptr == text.data() + text.size();
}

std::optional<element> find(element in, std::string_view key) {
  element found;
  if (in[key].get(found) != simdjson::SUCCESS || found.is_null()) return std::nullopt;
  return found;
}
element need(element in, std::string_view key) {
  const auto found = find(in, key);
  if (!found) throw Bad("'" + std::string(key) + "' is missing");
  return *found;
}

template <typename T>
T value_of(element e, std::string_view key) {
  if constexpr (std::is_same_v<T, bool>) {
    bool v = false;
    if (e.get(v) == simdjson::SUCCESS) return v;
  } else if constexpr (std::is_arithmetic_v<T>) {
    std::int64_t whole = 0;
    if (e.get(whole) == simdjson::SUCCESS) return static_cast<T>(whole);
    double v = 0.0;  // a whole number may be written with a fraction of zero
    if (e.get(v) == simdjson::SUCCESS && v >= -9e18 && v <= 9e18) return static_cast<T>(v);
  } else {
    std::string_view v;
    if (e.get(v) == simdjson::SUCCESS) return T(v);
  }
  throw Bad("'" + std::string(key) + "' has a value of the wrong type");
}
template <typename T>
T get(element in, std::string_view key, T otherwise) {
  const auto found = find(in, key);
  return found ? value_of<T>(*found, key) : otherwise;
}
template <typename T>
T need(element in, std::string_view key) {
  return value_of<T>(need(in, key), key);
}
simdjson::dom::array array_of(element e, std::string_view key) {
  simdjson::dom::array all;
  if (e.get(all) != simdjson::SUCCESS) throw Bad("'" + std::string(key) + "' is not a list");
  return all;
}
template <typename T>
std::vector<T> list(element in, std::string_view key) {
  std::vector<T> all;
  const auto found = find(in, key);
  if (!found) return all;
  for (const element e : array_of(*found, key)) all.push_back(value_of<T>(e, key));
  return all;
}

template <typename T, std::size_t N>
T word(element in, std::string_view key, const std::array<std::pair<std::string_view, T>, N>& words) {
  const auto v = get<std::string>(in, key, std::string(words[0].first));
  for (const auto& [w, value] : words) {
    if (w == v) return value;
  }
  throw Bad("'" + std::string(key) + "' has the unknown value '" + v + "'");
}

int place_of(const std::vector<std::string>& names, std::string_view name, std::string_view key) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end())
    throw Bad("'" + std::string(key) + "' has the unknown value '" + std::string(name) + "'");
  return static_cast<int>(it - names.begin());
}

anisewick::ClassSettings class_from(element e) {
  using anisewick::KeyScope;
  using anisewick::Repeat;
  static constexpr std::array<std::pair<std::string_view, Repeat>, 3> kRepeats{
      {{"single_shot", Repeat::kUnsafe}, {"guarded", Repeat::kKeyed}, {"free", Repeat::kSafe}}};
  static constexpr std::array<std::pair<std::string_view, KeyScope>, 3> kScopes{
      {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}}};
  anisewick::ClassSettings c;
  c.aim = get<std::int64_t>(e, "aim", 0);
  c.aim_stretch = get<double>(e, "aim_stretch", 0.0);
  c.deadline = need<std::int64_t>(e, "deadline");
  if (c.deadline <= 0) throw Bad("'deadline' is not above 0");
  c.worth = get<double>(e, "credit", 1.0);
  c.late_worth = get<double>(e, "late_worth", 0.0);
  need(e, "repeat");  // to guess it could run a single-shot request twice
  c.repeat = word(e, "repeat", kRepeats);
  c.key_scope = word(e, "key_scope", kScopes);
  c.key_ttl = get<std::int64_t>(e, "key_ttl", 0);
  return c;
}

// A list with one value a class, in the order of the classes. With more or fewer nobody can tell whose each
// is: then it tells nothing, and `remarks` says so.
template <typename T>
std::vector<T> list_by_class(element family, std::string_view key, std::size_t classes,
                             std::vector<std::string>& remarks) {
  auto values = list<T>(family, key);
  if (values.size() == classes || !find(family, key)) return values;
  remarks.push_back("'settings.family_info." + std::string(key) + "' is passed over: it has " +
                    std::to_string(values.size()) + " values for " + std::to_string(classes) + " classes");
  return {};
}

void tell_classes(element family, std::vector<ClassSettings>& classes, std::vector<std::string>& remarks) {
  const std::size_t n = classes.size();
  const auto fresh = list_by_class<std::int64_t>(family, "class_fresh", n, remarks);
  const auto grace = list_by_class<std::int64_t>(family, "grace_for", n, remarks);
  const auto aged = list_by_class<double>(family, "aged_worth", n, remarks);
  const auto parts = list_by_class<bool>(family, "in_parts", n, remarks);
  const auto never = list_by_class<bool>(family, "never_kept", n, remarks);
  for (std::size_t i = 0; i < n; ++i) {
    ClassSettings& c = classes[i];
    // Where it is not told, what may not simply be repeated is taken for a write, which no cache may answer.
    c.never_kept = never.empty() ? c.repeat != anisewick::Repeat::kSafe : never[i];
    if (!fresh.empty()) c.fresh = fresh[i];
    if (!grace.empty()) c.grace = grace[i];
    if (!aged.empty()) c.stale_worth = aged[i];
    if (!parts.empty()) c.in_parts = parts[i];
  }
}

anisewick::Settings settings_from(element e, std::vector<std::string>& classes,
                                  std::vector<std::string>& remarks) {
  anisewick::Settings s;
  s.index = get<int>(e, "index", 0);
  s.fronts = get<int>(e, "n_instances", 1);
  s.zone = need<int>(e, "my_zone");
  for (const element c : array_of(need(e, "categories"), "categories")) {
    auto name = need<std::string>(c, "name");
    if (std::find(classes.begin(), classes.end(), name) != classes.end()) {
      throw Bad("'categories' has the class '" + name + "' twice");
    }
    classes.push_back(std::move(name));
    s.classes.push_back(class_from(c));
  }
  if (classes.empty() || classes.size() > kMostClasses) {
    throw Bad("'categories' has none or too many classes");
  }
  const element family = need(e, "family_info");
  tell_classes(family, s.classes, remarks);
  s.zone_hub = list<int>(family, "zone_hub");
  s.zone_fronts = list<int>(family, "seats_by_zone");
  s.parent_kind = get<int>(family, "mid_kind", -1);
  s.origin_kind = get<int>(family, "store_kind", -1);
  s.client_kb_per_s = get<double>(family, "client_kb_per_s", 0.0);
  s.joins = get<bool>(family, "can_join", false);
  s.siblings =
      word(family, "sideways",
           std::array<std::pair<std::string_view, Siblings>, 3>{
               {{"silent", Siblings::kNone}, {"location", Siblings::kLocation}, {"any", Siblings::kAny}}});
  s.notes = word(family, "notes_given",
                 std::array<std::pair<std::string_view, Notes>, 3>{
                     {{"silent", Notes::kNone}, {"hit", Notes::kHit}, {"all", Notes::kAll}}});
  s.scales = word(e, "weight_source",
                  std::array<std::pair<std::string_view, Scales>, 4>{{{"silent", Scales::kNone},
                                                                      {"nominal", Scales::kNominal},
                                                                      {"rough", Scales::kRough},
                                                                      {"live", Scales::kLive}}});
  s.parent_cold_from = get<double>(family, "upper_cold_from", 1.0);
  s.parent_ramp = get<std::int64_t>(family, "upper_cold", 0);
  s.parent_fall_multiple = get<double>(family, "parent_fall_multiple", 0.0);
  s.purge_grace = get<std::int64_t>(family, "purge_grace", 0);
  s.purge_settle = get<std::int64_t>(family, "purge_settles", 0);
  const element rules = need(e, "rules");
  s.cold_from = get<double>(rules, "cold_from", 1.0);
  s.ramp = get<std::int64_t>(rules, "ramp_time", 0);
  s.fall_multiple = get<double>(rules, "fall_multiple", 0.0);
  s.fall_window = get<std::int64_t>(rules, "fall", 0);
  s.drain_grace = get<std::int64_t>(rules, "drain_grace", 0);
  const element limits = need(e, "limits");
  s.cancel = get<bool>(limits, "cancel", false);
  const int attempts = need<int>(limits, "max_attempts");
  if (attempts <= 0) throw Bad("'max_attempts' is not above 0");
  for (ClassSettings& c : s.classes) c.max_attempts = std::min(attempts, kMostAttempts);
  s.max_retry_after = get<std::int64_t>(limits, "max_retry_after", 0);
  s.tick = get<std::int64_t>(e, "tick", 0);
  // Never: straight to a parent or the origin, second copies. On sockets only caches of the own centre are
  // asked, one at a time, whatever the settings would allow.
  return s;
}

bus::Depot depot_from(element e, const std::vector<std::string>& zones,
                      const std::vector<std::string>& kinds) {
  bus::Depot d;
  const auto id = depot::id_from(need<std::string>(e, "host"));
  if (!id) throw Bad("'host' is no depot's id");
  d.id = *id;
  const Endpoint at = endpoint_from(need<std::string>(e, "dial"));
  d.address = at.address;
  d.port = at.port;
  d.zone = place_of(zones, need<std::string>(e, "site"), "site");
  d.kind = place_of(kinds, need<std::string>(e, "class"), "class");
  d.cell = get<int>(e, "block", 0);
  static constexpr std::array<std::pair<std::string_view, bus::State>, 3> kStates{
      {{"Ready", bus::State::kReady}, {"Terminating", bus::State::kDraining}, {"Gone", bus::State::kGone}}};
  d.state = word(e, "health", kStates);
  d.weight = get<double>(e, "share", 1.0);
  d.started_ms = get<std::int64_t>(e, "born_ms", 0);
  return d;
}

bus::Event event_from(element e, const std::vector<std::string>& zones,
                      const std::vector<std::string>& kinds) {
  bus::Event event;
  event.number = need<std::uint64_t>(e, "offset");
  if (const auto list = find(e, "topology")) {
    event.kind = get<bool>(*list, "whole", false) ? bus::Event::Kind::kWholeList : bus::Event::Kind::kChanges;
    for (const element d : array_of(need(*list, "hosts"), "hosts")) {
      event.depots.push_back(depot_from(d, zones, kinds));
    }
  } else if (const auto ban = find(e, "ban")) {
    event.purged_ms = need<std::int64_t>(*ban, "ts");
    if (const auto object = find(*ban, "url")) {
      event.kind = bus::Event::Kind::kObjectPurge;
      if (!number(value_of<std::string>(*object, "url"), event.object, 16)) throw Bad("'url' is no object");
    } else {
      event.kind = bus::Event::Kind::kGroupPurge;
      event.group = need<int>(*ban, "tag");
    }
  }
  return event;
}

}  // namespace

Endpoint endpoint_from(std::string_view text) {
  Endpoint at;
  std::string_view rest = text;
  for (int i = 0; i < 4; ++i) {
    const std::size_t end = rest.find(i < 3 ? '.' : ':');
    std::uint8_t octet = 0;
    if (end == std::string_view::npos || !number(rest.substr(0, end), octet)) {
      throw Bad("'" + std::string(text) + "' is no address of the form 1.2.3.4:5");
    }
    at.address = at.address << 8 | octet;
    rest.remove_prefix(end + 1);
  }
  if (!number(rest, at.port)) throw Bad("'" + std::string(text) + "' has no port");
  return at;
}

Config parse(std::string_view json) {
  simdjson::dom::parser parser;
  element e;
  if (const auto error = parser.parse(json.data(), json.size()).get(e); error != simdjson::SUCCESS) {
    throw Bad(std::string("not JSON: ") + simdjson::error_message(error));
  }
  if (const std::string missing = missing_key(e); !missing.empty()) throw Bad(missing);
  Config c;
  c.name = need<std::string>(e, "name");
  c.listen = endpoint_from(need<std::string>(e, "listen"));
  c.bus = endpoint_from(need<std::string>(e, "bus"));
  if (const auto ops = find(e, "ops")) c.ops = endpoint_from(value_of<std::string>(*ops, "ops"));
  const element limits = need(e, "limits");
  c.memory_mb = need<std::uint64_t>(limits, "memory_mb");
  c.sockets = need<std::uint64_t>(limits, "sockets");
  const element settings = need(e, "settings");
  c.settings = settings_from(settings, c.classes, c.remarks);
  if (!number(need<std::string>(e, "seed"), c.settings.seed, 16)) throw Bad("'seed' is no hex number");
  const element permits = need(settings, "limits");
  c.connect_timeout = get<std::int64_t>(permits, "connect_timeout", 400'000'000);
  c.connection_idle = get<std::int64_t>(permits, "conn_idle", 30'000'000'000);
  c.flow_bytes_per_s = get<double>(e, "flow_bytes_per_s", 0.0);
  c.streams = std::max(1, get<int>(permits, "max_streams", 100));
  if (const auto prices = find(settings, "prices"))
    c.handshake_price = get<double>(*prices, "handshake", 0.0);
  const auto zones = c.zones = list<std::string>(settings, "zones");
  const auto kinds = list<std::string>(settings, "machine_types");
  const element known = need(e, "known");
  c.known_number = need<std::uint64_t>(known, "offset");
  for (const element event : array_of(need(known, "batch"), "batch"))
    c.known.push_back(event_from(event, zones, kinds));
  c.kept = kept_keys(e);
  return c;
}

void need_kept_keys(const Config& in_force, const Config& fresh) {
  const auto has_class = [&](const std::string& name) {
    return std::find(fresh.classes.begin(), fresh.classes.end(), name) != fresh.classes.end();
  };
  for (const KeptKey& key : in_force.kept) {
    if (!key.class_name.empty() && !has_class(key.class_name)) continue;
    const bool still_there = std::any_of(fresh.kept.begin(), fresh.kept.end(), [&](const KeptKey& other) {
      return other.class_name == key.class_name && other.path == key.path;
    });
    if (still_there) continue;
    const std::string of_class = key.class_name.empty() ? "" : " of the class '" + key.class_name + "'";
    throw Bad("'" + std::string(key.path) + "'" + of_class + " is missing");
  }
}

Config load(const std::string& path) {
  simdjson::padded_string text;
  if (simdjson::padded_string::load(path).get(text) != simdjson::SUCCESS) {
    throw Bad("cannot read " + path);
  }
  return parse(std::string_view(text));
}

}  // namespace anisewick::config
