#include "handover/discovery.hpp"

#include <algorithm>
#include <utility>

#include "depot/depot.hpp"
#include "depot/fields.hpp"
#include "handover/sealed.hpp"

namespace anisewick::handover {
namespace {

using depot::number;

constexpr std::string_view kWhat = "anisewick-discovery";
constexpr int kVersion = 1;
constexpr std::size_t kMostServers = 1u << 14, kMostPurges = 1u << 12;
constexpr std::size_t kServerWords = 10, kPurgeWords = 4;
constexpr double kMostWeight = 1e7;  // of a server; the wire's figure is below

bool server_from(const std::vector<std::string_view>& w, DiscoverySnapshot& into) {
  if (w.size() != kServerWords || into.servers.size() >= kMostServers) return false;
  bus::Depot d;
  int state = 0;
  const auto id = depot::id_from(w[1]);
  if (!id || !number(w[2], d.address) || !number(w[3], d.port) || !number(w[4], state) ||
      !number(w[5], d.zone) || !number(w[6], d.kind) || !number(w[7], d.cell) || !number(w[8], d.weight) ||
      !number(w[9], d.started_ms))
    return false;
  if (state < 0 || state > static_cast<int>(bus::State::kGone)) return false;
  if (d.zone < 0 || d.kind < 0 || d.cell < 0 || d.started_ms < 0) return false;
  if (!(d.weight >= 0.0 && d.weight <= kMostWeight)) return false;
  d.id = *id;
  d.state = static_cast<bus::State>(state);
  into.servers.push_back(d);
  return true;
}

bool purge_from(const std::vector<std::string_view>& w, DiscoverySnapshot& into) {
  if (w.size() != kPurgeWords || into.purges.size() >= kMostPurges) return false;
  if (w[1] != "group" && w[1] != "object") return false;
  Purge purge;
  purge.whole_group = w[1] == "group";
  if (!number(w[2], purge.key, 16) || !number(w[3], purge.at_ms)) return false;
  into.purges.push_back(purge);
  return true;
}

bool line_into(DiscoverySnapshot& snapshot, const std::vector<std::string_view>& w, bool first) {
  if (w.empty()) return false;
  if (first) return w.size() == 2 && w[0] == "number" && number(w[1], snapshot.number);
  if (w[0] == "server") return server_from(w, snapshot);
  return w[0] == "purge" && purge_from(w, snapshot);
}

}  // namespace

std::string encode_discovery(const DiscoverySnapshot& snapshot, std::string_view name) {
  std::string body = "number " + std::to_string(snapshot.number) + "\n";
  for (const bus::Depot& d : snapshot.servers) {
    body += "server " + depot::text_of(d.id);
    for (const std::int64_t field :
         {std::int64_t{d.address}, std::int64_t{d.port}, static_cast<std::int64_t>(d.state),
          std::int64_t{d.zone}, std::int64_t{d.kind}, std::int64_t{d.cell}})
      body.append(" ").append(std::to_string(field));
    body.append(" ")
        .append(std::to_string(d.weight))
        .append(" ")
        .append(std::to_string(d.started_ms))
        .append("\n");
  }
  for (const Purge& p : snapshot.purges) {
    body.append("purge ").append(p.whole_group ? "group " : "object ").append(hex(p.key)).append(" ");
    body.append(std::to_string(p.at_ms)).append("\n");
  }
  return sealed(kWhat, kVersion, name, body);
}

std::optional<DiscoverySnapshot> decode_discovery(std::string_view bytes, std::string_view name,
                                                  std::string& why) {
  const auto body = opened(bytes, kWhat, kVersion, name, why);
  if (!body) return std::nullopt;
  std::string_view rest = *body;
  DiscoverySnapshot snapshot;
  bool first = true;
  while (first || !rest.empty()) {
    if (line_into(snapshot, words_of(next_line(rest)), std::exchange(first, false))) continue;
    why = "it has a line that cannot be read";
    return std::nullopt;
  }
  return snapshot;
}

void PurgeLog::add(const Purge& purge, std::int64_t now_ms, std::int64_t keep_ms) {
  std::int64_t& at_ms = at_ms_.emplace(std::pair(purge.whole_group, purge.key), purge.at_ms).first->second;
  at_ms = std::max(at_ms, purge.at_ms);
  std::erase_if(at_ms_, [&](const auto& entry) { return entry.second + keep_ms < now_ms; });
  if (at_ms_.size() <= kMostPurges) return;
  at_ms_.erase(std::min_element(at_ms_.begin(), at_ms_.end(),
                                [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::vector<Purge> PurgeLog::purges() const {
  std::vector<Purge> all;
  for (const auto& [what, at_ms] : at_ms_) all.push_back({what.first, what.second, at_ms});
  return all;
}

}  // namespace anisewick::handover
