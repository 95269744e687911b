// The interface of anisewick: what a front tells its Control and what the Control asks it to do.
// All decisions are in src/control.cpp. Times are integer nanoseconds on the caller's clock.
#ifndef ANISEWICK_CONTROL_HPP_
#define ANISEWICK_CONTROL_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "anisewick/learned.hpp"

namespace anisewick {

using Time = std::int64_t;

enum class Repeat { kSafe, kKeyed, kUnsafe };
enum class KeyScope { kAll, kZone, kCell };
enum class Siblings { kNone, kLocation, kAny };
enum class Notes { kNone, kHit, kAll };
enum class Scales { kNone, kNominal, kRough, kLive };

struct ClassSettings {
  Time aim = 0;              // an answer within aim + stretch x sending time earns the full worth
  double aim_stretch = 0.0;  // never past the deadline
  Time deadline = 0;
  double worth = 1.0;
  double late_worth = 0.0;
  double stale_worth = 1.0;
  Repeat repeat = Repeat::kSafe;
  KeyScope key_scope = KeyScope::kAll;
  Time key_ttl = 0;
  Time fresh = 0;  // 0: a copy is good until purged
  Time grace = 0;  // past fresh, a copy may still be served
  bool in_parts = false;
  bool never_kept = false;
  int max_attempts = 1;  // of one request, the first included
};

struct Settings {
  std::uint64_t seed = 0;
  int index = 0;
  int fronts = 1;
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<int> zone_hub;     // per zone: the hub zone that it is attached to
  std::vector<int> zone_fronts;  // per zone: how many fronts
  int parent_kind = -1;
  int origin_kind = -1;
  double client_kb_per_s = 0.0;
  bool direct = false;  // requests may go straight to a parent or the origin
  bool joins = false;
  bool push = true;  // list changes arrive unasked
  bool second_copies = false;
  bool cancel = false;
  bool probes = false;
  bool peers = false;
  Siblings siblings = Siblings::kNone;
  Notes notes = Notes::kNone;
  Scales scales = Scales::kNone;
  double cold_from = 1.0;
  Time ramp = 0;
  double fall_multiple = 0.0;
  Time fall_window = 0;
  double parent_cold_from = 1.0;
  Time parent_ramp = 0;
  double parent_fall_multiple = 0.0;
  Time drain_grace = 0;
  Time purge_grace = 0;
  Time purge_settle = 0;
  Time ask_every = 0;
  Time max_retry_after = 0;
  Time tick = 0;
};

// Events.
enum class State { kUp, kDraining, kGone };
struct Member {
  std::string id;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  double scale = 1.0;
  Time started_at = 0;  // 0: long ago
  State state = State::kUp;
  double share = 1.0;  // of its usual part of the requests
  bool guest = false;  // a cache that serves this front's location beside its own
};
enum class ListKind { kChanges, kFull, kSaved, kFailed };
struct Request {
  std::uint64_t id = 0;
  std::uint64_t object = 0;
  int part = 0;
  double size_kb = 0.0;
  int cls = 0;
  int group = 0;
  bool write = false;
  Time give_up_at = 0;
  // What it began with, whatever the settings say by now; none: the class's in the settings.
  std::shared_ptr<const ClassSettings> terms = nullptr;
};
enum class Status { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot, kMiss };
enum class Note {
  kNone,
  kHit,
  kFilled,
  kFilledByOrigin,
  kJoined,
  kStale,
  kSourceRefused,
  kSourceFailed,
  kSourceLacks,
  kNoFillPlace,
  kOriginFailed
};
using LoadReport = std::map<std::string, double>;
struct Outcome {
  std::uint64_t id = 0;
  int attempt = 0;
  std::string server;
  bool closed = false;
  Status status = Status::kOk;
  Note note = Note::kNone;
  Time elapsed = 0;
  Time first_byte = 0;  // how long the fill waited for its source; 0: not told
  LoadReport report;
};
struct Purge {
  bool whole_group = false;
  std::uint64_t object = 0;
  int group = 0;
  Time age = 0;
};

// Actions.
struct Attempt {
  std::uint64_t id = 0;
  std::string server;
  std::string source;  // the server itself: fill nothing
  int rank = 0;        // 0: pass through
  Time max_age = 0;    // 0: the class's fresh time
  Time until = 0;
  Time begin_by = 0;       // not to be sent from then on: it would be no repeat any more; 0: no such bound
  bool join = false;       // a fill under way may be joined
  bool held_only = false;  // the source gives only what it holds
};
struct Abort {
  std::uint64_t id = 0;
  int attempt = 0;
};
// Why a request is given up: for counters alone.
enum class Why { kNoTime, kNoRetries, kNoServer, kCrowdedFills, kWeakOrigin, kErrors };
struct Refuse {
  std::uint64_t id = 0;
  Time hold_off = 0;
  Why why = Why::kNoTime;
};
struct Fail {
  std::uint64_t id = 0;
  Why why = Why::kNoTime;
};
struct Alarm {
  Time in = 0;
  std::uint64_t token = 0;
};
struct Subscribe {};
using Action = std::variant<Attempt, Abort, Refuse, Fail, Alarm, Subscribe>;
using Actions = std::vector<Action>;

// One per front. Events go in, in order; what is to be done is appended to `out`.
class Control {
 public:
  explicit Control(const Settings& settings);
  ~Control();
  Control(Control&&) noexcept;
  Control& operator=(Control&&) noexcept;

  void members(Time now, ListKind kind, const std::vector<Member>& list, Actions& out);
  // New settings: for what comes after. The places of the classes are the same, more may follow; what was
  // learned stays. Requests that carry no terms of their own get the new ones.
  void retune(const Settings& settings);
  // What was learned so far; and, before the first request, what another process of this front had learned.
  // The list, purges and what was seen here go before it.
  Learned learned() const;
  void learn(const Learned& learned);
  void request(Time now, const Request& request, Actions& out);
  void started(Time now, std::uint64_t id, int attempt, Actions& out);  // a streamed answer has begun
  void outcome(Time now, const Outcome& outcome, Actions& out);
  void abandoned(Time now, std::uint64_t id, Actions& out);
  void alarm(Time now, std::uint64_t token, Actions& out);
  void probed(Time now, const std::string& server, Status status, const LoadReport& report, Actions& out);
  void told(Time now, int from, const std::string& bytes, Actions& out);
  void purged(Time now, const Purge& purge, Actions& out);
  // Whether the open attempt of a request may still go out, later than it was decided; asked once, when its
  // bytes could be written. False: it must not, and ends as `Status::kMoot`.
  bool may_begin(Time now, std::uint64_t id);
  // The oldest copy that will do for a request whose attempt goes out now, later than it was decided; as
  // `Attempt::max_age`. 0 also for a request that is not open.
  Time max_age(Time now, std::uint64_t id) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace anisewick

#endif  // ANISEWICK_CONTROL_HPP_
