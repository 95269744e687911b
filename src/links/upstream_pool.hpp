// Connections to cache servers ("depots" on the wire): requests go out, answers come back, each request ends
// exactly once.
#ifndef ANISEWICK_LINKS_UPSTREAM_POOL_HPP_
#define ANISEWICK_LINKS_UPSTREAM_POOL_HPP_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bus/bus.hpp"
#include "depot/answer_check.hpp"
#include "depot/depot.hpp"
#include "depot/end.hpp"
#include "links/asio.hpp"
#include "links/counters.hpp"

namespace anisewick::links {

class UpstreamPool {
 public:
  struct Limits {
    std::chrono::nanoseconds connect_timeout{400'000'000};
    std::chrono::nanoseconds idle{30'000'000'000};
    int streams = 100;       // requests open on one connection
    std::size_t links = 64;  // connections to all depots
    std::size_t share = 1;   // requests on one before another is opened, at least 1
  };
  struct Order {
    depot::Id depot = 0;
    std::optional<depot::Id> source;
    std::string id;  // the client's, by which the depot answers
    // Makes the request's bytes in the moment in which they go out: the time it tells is what is left then.
    std::function<std::string()> bytes;
    depot::RequestFacts facts;  // what its answer has to agree with
    // Asked once, when its bytes could go out. False: it is not sent any more, and its end is kOver. None: it
    // may go out whenever it can.
    std::function<bool()> may_begin;
    // By steady_unix_now: not written from then on, but unreached; 0: no such bound.
    std::int64_t begin_by = 0;
    std::uint64_t tag = 0;  // of the caller's own
    int moved = 0;          // from connections that ended, or did not come up, before it was sent
  };
  struct Reply {
    Report report;
    bool same = false;  // the client's copy is the one
    std::string body;
    std::string tag;           // of the copy; empty: none was told
    std::int64_t born_ms = 0;  // Unix time at which the origin gave the copy out; 0: not told
    int group = 0xffff;        // of the object; 0xffff: not told
  };
  using Done = std::function<void(Reply&&)>;
  using Handle = std::uint64_t;

  UpstreamPool(asio::io_context& io, Counters& counters, Limits limits);
  ~UpstreamPool();

  // Called before what has waited is written: it may not go any more, and `heed` then recalls it.
  void looks_by(std::function<void()> look) { look_ = std::move(look); }
  // Asked before more of an answer is read, with the tag of its order. False: it is asked again a little
  // later.
  void reads_by(std::function<bool(std::uint64_t tag)> may_read) { may_read_ = std::move(may_read); }
  // From here on; what is open beyond it stays open.
  void limit(std::size_t links) { limits_.links = links; }
  void heed(const bus::Event& event);
  // `done` is called once, later and never from within this call, unless the order is given up first.
  Handle send(Order order, Done done);
  bool begun(Handle handle) const;  // some of it may have gone out
  // True: it had not been sent, which proves that it never ran.
  bool give_up(Handle handle);
  void close();
  // Of answers that have come in part, over all connections.
  std::size_t arriving_bytes() const { return arriving_; }

 private:
  class Link;
  struct Known {
    bus::Depot depot;
    std::vector<std::shared_ptr<Link>> links;
  };
  struct Open {
    std::shared_ptr<Link> link;  // none: there was no connection to be had, `done` is under way
    std::string id;
  };
  bool ready(depot::Id id) const;
  static void retire(const Known& known);
  std::shared_ptr<Link> link_for(Known& known, const std::string& id);
  // One that is up and takes the request, else a new one if that is allowed and there is room for it.
  std::shared_ptr<Link> other_link(depot::Id depot, const std::string& id, bool may_open);
  std::shared_ptr<Link> open_link(Known& known);
  void dispatch(Handle handle, Order&& order, Done&& done);
  // Ends it without having been sent, but not from within this call.
  void end_later(Handle handle, Done&& done, End end);

  asio::io_context& io_;
  Counters& counters_;
  Limits limits_;
  std::function<void()> look_;
  std::function<bool(std::uint64_t tag)> may_read_;
  Handle next_ = 1;
  std::unordered_map<depot::Id, Known> depots_;
  std::unordered_map<Handle, Open> open_;
  std::size_t links_ = 0;  // connections, up or on their way
  std::size_t arriving_ = 0;
  const Link* finishing_ =
      nullptr;  // reads the answer that has come in part to its end, where there is no room
  std::array<char, 16 * 1024> read_buffer_;  // of all connections: what is read is taken from it at once
};

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_UPSTREAM_POOL_HPP_
