// Stand-ins for what a cache box or a doorman talks to: an origin and an event bus, by the platform's
// protocol page, on loopback. Each runs a thread of its own; all calls may come from any thread.
#ifndef ANISEWICK_STANDIN_SITE_HPP_
#define ANISEWICK_STANDIN_SITE_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bus/bus.hpp"
#include "depot/request.hpp"

namespace anisewick::standin {

std::int64_t unix_ms();

// The bytes of a part as they were after so many purges of it. Made up, and the same everywhere.
std::string bytes_of(std::uint64_t object, std::uint32_t part, std::uint64_t version, std::size_t size);
std::string tag_of(std::uint64_t object, std::uint32_t part, std::uint64_t version);

class Origin {
 public:
  struct Ways {
    std::size_t size = 1000;  // of every part
    int delay_ms = 0;
    std::int64_t clock_ms = 0;  // added to the time it tells as birth
    enum class Answer { kServe, kWait, kBroke, kReset, kSilent, kGarbage } answer = Answer::kServe;
    int answers = -1;         // so many, and then it serves again; -1: always
    bool tells_group = true;  // its objects' groups are their lowest byte
    int group_noise = 0;      // added to the group that it tells
    std::string kept_tag;     // told with KEEP in place of the true one; empty: the true one
  };
  explicit Origin(std::uint16_t port = 0);
  ~Origin();
  std::uint16_t port() const;
  void ways(const Ways& ways);
  // From now on the parts of this object (or of all objects of the group) are of a further version.
  void change(std::uint64_t object);
  void change_group(int group);
  std::uint64_t version(std::uint64_t object) const;

  struct Counts {
    std::uint64_t fetches = 0, bytes = 0, keeps = 0, aborts = 0;
  };
  Counts counts() const;
  std::uint64_t fetches_of(std::uint64_t object) const;
  // The requests as they came, in order; the last thousand.
  std::vector<depot::Request> heard() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

class EventBus {
 public:
  explicit EventBus(std::uint16_t port = 0);
  ~EventBus();
  std::uint16_t port() const;
  // Gets the next number, and goes to all who are connected.
  std::uint64_t tell(bus::Event event);
  void purge(std::uint64_t object, std::int64_t at_ms);
  void purge_group(int group, std::int64_t at_ms);
  // All that is told goes out so many milliseconds late, from now on.
  void late(int ms);
  // Closes all connections and refuses new ones, or takes them again.
  void close();
  void open();
  // Forgets all, and counts from 1 again; the whole list as it stands comes first.
  void begin_anew();
  std::size_t connected() const;
  // The number that the last one who connected asked from.
  std::uint64_t asked_from() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

bus::Depot depot_at(std::uint32_t id, std::uint16_t port, int kind, int zone = 1);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_SITE_HPP_
