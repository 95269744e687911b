// The cache box: takes requests from peers, answers them from memory, disk or a source. Ties the tiers, the
// links and the event bus together; what it decides stands in serving, purges, shelf, admission and disk. One
// thread, but for the store's workers.
#ifndef ANISEWICK_CACHEBOX_BOX_HPP_
#define ANISEWICK_CACHEBOX_BOX_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cachebox/peer.hpp"
#include "cachebox/settings.hpp"
#include "disk/store.hpp"
#include "links/acceptor.hpp"
#include "links/discovery_client.hpp"
#include "links/upstream_pool.hpp"
#include "logs/logs.hpp"
#include "purges/continuity.hpp"
#include "serving/serving.hpp"
#include "shelf/shelf.hpp"

namespace anisewick::cachebox {

struct Counters : links::Counters {
  std::uint64_t connections = 0, turned_away = 0, malformed = 0, unusable = 0;  // from peers
  std::uint64_t requests = 0, aborted = 0, probes = 0;
  std::uint64_t done = 0, kept = 0, lacks = 0, full = 0, broke = 0, past = 0;  // answers
  std::uint64_t memory_hits = 0, disk_hits = 0, stale = 0, filled = 0, joined = 0, confirmed = 0, renewed = 0;
  std::uint64_t fills = 0, fill_tries = 0, fill_failures = 0, late_reads = 0;
  std::uint64_t lists = 0, purges = 0, gaps = 0;  // from the event bus
};

class Box {
 public:
  // `files`: the folder of the disk tier, or none and `why`; ignored where the settings have no disk.
  Box(asio::io_context& io, const Settings& settings, logs::Log& log, std::unique_ptr<disk::Files> files,
      std::string why);
  ~Box();

  // Listens, opens the store and joins the event bus. An error is that of listening.
  links::Error start();
  std::uint16_t port() const;
  // Takes nothing new, ends what is open, writes the disk tier out; then calls `done`, once. Not `clean`: the
  // disk did not answer in time, and its threads may never end.
  void end(std::function<void(bool clean)> done);
  // Logs the counters.
  void report(const char* why);
  const Counters& counters() const { return counters_; }
  const disk::Store& store() const { return *store_; }
  // The event bus has told all, and nothing can have been missed.
  bool proven() const;

 private:
  using Ticket = Peer::Ticket;
  struct Open {
    std::shared_ptr<Peer> peer;
    depot::Request request;
    std::size_t cls = 0;
    std::int64_t came_ms = 0, until_ms = 0;
    std::optional<copies::Copy> candidate;  // will do if its source says so
    bool reading = false;                   // of the disk; its end is awaited
    bool tried_disk = false;
    std::uint64_t fill = 0;  // it waits for
    bool joined = false;
  };
  struct FillUnder {
    FillUnder(asio::io_context& io, serving::Fill f) : course(std::move(f)), timer(io) {}
    serving::Fill course;
    asio::steady_timer timer;  // of the try, or before the next
    depot::Request request;    // of the first who asked for it
    std::size_t cls = 0;
    std::optional<copies::Copy> candidate;
    std::vector<Ticket> waiters;
    std::uint64_t sequence = 0;    // of the store, when the try was sent
    std::int64_t least_birth = 0;  // of a copy that will do, when the try was sent
    std::int64_t sent_ms = 0, began_ms = 0;
    int rank = 0;
    bool keep = true;
    links::UpstreamPool::Handle handle = 0;  // 0: no try is out
    depot::Id source = 0;
  };
  // Fills of one part, for those who may join.
  using ByKey = std::unordered_multimap<copies::Key, std::uint64_t, copies::KeyHash>;

  void take(links::Tcp::socket socket);
  bool asked(const std::shared_ptr<Peer>& peer, depot::Request&& request);
  void fetch(const std::shared_ptr<Peer>& peer, depot::Request&& request);
  void look(Ticket ticket);
  void read_disk(Ticket ticket);
  void from_source(Ticket ticket);
  std::uint64_t begin_fill(const depot::Request& request, std::size_t cls,
                           std::optional<copies::Copy> candidate, std::int64_t until_ms);
  void try_fill(std::uint64_t id);
  std::int64_t bound_age(FillUnder& fill, std::int64_t now);
  std::string fill_bytes(FillUnder& fill, const std::string& request_id, std::optional<depot::Id> from,
                         std::int64_t until_ms);
  std::optional<depot::Id> fill_from(const FillUnder& fill) const;
  bool is_parent(depot::Id id) const;
  void fill_ended(std::uint64_t id, links::UpstreamPool::Reply&& reply);
  void fill_next(std::uint64_t id, const serving::Fill::Next& next);
  void fill_good(std::uint64_t id, copies::Copy copy, int remark);
  void fill_over(std::uint64_t id, const serving::Refusal& refusal, copies::Bytes bytes, bool served);
  void forget_fill(std::uint64_t id);
  void renew(const depot::Request& request, std::size_t cls, const copies::Copy& copy);

  void serve(Ticket ticket, const copies::Copy& copy, int remark, double waited_ms = 0.0);
  void refuse(Ticket ticket, const serving::Refusal& refusal, double waited_ms = 0.0);
  void answered(Ticket ticket);
  void drop(Ticket ticket);

  void heard(const bus::Event& event);
  void heed(const bus::Event& event, std::int64_t now);
  void heed_list(const bus::Event& event);
  bool doubtful(const copies::About& about, std::uint64_t sequence);
  std::string report_text() const;
  void opened(const disk::Recovered& how);
  void tick();
  void end_when_done();
  void finish(bool clean);

  asio::io_context& io_;
  const Settings settings_;
  logs::Log& log_;
  Counters counters_;
  links::UpstreamPool pool_;
  serving::Pacer pacer_;
  shelf::Shelf shelf_;
  std::unique_ptr<admission::Keeper> keeper_;
  std::unique_ptr<disk::Workers> workers_;
  std::unique_ptr<disk::Store> store_;
  bool disk_opened_ = false;
  links::DiscoveryClient bus_;
  purges::Continuity continuity_;
  bool whole_list_ = false;  // heard in this life
  struct Known {
    int kind = 0;
    bool ready = false;
  };
  std::unordered_map<depot::Id, Known> list_;
  std::optional<depot::Id> origin_;

  links::Acceptor acceptor_;
  asio::steady_timer ending_by_, ticking_;
  Peer::Events events_;
  std::unordered_set<std::shared_ptr<Peer>> peers_;
  Ticket next_ticket_ = 1;
  std::unordered_map<Ticket, Open> open_;
  std::multimap<std::int64_t, Ticket> deadlines_, read_deadlines_;
  std::uint64_t next_fill_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<FillUnder>> fills_;
  ByKey fills_by_key_;
  std::minstd_rand random_;
  std::uint64_t fill_salt_ = 0;  // of the ids of our own requests
  std::int64_t lately_hits_ = 0, lately_asked_ = 0;
  bool ending_ = false, ended_ = false;
  std::function<void(bool)> done_;
};

}  // namespace anisewick::cachebox

#endif  // ANISEWICK_CACHEBOX_BOX_HPP_
