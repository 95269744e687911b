// The doorman: reads its surroundings and its configuration, serves until it is told to end.
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <string>

#include "config/config.hpp"
#include "service/allocator.hpp"
#include "service/service.hpp"

namespace anisewick {
namespace {

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

// Off unless asked for: the platform's doorman writes its few plain lines.
std::chrono::milliseconds report_gap() {
  const std::string text = environment("ANISEWICK_REPORT_MS");
  long gap = 0;
  std::from_chars(text.data(), text.data() + text.size(), gap);
  return std::chrono::milliseconds(std::clamp(gap, 0L, 3'600'000L));
}

// Taken at its word only if it is what it should be: on anything else we would serve nobody.
std::optional<int> inherited() {
  const std::string text = environment("RELAY_FD");
  if (text.empty()) return std::nullopt;
  int descriptor = -1;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), descriptor);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size() || descriptor < 0) {
    throw config::Bad("RELAY_FD is no number of a descriptor: '" + text + "'");
  }
  int listens = 0;
  socklen_t size = sizeof listens;
  sockaddr_in at{};
  socklen_t length = sizeof at;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &length) != 0 || at.sin_family != AF_INET) {
    throw config::Bad("descriptor " + text + " of RELAY_FD is no listening TCP socket");
  }
  return descriptor;
}

// Until the service listens for them they wait: by default they would end the process.
sigset_t waiting_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&signals, signal);
  return signals;
}

// A log that nobody reads any more, or a file that may not grow, fails its write and ends nobody.
void ignore_failed_writes() {
  for (const int signal : {SIGPIPE, SIGXFSZ}) ::signal(signal, SIG_IGN);
}

int start() {
  service::Surroundings around;
  around.config_path = environment("RELAY_CONFIG");
  if (around.config_path.empty()) throw config::Bad("RELAY_CONFIG is not set");
  const config::Config c = config::load(around.config_path);
  const std::string listen = environment("RELAY_LISTEN"), ops = environment("RELAY_OPS");
  around.listen = listen.empty() ? c.listen : config::endpoint_from(listen);
  around.ops = ops.empty() ? c.ops : config::endpoint_from(ops);
  around.descriptor = inherited();
  around.folder = environment("TMPDIR");
  around.report_gap = report_gap();
  around.log_requests = environment("ANISEWICK_REQUEST_LOG") == "1";
  service::Service service(around, c);
  const sigset_t signals = waiting_signals();
  ::sigprocmask(SIG_UNBLOCK, &signals, nullptr);
  return service.run();
}

}  // namespace
}  // namespace anisewick

int main() {
  const sigset_t signals = anisewick::waiting_signals();
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
  anisewick::ignore_failed_writes();
  anisewick::service::bound_allocator();
  try {
    return anisewick::start();
  } catch (const std::exception& e) {
    std::cerr << "anisewick: " << e.what() << std::endl;
    return 1;
  }
}
