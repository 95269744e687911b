// The operators' calls: bytes of HTTP/1.1 to a call or to the status that turns it down. No I/O.
#ifndef ANISEWICK_DOOR_CALLS_HPP_
#define ANISEWICK_DOOR_CALLS_HPP_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "depot/depot.hpp"

namespace anisewick::door {

struct Call {
  enum class What {
    kReady,
    kDetach,
    kAttach,
    kDuckOn,
    kDuckOff,
    kFleet,
    kReplace,
    kZoneLeave,
    kZoneReturn,
    kZoneAuto,
    kZones,
    kWorkTake,
    kWorkStop,
    kWorkPause,
    kWorkResume,
    kWorkBack,
    kWorkGone,
    kWorkJob,
    kWork
  };
  What what = What::kReady;
  depot::Id depot = 0;  // of detach and attach
  std::string out, in;  // of kReplace: members' names; of work: a job or a doorman, and a machine
};

// What a method and a path ask for. `status` 0: `call` is good; else how it is turned down (400, 404, 405).
struct Routed {
  int status = 0;
  Call call;
  std::string_view allow;  // of a 405: the method that would do
};
// `fleet`: the calls of a doorman that belongs to one are there too.
Routed route(std::string_view method, std::string_view path, bool fleet = false);

// One call, its bytes split anywhere. What follows it on the connection is passed over.
class CallReader {
 public:
  enum class State { kMore, kCall, kBad };
  CallReader();
  ~CallReader();
  State feed(std::string_view bytes);
  const std::string& method() const;
  const std::string& path() const;  // without what follows a '?'
  int status() const;               // of kBad: 400, 413 or 431

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

// A whole answer, after which the connection ends.
std::string answer_bytes(int status, std::string_view allow, std::string_view line);

}  // namespace anisewick::door

#endif  // ANISEWICK_DOOR_CALLS_HPP_
