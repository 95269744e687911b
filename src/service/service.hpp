// The doorman as a whole: wires its parts together and carries out what its life cycle says.
#ifndef ANISEWICK_SERVICE_SERVICE_HPP_
#define ANISEWICK_SERVICE_SERVICE_HPP_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "door/door.hpp"
#include "facade/facade.hpp"
#include "generations/generations.hpp"
#include "handover/folder.hpp"
#include "handover/run_ledger.hpp"
#include "handover/state.hpp"
#include "holds/holds.hpp"
#include "lifecycle/lifecycle.hpp"
#include "net/asio.hpp"
#include "net/counters.hpp"
#include "net/doorman.hpp"
#include "net/front.hpp"
#include "net/reports.hpp"
#include "net/request_log.hpp"
#include "service/fleet.hpp"
#include "service/shared_discovery.hpp"

namespace anisewick::service {

// What the environment says beside the configuration.
struct Surroundings {
  std::string config_path;              // RELAY_CONFIG
  config::Endpoint listen;              // RELAY_LISTEN, else of the configuration
  std::optional<int> descriptor;        // RELAY_FD: a listening socket that we share
  std::optional<config::Endpoint> ops;  // RELAY_OPS, else of the configuration; none: no door
  // TMPDIR: shared by the processes of this doorman where they share the listening socket; empty: none.
  std::string folder;
  std::chrono::milliseconds report_gap{0};  // ANISEWICK_REPORT_MS; 0: no reports
  bool log_requests = false;                // ANISEWICK_REQUEST_LOG: net/request_log.hpp
  MakeFleet fleet;                          // empty: this doorman belongs to none
};

// Owned by main, one thread.
class Service {
 public:
  Service(const Surroundings& around, const config::Config& c);
  // Until the end; the exit code.
  int run();

 private:
  void settled(const holds::Word& word, bool ours_waits);
  void caught_up();
  void heed(const bus::Event& event);
  void wait_for_signal();
  void reload();
  void adopt(config::Config&& c);
  void tune();
  void attend();
  void look();
  void take_in(const handover::State& state);
  void watch();
  void trim();
  void leave_learned();
  void take_learned();
  bool publish();
  void end();
  door::Verdict called(const door::Call& call);
  door::Verdict hold(const door::Call& call);
  door::Verdict worked(Fleet::Work what, const door::Call& call);
  door::Verdict zoned(Fleet::Zone what, const door::Call& call);
  void duck(bool on);
  Site site() const;
  Seen seen(depot::Id id) const;
  void print_counters() const;

  const Surroundings around_;
  asio::io_context io_{1};
  config::Config config_;  // in force
  net::Counters counters_;
  generations::Classes classes_;
  Facade facade_;
  net::UpstreamPool depots_;
  net::Doorman doorman_;
  net::Front front_;
  holds::Holds holds_;
  lifecycle::Life life_;
  std::optional<handover::Folder> folder_;           // where another process may take over
  std::optional<handover::RunLedger> runs_;          // with the folder it is shared
  std::optional<SharedDiscovery> shared_discovery_;  // with the folder
  bool accompanied_ = false;                         // another process of this one lives
  handover::Drain drain_;                            // the operators' last word
  bool announced_ = false, half_ = false, left_ = false, taken_ = false;
  std::int64_t started_ms_ = 0;  // Unix time
  net::DiscoveryClient bus_;
  std::optional<net::Reports> reports_;
  std::optional<net::RequestLog> log_;
  door::Door door_;
  asio::signal_set signals_;
  asio::steady_timer next_, watching_, settling_, trimming_;
  std::unique_ptr<Fleet> fleet_;  // none: alone, as on the platform
  bool running_ = false, listed_ = false, failed_ = false;
  lifecycle::Time over_at_ = 0;
};

}  // namespace anisewick::service

#endif  // ANISEWICK_SERVICE_SERVICE_HPP_
