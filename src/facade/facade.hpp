// The decisions as a server of requests asks for them: pick, report, tick. Plain values go in and come out;
// the decision module's events, actions, alarms and attempt numbers stay inside.
// Times are nanoseconds on the Unix clock.
#ifndef ANISEWICK_FACADE_HPP_
#define ANISEWICK_FACADE_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "bus/bus.hpp"
#include "depot/depot.hpp"
#include "depot/end.hpp"

namespace anisewick {

struct ClassSettings;
struct Learned;
struct Settings;

struct Ask {
  std::uint64_t id = 0;  // the caller's own, never used again
  std::uint64_t object = 0;
  int part = 0;
  double size_kb = 0.0;
  int cls = 0;
  std::shared_ptr<const ClassSettings> terms;  // that it keeps to its end; none: those of its class
  int group = 0;
  Time give_up_at = 0;
};

// What is to be done about a request now.
struct Step {
  enum class What { kWait, kSend, kRefuse, kFail };
  What what = What::kWait;
  // kSend
  depot::Id depot = 0;
  std::optional<depot::Id> source;  // none: no fill
  int rank = 0;
  Time oldest = 0;  // 0: the class's fresh time
  Time until = 0;
  Time begin_by = 0;  // not to be sent from then on; 0: no such bound
  bool join = false;
  bool held_only = false;
  // kRefuse: stay away for so long
  Time come_back = 0;
  const char* why = "";  // of kRefuse and kFail, in a word
};

class Facade {
 public:
  explicit Facade(const Settings& settings);
  ~Facade();

  // New settings, from the next request on; what was learned stays.
  void retune(const Settings& settings);
  // What the decisions have learned; and, before the first request, what another process of this front had.
  Learned learned() const;
  void learn(const Learned& learned);
  Step pick(Time now, const Ask& ask);
  // Whether the attempt of a request may still go out, later than it was picked: asked once, when its bytes
  // could be written. False: it must not, and its end is reported as `End::kOver`.
  bool may_begin(Time now, std::uint64_t id);
  // The oldest copy that will do for a request whose attempt goes out now, later than it was picked; 0: the
  // class's fresh time.
  Time oldest(Time now, std::uint64_t id) const;
  Step report(Time now, std::uint64_t id, const Report& report);
  // What has come up by itself, of any requests.
  std::vector<std::pair<std::uint64_t, Step>> tick(Time now);
  void gone(Time now, std::uint64_t id);  // the client left
  void heed(Time now, const bus::Event& event);

 private:
  struct Impl;  // keeps the module out of the sight of those who include this
  std::unique_ptr<Impl> impl_;
};

}  // namespace anisewick

#endif  // ANISEWICK_FACADE_HPP_
