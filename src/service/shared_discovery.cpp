#include "service/shared_discovery.hpp"

#include <chrono>
#include <iostream>
#include <optional>
#include <utility>

#include "links/asio.hpp"

namespace anisewick::service {
namespace {

using Kind = bus::Event::Kind;

constexpr std::int64_t kNanosecondsPerMs = 1'000'000;
constexpr std::int64_t kMarginMs =
    1'000;  // what is heard of a purge beyond its settling binds a while longer

std::int64_t monotonic_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// The clock by which events are applied.
std::int64_t steady_unix_ms() { return links::steady_unix_now() / kNanosecondsPerMs; }

}  // namespace

SharedDiscovery::SharedDiscovery(handover::Folder& folder, std::string name, Source source)
    : folder_(folder), name_(std::move(name)), source_(std::move(source)) {}

void SharedDiscovery::heard(const bus::Event& event, bool accompanied) {
  changed_ = true;
  if (event.kind == Kind::kObjectPurge || event.kind == Kind::kGroupPurge) remember(event);
  if (accompanied && !taking_) leave();
}

void SharedDiscovery::remember(const bus::Event& event) {
  const bool whole_group = event.kind == Kind::kGroupPurge;
  const std::int64_t now_ms = monotonic_ms();
  // A time that is ahead of the clock is one of now: to take a purge for younger is safe.
  const std::int64_t age_ms = std::max<std::int64_t>(0, steady_unix_ms() - event.purged_ms);
  purges_.add(
      {whole_group, whole_group ? static_cast<std::uint64_t>(event.group) : event.object, now_ms - age_ms},
      now_ms, settle_ms_ + kMarginMs);
}

void SharedDiscovery::exchange() {
  if (changed_) leave();
  std::string why;
  for (const std::string& bytes :
       folder_.left_by_others(handover::Folder::Part::kDiscovery, handover::kMostDiscovery)) {
    if (const auto snapshot = handover::decode_discovery(bytes, name_, why)) {
      take(*snapshot);
    } else {
      std::cerr << "anisewick: what another process heard from discovery is not taken: " << why << std::endl;
    }
  }
}

void SharedDiscovery::leave() {
  const std::string bytes =
      handover::encode_discovery({source_.number(), source_.servers(), purges_.purges()}, name_);
  changed_ =
      bytes.size() > handover::kMostDiscovery || !folder_.leave(handover::Folder::Part::kDiscovery, bytes);
}

void SharedDiscovery::take(const handover::DiscoverySnapshot& snapshot) {
  if (snapshot.number <= source_.number() || snapshot.servers.empty()) return;
  taking_ = true;  // a part of it must not be left with the number of the whole
  for (const handover::Purge& purge : snapshot.purges) {
    bus::Event event;
    event.number = snapshot.number;
    event.kind = purge.whole_group ? Kind::kGroupPurge : Kind::kObjectPurge;
    event.object = purge.whole_group ? 0 : purge.key;
    event.group = purge.whole_group ? static_cast<int>(purge.key) : 0;
    event.purged_ms = steady_unix_ms() - (monotonic_ms() - purge.at_ms);
    source_.apply(event);
  }
  bus::Event list;
  list.number = snapshot.number;
  list.kind = Kind::kWholeList;
  list.depots = snapshot.servers;
  source_.apply(list);
  taking_ = false;
}

}  // namespace anisewick::service
