// Shares what the processes of one proxy have heard from discovery, through their folder: each leaves what it
// heard while another lives, and takes what another heard after it. So a drain or a purge that one was told
// of binds both, though discovery is away for one of them.
#ifndef ANISEWICK_SERVICE_SHARED_DISCOVERY_HPP_
#define ANISEWICK_SERVICE_SHARED_DISCOVERY_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bus/bus.hpp"
#include "handover/discovery.hpp"
#include "handover/folder.hpp"

namespace anisewick::service {

// Owned by the service, used on its thread.
class SharedDiscovery {
 public:
  struct Source {
    std::function<std::uint64_t()> number;             // of the last event that was applied
    std::function<std::vector<bus::Depot>()> servers;  // as discovery last announced them
    std::function<void(const bus::Event&)> apply;      // an event of another process, with its number
  };
  SharedDiscovery(handover::Folder& folder, std::string name, Source source);

  // So long after a purge older copies may be left anywhere.
  void purges_settle(std::int64_t ms) { settle_ms_ = ms; }
  // An event was applied. `accompanied`: another process lives, and is told at once, before this one may end.
  void heard(const bus::Event& event, bool accompanied);
  // Leaves what is new here and takes what is new elsewhere. At each look into the folder while another
  // process lives.
  void exchange();

 private:
  void leave();
  void remember(const bus::Event& purge);
  void take(const handover::DiscoverySnapshot& snapshot);

  handover::Folder& folder_;
  const std::string name_;
  const Source source_;
  handover::PurgeLog purges_;
  std::int64_t settle_ms_ = 0;
  bool taking_ = false;
  bool changed_ = true;  // since it was left
};

}  // namespace anisewick::service

#endif  // ANISEWICK_SERVICE_SHARED_DISCOVERY_HPP_
