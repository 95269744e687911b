// A doorman's part in its fleet: the member's decisions with sockets, clock and disk under them. On the
// doorman's loop; only the state file is written on a thread of its own.
#ifndef ANISEWICK_FLEET_PART_PART_HPP_
#define ANISEWICK_FLEET_PART_PART_HPP_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "disk/workers.hpp"
#include "fleet/evidence/evidence.hpp"
#include "fleet/evidence/ills.hpp"
#include "fleet/member/member.hpp"
#include "fleet/part/settings.hpp"
#include "fleet/peers/carrier.hpp"
#include "fleet/store/store.hpp"
#include "fleet/work/choose.hpp"
#include "fleet/zones/toll.hpp"
#include "logs/logs.hpp"
#include "service/fleet.hpp"

namespace anisewick::part {

class Part final : public service::Fleet {
 public:
  Part(asio::io_context& io, service::FleetHost host, const Settings& settings, logs::Log& log);
  ~Part() override;

  bool start(std::string& why) override;
  std::string called(depot::Id depot, bool held) override;
  void drain(bool on) override;
  void look() override { leave(); }
  std::int64_t admit(int cls, double worth, double size_kb, std::uint64_t request) override;
  void began(std::uint64_t request, depot::Id depot) override;
  void ended(std::uint64_t request, depot::Id depot, const Report& report) override;
  void given_up(std::uint64_t request) override { evidence_.given_up(request); }
  std::pair<int, std::string> zone(Zone what, const std::string& zone) override;
  void reload() override;
  void end() override;
  std::string status() override;
  void report() override;
  std::string replace(const std::string& out, const std::string& in) override;
  std::pair<int, std::string> work(Work what, const std::string& job, const std::string& machine) override;

 private:
  static constexpr std::size_t kSaid = 8;  // last calls that are shown
  void leave();
  void lay();
  void look_at_site();
  zones::Sight sight(std::int64_t now_ms);
  std::pair<int, std::string> take();
  std::vector<work::Known> known() const;
  std::int64_t now() const;      // monotonic, by this member's clock
  std::int64_t unix_ms() const;  // likewise
  void tick();
  void carry_out();
  void save();

  asio::io_context& io_;
  const service::FleetHost host_;
  const Settings settings_;
  logs::Log& log_;
  const std::uint64_t session_;
  peers::Carrier carrier_;
  std::unique_ptr<store::Store> store_;
  std::unique_ptr<member::Member> member_;
  asio::steady_timer timer_, again_;
  std::unique_ptr<disk::Pool> pool_;  // last: its thread ends before what it writes with
  bool writing_ = false, failing_ = false, told_ = false, ended_ = false;
  std::int64_t pause_ms_ = 0;
  std::uint64_t writes_ = 0, failed_writes_ = 0;
  double late_ms_ = 0.0;  // the latest tick
  evidence::Ills ills_;
  evidence::Evidence evidence_;
  evidence::Late late_;
  zones::Toll toll_;
  zones::Shares shares_;
  std::int64_t laid_ms_ = -1'000'000, demand_ms_ = 0, late_at_ms_ = -1'000'000;
  double demand_ = 0.0;  // requests, counted with a memory of two seconds
  std::uint64_t unsent_ = 0;
  service::Site site_;                          // as of a little while ago
  std::unordered_map<depot::Id, int> zone_of_;  // of its depots
  std::int64_t site_ms_ = -1'000'000;
  std::int64_t unsent_ms_ = -1'000'000;
  std::vector<std::string> left_;
  std::uint64_t picture_ = 0;
  std::int64_t started_ms_ = 0;
  bool ducked_ = false;           // for work
  std::deque<std::string> said_;  // of calls on work
  std::chrono::steady_clock::time_point due_{};
};

}  // namespace anisewick::part

#endif  // ANISEWICK_FLEET_PART_PART_HPP_
