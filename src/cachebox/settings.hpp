// The settings of a cache box as plain values, checked.
#ifndef ANISEWICK_CACHEBOX_SETTINGS_HPP_
#define ANISEWICK_CACHEBOX_SETTINGS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/keeper.hpp"
#include "depot/depot.hpp"
#include "disk/store.hpp"
#include "links/asio.hpp"
#include "links/upstream_pool.hpp"
#include "logs/logs.hpp"
#include "serving/serving.hpp"
#include "settings/settings.hpp"

namespace anisewick::cachebox {

struct Settings {
  depot::Id id = 0;
  links::Tcp::endpoint listen, bus;
  bool parent = false;
  int parent_kind = 1, origin_kind = 2;  // places in the list's kinds
  std::vector<serving::Class> classes;
  std::size_t memory_bytes = 64 << 20;
  struct Disk {
    std::string folder;
    disk::Store::Limits limits;
    enum class Admission { kRanked, kFifo, kLru } admission = Admission::kRanked;
    admission::Ranked::Limits ranked;
    int readers = 4;
    std::int64_t read_limit_ms = 150;
  };
  std::optional<Disk> disk;
  serving::FillLimits fills;
  links::UpstreamPool::Limits pool;
  std::size_t connections = 512, streams = 100, requests = 4096;
  std::size_t unread_bytes = 4 << 20;
  std::int64_t unread_ms = 5000, idle_ms = 30'000, partial_ms = 2000;
  std::uint64_t link_bytes_per_s = 0, flow_bytes_per_s = 0;
  std::int64_t bus_away_ms = 6000, clock_skew_ms = 500;
  logs::Level log_level = logs::Level::kInfo;
};

// Nothing where the file breaks a rule; the findings say which and where.
std::optional<Settings> load(const std::string& path, std::vector<settings::Finding>& findings);
std::optional<Settings> parse(const std::string& name, const std::string& text,
                              std::vector<settings::Finding>& findings);

}  // namespace anisewick::cachebox

#endif  // ANISEWICK_CACHEBOX_SETTINGS_HPP_
