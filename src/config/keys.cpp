#include "config/keys.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace anisewick::config {
namespace {

using simdjson::dom::element;
using enum Presence;

constexpr std::string_view kClasses = "settings.categories[]";

constexpr std::array kKeys{
    Key{"name", kRequired},
    Key{"listen", kRequired},
    Key{"ops", kKept},
    Key{"seed", kRequired},
    Key{"bus", kRequired},
    Key{"flow_bytes_per_s", kKept},
    Key{"link_bytes_per_s", kKept},
    Key{"limits", kRequired},
    Key{"limits.cores", kKept},
    Key{"limits.memory_mb", kRequired},
    Key{"limits.sockets", kRequired},

    Key{"known", kRequired},
    Key{"known.offset", kRequired},
    Key{"known.batch", kRequired},
    Key{"known.batch[].offset", kRequired},
    Key{"known.batch[].topology.whole", kRequired},
    Key{"known.batch[].topology.hosts", kRequired},
    Key{"known.batch[].topology.hosts[].host", kRequired},
    Key{"known.batch[].topology.hosts[].dial", kRequired},
    Key{"known.batch[].topology.hosts[].site", kRequired},
    Key{"known.batch[].topology.hosts[].class", kRequired},
    Key{"known.batch[].topology.hosts[].block", kRequired},
    Key{"known.batch[].topology.hosts[].health", kRequired},
    Key{"known.batch[].topology.hosts[].share", kRequired},
    Key{"known.batch[].topology.hosts[].born_ms", kRequired},
    Key{"known.batch[].ban.ts", kRequired},

    Key{"settings", kRequired},
    Key{"settings.accounts", kOptional},
    Key{"settings.categories", kRequired},
    Key{"settings.categories[].name", kRequired},
    Key{"settings.categories[].aim", kRequired},
    Key{"settings.categories[].aim_stretch", kOptional},
    Key{"settings.categories[].credit", kRequired},
    Key{"settings.categories[].deadline", kRequired},
    Key{"settings.categories[].key_scope", kRequiredIfGuarded},
    Key{"settings.categories[].key_ttl", kRequiredIfGuarded},
    Key{"settings.categories[].late_worth", kKept},
    Key{"settings.categories[].repeat", kRequired},
    Key{"settings.categories[].stream", kKept},
    Key{"settings.clients", kKept},
    Key{"settings.clients.marks_retry", kKept},
    Key{"settings.discovery", kKept},
    Key{"settings.domain_type", kKept},

    Key{"settings.family_info", kRequired},
    Key{"settings.family_info.aged_worth", kKept},
    Key{"settings.family_info.byte_fee", kKept},
    Key{"settings.family_info.can_join", kRequired},
    Key{"settings.family_info.class_fresh", kRequired},
    Key{"settings.family_info.client_kb_per_s", kRequired},
    Key{"settings.family_info.grace_for", kRequired},
    Key{"settings.family_info.in_parts", kKept},
    Key{"settings.family_info.mid_kind", kRequired},
    Key{"settings.family_info.never_kept", kRequired},
    Key{"settings.family_info.notes_given", kRequired},
    Key{"settings.family_info.origin_over_for", kKept},
    Key{"settings.family_info.origin_stops_at", kKept},
    Key{"settings.family_info.parent_fall_multiple", kRequired},
    Key{"settings.family_info.pass_through_ok", kKept},
    Key{"settings.family_info.purge_grace", kRequired},
    Key{"settings.family_info.purge_settles", kRequired},
    Key{"settings.family_info.report_x0", kKept},
    Key{"settings.family_info.report_x1", kKept},
    Key{"settings.family_info.seats_by_zone", kRequired},
    Key{"settings.family_info.sideways", kKept},
    Key{"settings.family_info.store_kind", kRequired},
    Key{"settings.family_info.upper_cold", kRequired},
    Key{"settings.family_info.upper_cold_from", kRequired},
    Key{"settings.family_info.zone_hub", kRequired},
    Key{"settings.family_info.zone_link_kb_per_s", kKept},

    Key{"settings.goal", kKept},
    Key{"settings.goal.whole", kKept},
    Key{"settings.goal.worst_class", kKept},
    Key{"settings.goal.worst_tenant", kKept},
    Key{"settings.goal.worst_window", kKept},
    Key{"settings.index", kRequired},

    Key{"settings.limits", kRequired},
    Key{"settings.limits.cancel", kKept},
    Key{"settings.limits.conn_idle", kRequired},
    Key{"settings.limits.connect_timeout", kRequired},
    Key{"settings.limits.cpu_us_per_request", kKept},
    Key{"settings.limits.cpu_us_per_s", kKept},
    Key{"settings.limits.max_attempts", kRequired},
    Key{"settings.limits.max_open", kKept},
    Key{"settings.limits.max_retry_after", kRequired},
    Key{"settings.limits.max_streams", kRequired},
    Key{"settings.limits.peers", kKept},
    Key{"settings.limits.probes", kKept},
    Key{"settings.limits.retry_after", kKept},
    Key{"settings.limits.second_copies", kKept},

    Key{"settings.machine_types", kRequired},
    Key{"settings.my_zone", kRequired},
    Key{"settings.n_instances", kRequired},
    Key{"settings.over_share_worth", kKept},
    Key{"settings.prices", kKept},
    Key{"settings.prices.connection", kKept},
    Key{"settings.prices.cross_zone", kKept},
    Key{"settings.prices.discovery", kKept},
    Key{"settings.prices.fleet", kOptional},
    Key{"settings.prices.handshake", kKept},
    Key{"settings.prices.late_fail", kKept},
    Key{"settings.prices.moves", kKept},
    Key{"settings.prices.origin", kKept},
    Key{"settings.prices.peer", kKept},
    Key{"settings.prices.probe", kKept},
    Key{"settings.prices.waste", kKept},

    Key{"settings.rules", kRequired},
    Key{"settings.rules.ask_every", kKept},
    Key{"settings.rules.cold_from", kRequired},
    Key{"settings.rules.drain_grace", kKept},
    Key{"settings.rules.fall", kRequired},
    Key{"settings.rules.fall_multiple", kRequired},
    Key{"settings.rules.grace_to_answer", kKept},
    Key{"settings.rules.ramp_time", kRequired},

    Key{"settings.stages", kKept},
    Key{"settings.stats", kKept},
    Key{"settings.stats.how", kKept},
    Key{"settings.stats.names", kKept},
    Key{"settings.tick", kRequired},
    Key{"settings.tier", kKept},
    Key{"settings.value_by", kKept},
    Key{"settings.weight_source", kRequired},
    Key{"settings.zones", kRequired},
};

std::optional<element> member(element object, std::string_view name) {
  element found;
  if (object[name].get(found) != simdjson::SUCCESS || found.is_null()) return std::nullopt;
  return found;
}

// Calls `visit` with each object that may have the key at the end of `path`, and with that key's name. Where
// an object on the way is absent there is none; its own row tells whether it may be.
void for_each_owner(element at, std::string_view path,
                    const std::function<void(element owner, std::string_view name)>& visit) {
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) return visit(at, path);
  std::string_view name = path.substr(0, dot);
  const std::string_view rest = path.substr(dot + 1);
  const bool each = name.ends_with("[]");
  if (each) name.remove_suffix(2);
  const auto next = member(at, name);
  if (!next) return;
  if (!each) return for_each_owner(*next, rest, visit);
  simdjson::dom::array list;
  if (next->get(list) != simdjson::SUCCESS) return;  // the decoder says that it is no list
  for (const element one : list) for_each_owner(one, rest, visit);
}

std::string text_in(element object, std::string_view name) {
  const auto found = member(object, name);
  std::string_view text;
  if (!found || found->get(text) != simdjson::SUCCESS) return {};
  return std::string(text);
}

bool required_in(element owner, Presence presence) {
  if (presence == kRequiredIfGuarded) return text_in(owner, "repeat") == "guarded";
  return presence == kRequired;
}

}  // namespace

std::span<const Key> known_keys() { return kKeys; }

std::string missing_key(element file) {
  std::string missing;
  for (const Key& key : kKeys) {
    for_each_owner(file, key.path, [&](element owner, std::string_view name) {
      if (missing.empty() && required_in(owner, key.presence) && !member(owner, name))
        missing = "'" + std::string(key.path) + "' is missing";
    });
    if (!missing.empty()) break;
  }
  return missing;
}

std::vector<KeptKey> kept_keys(element file) {
  std::vector<KeptKey> kept;
  for (const Key& key : kKeys) {
    if (key.presence != kKept) continue;
    const bool of_class = key.path.starts_with(kClasses);
    for_each_owner(file, key.path, [&](element owner, std::string_view name) {
      if (member(owner, name)) kept.push_back({of_class ? text_in(owner, "name") : std::string(), key.path});
    });
  }
  return kept;
}

}  // namespace anisewick::config
