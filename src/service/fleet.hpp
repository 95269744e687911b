// What the doorman knows of a fleet it may belong to: one narrow interface. `anisewick` is built without one.
#ifndef ANISEWICK_SERVICE_FLEET_HPP_
#define ANISEWICK_SERVICE_FLEET_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bus/bus.hpp"
#include "depot/depot.hpp"
#include "depot/end.hpp"
#include "holds/holds.hpp"
#include "links/asio.hpp"

namespace anisewick::service {

// What a doorman sees of a depot.
struct Seen {
  bool told = false, ready = false, gone = false;  // by the bus
  std::int64_t born_ms = 0;                        // Unix time
  std::uint32_t open = 0;                          // attempts that may reach it
  bool needed = false;                             // it is used though it is to be left alone
  std::uint64_t answers = 0, fills = 0;            // since the start
};

// Where the doorman stands: the bus's last word on all depots, and what their numbers mean.
struct Site {
  std::vector<bus::Depot> depots;
  std::vector<std::string> zones;  // by their numbers
  int zone = 0;                    // its own
  int parent_kind = -1, origin_kind = -1;
  std::int64_t ramp_ms = 0;              // a cache that was started is cold for so long
  double client_kb_per_s = 0.0;          // that is sent to a client
  std::int64_t max_come_back_ms = 1000;  // that a refused one may be told
  // Empty: it has no name.
  const std::string& name_of(int number) const {
    static const std::string kNone;
    const auto place = static_cast<std::size_t>(number);
    return number >= 0 && place < zones.size() ? zones[place] : kNone;
  }
};

// What a fleet tells its doorman, on the doorman's loop.
struct FleetHost {
  // The fleet's word on a depot; words come in the order that all settle on. `ours_waits`: a call on it that
  // was taken here is not settled yet, and stands over this word until it is.
  std::function<void(const holds::Word& word, bool ours_waits)> settled;
  // All that the fleet had settled is heeded: nothing is missing for the first yes.
  std::function<void()> caught_up;
  // Nobody will send to this depot any more.
  std::function<bool(depot::Id depot)> gone;
  // Work on machines: these are left alone from now on, those are in service again, since when (Unix time).
  std::function<void(const std::vector<depot::Id>& left, const std::map<depot::Id, std::int64_t>& back)>
      leave;
  // Zones: how depots stand in the list for this doorman; the others as the bus says.
  std::function<void(const std::map<depot::Id, holds::Lay>& laid)> lay;
  std::function<Seen(depot::Id depot)> look;
  std::function<Site()> site;
  std::function<bool()> serving;  // it says ready
  std::function<bool()> idle;     // it is in a drain, and nothing is open
  std::function<void(bool on)> duck;
};

// Owned by the doorman, used on its one thread; no call waits for anybody.
class Fleet {
 public:
  virtual ~Fleet() = default;
  // False: it cannot begin at all, and `why` says so in a line. Sockets that fail later are tried again.
  virtual bool start(std::string& why) = 0;
  // Staff's call, which holds here already. What is to be said of it to them, in a few words.
  virtual std::string called(depot::Id depot, bool held) = 0;
  // This doorman goes out of service, or comes back.
  virtual void drain(bool on) = 0;
  // Before anything is decided about a request: time may have passed unseen, and a permit with it.
  virtual void look() = 0;
  // A request was taken, of a class worth so much: 0, it goes on; else it is refused at once, to come back
  // after so many nanoseconds.
  virtual std::int64_t admit(int cls, double worth, double size_kb, std::uint64_t request) = 0;
  // An attempt at a depot begins, has ended, or is given up with its request.
  virtual void began(std::uint64_t request, depot::Id depot) = 0;
  virtual void ended(std::uint64_t request, depot::Id depot, const Report& report) = 0;
  virtual void given_up(std::uint64_t request) = 0;
  // The configuration was read again.
  virtual void reload() = 0;
  virtual void end() = 0;
  // One line of JSON; `report` writes it to the log.
  virtual std::string status() = 0;
  virtual void report() = 0;
  // Staff want one voter for another. Empty: it is begun; else why not.
  virtual std::string replace(const std::string& out, const std::string& in) = 0;
  // Staff's calls on zones, likewise.
  enum class Zone { kLeave, kReturn, kAuto, kAll };
  virtual std::pair<int, std::string> zone(Zone what, const std::string& zone) = 0;
  // Staff's calls on work: a status of HTTP and a line, or several.
  enum class Work { kTake, kStop, kPause, kResume, kBack, kGone, kJob, kAll };
  virtual std::pair<int, std::string> work(Work what, const std::string& job, const std::string& machine) = 0;
};

// How a doorman gets its fleet; empty: it has none.
using MakeFleet = std::function<std::unique_ptr<Fleet>(asio::io_context&, FleetHost)>;

}  // namespace anisewick::service

#endif  // ANISEWICK_SERVICE_FLEET_HPP_
