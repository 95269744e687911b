// anisewick_fleet: the doorman as a member of a fleet. Arguments, wiring, signals.
#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "fleet/part/jobs.hpp"
#include "fleet/part/part.hpp"
#include "service/service.hpp"

namespace anisewick {
namespace {

constexpr int kGood = 0, kRunTime = 1, kWrongUse = 2;

std::optional<part::Settings> settings_from(const std::string& file) {
  std::vector<settings::Finding> findings;
  auto s = part::load(file, findings);
  for (const settings::Finding& f : findings) std::cerr << f.text() << std::endl;
  return s;
}

std::string either(const char* variable, const std::string& otherwise) {
  const char* value = std::getenv(variable);
  return value != nullptr && *value != '\0' ? value : otherwise;
}

// The settings, and the job that they name, if it is there yet.
int check(const std::string& file, const std::string& job) {
  std::string name = job;
  if (job.empty()) {
    const auto s = settings_from(file);
    if (!s) return kWrongUse;
    if (!s->work_file.empty() && std::filesystem::exists(s->work_file)) name = s->work_file;
  }
  if (name.empty()) return kGood;
  std::vector<settings::Finding> findings;
  const bool good = part::load_job(name, nullptr, findings).has_value();
  for (const settings::Finding& f : findings) std::cerr << f.text() << std::endl;
  return good ? kGood : kWrongUse;
}

int run(const std::string& file) {
  const auto s = settings_from(file);
  if (!s) return kWrongUse;
  logs::Log log("anisewick_fleet", s->log_level);
  service::Surroundings around;
  around.config_path = either("RELAY_CONFIG", s->config);
  if (around.config_path.empty()) {
    std::cerr << file << ": there is no configuration: write doorman { config: \"...\" } or set RELAY_CONFIG"
              << std::endl;
    return kWrongUse;
  }
  const config::Config c = config::load(around.config_path);
  const std::string listen = either("RELAY_LISTEN", s->relay), door = either("RELAY_OPS", s->door);
  around.listen = listen.empty() ? c.listen : config::endpoint_from(listen);
  around.ops = door.empty() ? c.ops : config::endpoint_from(door);
  around.fleet = [&](asio::io_context& io, service::FleetHost host) {
    return std::make_unique<part::Part>(io, std::move(host), *s, log);
  };
  return service::Service(around, c).run();
}

// What the door of a running member says.
int status(const std::string& door) {
  const config::Endpoint at = config::endpoint_from(door);
  asio::io_context io(1);
  asio::ip::tcp::socket socket(io);
  asio::error_code error;
  socket.connect({asio::ip::address_v4(at.address), at.port}, error);
  if (!error)
    asio::write(socket, asio::buffer(std::string("GET /_fleet HTTP/1.1\r\nHost: door\r\n\r\n")), error);
  std::string said;
  if (!error) asio::read(socket, asio::dynamic_buffer(said, 1 << 20), error);
  if (error && error != asio::error::eof) {
    std::cerr << "anisewick_fleet: " << door << ": " << error.message() << std::endl;
    return kRunTime;
  }
  const std::size_t body = said.find("\r\n\r\n");
  if (!said.starts_with("HTTP/1.1 200") || body == std::string::npos) {
    std::cerr << "anisewick_fleet: " << door << " has no fleet to tell of" << std::endl;
    return kRunTime;
  }
  std::cout << said.substr(body + 4);
  return kGood;
}

}  // namespace
}  // namespace anisewick

int main(int argc, char** argv) {
  CLI::App app(
      "The doorman as a member of a fleet, in which one at a time owns each work that is done for all.\n"
      "Example: anisewick_fleet run deploy/fleet.textproto");
  app.set_version_flag("--version", std::string("anisewick_fleet ") + ANISEWICK_VERSION);
  app.require_subcommand(1);
  std::string file, door, job;
  auto* run =
      app.add_subcommand("run", "Serve, until SIGTERM; SIGUSR1 logs the counters and the fleet's state");
  run->add_option("FILE", file, "The settings, protobuf text format")->required();
  auto* check = app.add_subcommand(
      "check", "Check a settings file, and the job that it names, and say all that is wrong");
  auto* settings = check->add_option("FILE", file, "The settings, protobuf text format");
  check->add_option("--job", job, "A job's file alone, as deploy/work.textproto")->excludes(settings);
  auto* status = app.add_subcommand("status", "Show the fleet as a running member knows it, as JSON");
  status->add_option("DOOR", door, "The address of its door, as 127.0.0.1:7900")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : anisewick::kWrongUse;
  }
  try {
    if (check->parsed() && file.empty() && job.empty()) {
      std::cerr << "write a FILE or --job FILE" << std::endl;
      return anisewick::kWrongUse;
    }
    if (check->parsed()) return anisewick::check(file, job);
    return status->parsed() ? anisewick::status(door) : anisewick::run(file);
  } catch (const std::exception& e) {
    std::cerr << "anisewick_fleet: " << e.what() << std::endl;
    return anisewick::kRunTime;
  }
}
