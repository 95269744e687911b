// What a doorman is told at its start, decoded once into the values that are used.
#ifndef ANISEWICK_CONFIG_HPP_
#define ANISEWICK_CONFIG_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "anisewick/control.hpp"
#include "bus/bus.hpp"
#include "config/keys.hpp"

namespace anisewick::config {

struct Endpoint {
  std::uint32_t address = 0;  // IPv4, in the host's order
  std::uint16_t port = 0;
};

struct Config {
  std::string name;
  Endpoint listen;
  Endpoint bus;
  std::optional<Endpoint> ops;  // where operators call; none: there is no door for them
  std::uint64_t memory_mb = 0;
  double flow_bytes_per_s = 0.0;  // of one transfer on a socket; 0: not told
  std::uint64_t sockets = 0;
  anisewick::Settings settings;
  std::vector<std::string> classes;  // by their place in the settings
  std::vector<std::string> zones;    // likewise
  std::int64_t connect_timeout = 0;  // nanoseconds
  std::int64_t connection_idle = 0;  // nanoseconds
  int streams = 1;                   // attempts open on one connection
  double handshake_price = 0.0;      // of a connection opened, in worth of a request; 0: none is told
  std::uint64_t known_number = 0;    // of the last event in `known`
  std::vector<bus::Event> known;
  std::vector<KeptKey> kept;         // that a file after this one may not have lost
  std::vector<std::string> remarks;  // on what is passed over, a line each
};

// Says in one line what is wrong.
struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Endpoint endpoint_from(std::string_view text);  // throws Bad
Config parse(std::string_view json);            // throws Bad
Config load(const std::string& path);           // throws Bad
// Throws Bad where a new file has lost a key that the file in force has: it was cut or spoilt on its way.
// Those of a class count while there is a class of that name.
void need_kept_keys(const Config& in_force, const Config& fresh);

}  // namespace anisewick::config

#endif  // ANISEWICK_CONFIG_HPP_
