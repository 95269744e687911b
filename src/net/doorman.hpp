// Carries out the decisions: takes calls from a front, asks the facade, sends to depots, answers.
#ifndef ANISEWICK_NET_DOORMAN_HPP_
#define ANISEWICK_NET_DOORMAN_HPP_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bus/bus.hpp"
#include "facade/facade.hpp"
#include "generations/generations.hpp"
#include "net/asio.hpp"
#include "net/call.hpp"
#include "net/counters.hpp"

namespace anisewick::net {

class Doorman final : public Calls {
 public:
  using Reply = std::function<void(Ticket, const Answer&)>;
  // `classes` outlives it and may change between calls.
  Doorman(asio::io_context& io, Facade& facade, UpstreamPool& depots, Counters& counters,
          const generations::Classes& classes);

  void answers_by(Reply reply) { reply_ = std::move(reply); }
  // Of requests that may not run twice, by their ids. Without it an id that comes again is a new request.
  struct Runs {
    std::function<bool(std::uint64_t id)> claim;  // false: it may have run
    std::function<void(std::uint64_t id)> release;
  };
  void claims_by(Runs runs) { runs_ = std::move(runs); }
  void heed(const bus::Event& event);
  void start() { tick(); }
  void close() { ticking_.cancel(); }
  // The end has come: all that is open is answered, and may not be tried again by itself.
  void fail_all();

  bool listed() const { return listed_; }  // there was a whole list

  // What a fleet is told, and asked, on the doorman's loop.
  struct Watch {
    std::function<void()> look;  // before each decision
    // A request that was taken; 0: it goes on, else it is refused at once, to come back after so long.
    std::function<std::int64_t(int cls, double worth, double size_kb, Ticket ticket)> admit;
    std::function<void(Ticket ticket, depot::Id depot)> began;  // an attempt
    std::function<void(Ticket ticket, depot::Id depot, const Report& report)> ended;
    std::function<void(Ticket ticket)> given_up;  // its client has left
  };
  // From now on answers are counted by depot.
  void in_fleet(Watch watch) { watch_ = std::make_unique<Watch>(std::move(watch)); }
  struct Served {
    std::uint64_t answers = 0, fills = 0;
  };
  Served served(depot::Id depot) const;
  // Attempts that may reach it, as the one that is asked or as a source.
  std::uint32_t open(depot::Id depot) const;
  bool none_open() const { return open_.empty(); }
  void taken(Ticket ticket, Call&& call) override;
  void left(Ticket ticket) override;
  std::int64_t held_up() const override;
  std::size_t arriving_bytes() const override { return depots_.arriving_bytes(); }

 private:
  struct Open {
    Open(asio::io_context& io, Call&& c) : call(std::move(c)), timer(io) {}
    Call call;
    UpstreamPool::Handle sent = 0;  // 0: no attempt is out
    depot::Id depot = 0;            // of the last attempt, and when it was sent
    std::optional<depot::Id> source;
    std::int64_t sent_at = 0;
    int attempts = 0;
    std::uint64_t claimed = 0;  // its id, where it may not run twice; 0: it may
    bool may_have_run = false;
    std::string_view last_end;             // of the attempt before, in a word
    bool held_only = false, bare = false;  // what it asked of its source; bare: nothing
    asio::steady_timer timer;              // of the attempt
    std::int64_t until = 0;                // its time is over then, by steady_unix_now
  };
  void act(Ticket ticket, const Step& step);
  void send(Ticket ticket, Open& open, const Step& step);
  void wait_for_end(Ticket ticket, Open& open, std::int64_t look_at);
  void ended(Ticket ticket, UpstreamPool::Reply&& reply);
  void tally(const Open& open, const Report& report, Tally::What what);
  void too_late(Ticket ticket);
  void turn_away(Ticket ticket, int status, std::string_view reason);
  void log_attempt(Ticket ticket, const Open& open, const Step& step);
  void finish(Ticket ticket, const Answer& answer);
  // The attempt that is out ends here. Its end, as far as it proves something.
  End take_back(Open& open);
  // The request is over: what has not run may come again.
  void forget(const Open& open);
  void tick();

  asio::io_context& io_;
  Facade& facade_;
  UpstreamPool& depots_;
  Counters& counters_;
  const generations::Classes& classes_;
  Reply reply_;
  Runs runs_;
  bool listed_ = false;
  asio::steady_timer ticking_;
  std::int64_t ticked_ = 0,
               tick_gap_ = 0;  // by steady_unix_now: the last tick, and the time from the one before
  std::unordered_map<Ticket, std::unique_ptr<Open>> open_;
  std::unordered_set<std::string> ids_;           // of the open calls
  std::unique_ptr<Watch> watch_;                  // none: there is no fleet
  std::unordered_map<depot::Id, Served> served_;  // of those on the list
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_DOORMAN_HPP_
