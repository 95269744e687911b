// How an attempt at a depot ended, as those who decide about the next one need it.
#ifndef ANISEWICK_DEPOT_END_HPP_
#define ANISEWICK_DEPOT_END_HPP_

#include <cstdint>

namespace anisewick {

using Time = std::int64_t;  // nanoseconds

// How an attempt ended.
enum class End {
  kServed,
  kBroke,      // the depot says so; it may have run
  kFull,       // turned away: it never ran
  kLate,       // no answer in time; it may have run
  kUnreached,  // never sent: it never ran
  kReset,      // the connection ended with the attempt out; it may have run
  kOver,       // the depot says that its time had run out: it never ran
  kLacks       // no copy that will do: it never ran
};
struct Report {
  End end = End::kServed;
  int remark = 0;   // the depot's note, numbered as on the depots' protocol
  Time waited = 0;  // for the source of the fill
};

}  // namespace anisewick

#endif  // ANISEWICK_DEPOT_END_HPP_
