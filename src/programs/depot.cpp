// anisewick_depot: a cache box with a memory tier and a disk tier. Arguments, wiring, signals.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cachebox/box.hpp"
#include "cachebox/settings.hpp"

namespace anisewick {
namespace {

constexpr int kGood = 0, kRunTime = 1, kWrongUse = 2;

std::optional<cachebox::Settings> settings_from(const std::string& file) {
  std::vector<settings::Finding> findings;
  auto s = cachebox::load(file, findings);
  for (const settings::Finding& f : findings) std::cerr << f.text() << std::endl;
  return s;
}

int run(const std::string& file) {
  const auto s = settings_from(file);
  if (!s) return kWrongUse;
  logs::Log log("anisewick_depot", s->log_level);
  std::unique_ptr<disk::Files> files;
  std::string why;
  if (s->disk) {
    int error = 0;
    files = disk::posix_files(s->disk->folder, error);
    if (!files) why = s->disk->folder + ": " + disk::what_error(error);
  }
  asio::io_context io(1);
  cachebox::Box box(io, *s, log, std::move(files), why);
  if (const links::Error error = box.start(); error) {
    log.say(logs::Level::kError, "listen_failed", {{"reason", error.message()}});
    return kRunTime;
  }
  log.say(logs::Level::kInfo, "ready",
          {{"depot", depot::text_of(s->id)},
           {"listen", s->listen.address().to_string() + ":" + std::to_string(box.port())}});
  asio::signal_set signals(io, SIGTERM, SIGINT, SIGUSR1);
  std::function<void()> wait = [&] {
    signals.async_wait([&](links::Error error, int signal) {
      if (error) return;
      if (signal == SIGUSR1) {
        box.report("asked");
        return wait();
      }
      box.end([&io](bool clean) {
        if (!clean) std::_Exit(kRunTime);  // a thread that waits for the disk can't be waited for
        io.stop();
      });
      wait();
    });
  };
  wait();
  io.run();
  return kGood;
}

}  // namespace
}  // namespace anisewick

int main(int argc, char** argv) {
  CLI::App app(
      "A cache box with a memory tier and a disk tier.\n"
      "Example: anisewick_depot run deploy/depot.textproto");
  app.set_version_flag("--version", std::string("anisewick_depot ") + ANISEWICK_VERSION);
  app.require_subcommand(1);
  std::string file;
  auto* run = app.add_subcommand("run", "Serve, until SIGTERM; SIGUSR1 logs the counters");
  run->add_option("FILE", file, "The settings, protobuf text format")->required();
  auto* check = app.add_subcommand("check", "Check a settings file and say all that is wrong with it");
  check->add_option("FILE", file, "The settings, protobuf text format")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : anisewick::kWrongUse;
  }
  try {
    if (check->parsed()) return anisewick::settings_from(file) ? anisewick::kGood : anisewick::kWrongUse;
    return anisewick::run(file);
  } catch (const std::exception& e) {
    std::cerr << "anisewick_depot: " << e.what() << std::endl;
    return anisewick::kRunTime;
  }
}
