// The operators' word on depots, laid over the event bus's list. No I/O, no clock. One owner, one thread.
#ifndef ANISEWICK_HOLDS_HPP_
#define ANISEWICK_HOLDS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bus/bus.hpp"
#include "depot/depot.hpp"

namespace anisewick::holds {

// The last call about a depot. Of two the later one counts; of two at one moment the one that takes it out.
struct Mark {
  depot::Id depot = 0;
  bool held = false;
  std::int64_t at_ms = 0;  // Unix time of the call
  bool operator==(const Mark&) const = default;
};

// The word of a whole fleet on a depot: of two the one with the higher number counts, whatever clocks say.
struct Word {
  depot::Id depot = 0;
  bool held = false;
  std::uint64_t number = 0;
  std::int64_t at_ms = 0;  // Unix time of the call, where it was taken
};

// How a depot stands in the list for this doorman, where the fleet has left zones.
struct Lay {
  double share = 1.0;  // of its usual part
  bool guest = false;  // a cache of another zone that serves this one too
  bool left = false;   // nothing goes there
  bool operator==(const Lay&) const = default;
};

class Holds {
 public:
  // Nothing where nobody has that id; else the changes that those who follow the list have to heed, which are
  // none where the call changes nothing. `now_ms` is Unix time.
  std::optional<bus::Event> detach(depot::Id id, std::int64_t now_ms);
  std::optional<bus::Event> attach(depot::Id id, std::int64_t now_ms);

  // A word of the fleet, given in the order of its numbers: it stands over what was called here. What is to
  // be heeded.
  bus::Event settle(const Word& word);
  // Work on machines: these are left alone, each but where nothing else of its kind is there in its zone;
  // those in `back` are in service again, started then at the earliest. Stands beside staff's word, and
  // neither undoes the other. What is to be heeded.
  bus::Event leave(const std::vector<depot::Id>& left, const std::map<depot::Id, std::int64_t>& back);
  // Zones that are left: these stand so, all others as the bus says. Staff's word and drains stand over it.
  bus::Event lay(const std::map<depot::Id, Lay>& laid);
  // It is used all the same, for there is nothing else.
  bool needed(depot::Id id) const;
  // The bus's last word; nullptr: it never told of it.
  const bus::Depot* told(depot::Id id) const;
  std::vector<bus::Depot> list() const;
  // The same without those that have gone.
  std::vector<bus::Depot> listed() const;

  // The bus says that it is gone, or never told of it.
  bool gone(depot::Id id) const;

  // A list, whole or changes, as it is to be heeded; other events pass as they are. Held means draining, for
  // requests and as a source; put back means started then, at the earliest.
  bus::Event over(bus::Event event);

  // What another process of the same doorman was told: taken where it is later. What is to be heeded.
  bus::Event merge(const std::vector<Mark>& marks);
  std::vector<Mark> marks() const;

 private:
  // Known at once: more than the decisions keep.
  static constexpr std::size_t kMost = 8192;
  static constexpr std::size_t kMostBack = 1024;

  bool set(const Mark& mark);
  bus::Depot effective(const bus::Depot& told) const;
  bus::Event change_of(const std::vector<depot::Id>& ids) const;
  void trim();

  std::map<depot::Id, bus::Depot> told_;  // the bus's last word
  std::map<depot::Id, Mark> marks_;
  std::set<depot::Id> left_;
  std::map<depot::Id, std::int64_t> back_;  // from work
  std::map<depot::Id, Lay> laid_;
};

}  // namespace anisewick::holds

#endif  // ANISEWICK_HOLDS_HPP_
