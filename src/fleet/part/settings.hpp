// The settings of a member as plain values, checked.
#ifndef ANISEWICK_FLEET_PART_SETTINGS_HPP_
#define ANISEWICK_FLEET_PART_SETTINGS_HPP_

#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/member/member.hpp"
#include "fleet/peers/seal.hpp"
#include "logs/logs.hpp"
#include "settings/settings.hpp"

namespace anisewick::part {

struct Settings {
  std::string fleet;
  member::Settings member;
  asio::ip::udp::endpoint listen;
  std::string folder;
  std::vector<peers::Key> keys;
  std::int64_t window_ms = 30'000;  // of the seal
  std::string work_file;            // empty: no jobs are taken here
  std::string config, relay, door;  // of the doorman; empty: by the environment
  std::int64_t clock_ahead_ms = 0;
  double clock_rate = 1.0;
  std::int64_t evidence_late_ms = 0;
  logs::Level log_level = logs::Level::kInfo;
};

// Nothing where the file breaks a rule; the findings say which and where, all of them in one pass.
std::optional<Settings> load(const std::string& path, std::vector<settings::Finding>& findings);
std::optional<Settings> parse(const std::string& name, const std::string& text,
                              std::vector<settings::Finding>& findings);

}  // namespace anisewick::part

#endif  // ANISEWICK_FLEET_PART_SETTINGS_HPP_
