// One member of the fleet: membership, agreement, ownership, the gate and the order of staff's calls, put
// together. No I/O, no clock; seeded. One owner, one thread. Milliseconds on a monotonic clock of its own.
//
// What it is given: packets, ticks (every 10 to 20 ms), staff's calls, and word that a state is on disk. What
// it gives: packets to send, states to write, entries to heed, notes for the log. Whoever holds it carries
// these out after each call. It never waits, and nobody waits for it.
#ifndef ANISEWICK_FLEET_MEMBER_MEMBER_HPP_
#define ANISEWICK_FLEET_MEMBER_MEMBER_HPP_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/agreement/proposer.hpp"
#include "fleet/agreement/voter.hpp"
#include "fleet/gate/gate.hpp"
#include "fleet/member/mover.hpp"
#include "fleet/membership/swim.hpp"
#include "fleet/orders/order.hpp"
#include "fleet/orders/settler.hpp"
#include "fleet/ownership/heirs.hpp"
#include "fleet/ownership/tenure.hpp"
#include "fleet/talk/talk.hpp"
#include "fleet/work/crew.hpp"
#include "fleet/zones/zones.hpp"

namespace anisewick::member {

constexpr const char* kHolds = "holds";  // the duty of staff's word on depots

struct Settings {
  std::string name;  // the same after a restart
  std::string zone;
  membership::Address address;  // by which the others reach it
  std::vector<membership::Address> seeds;
  std::vector<std::pair<std::string, membership::Address>> voters;  // as they were at the founding
  std::vector<ownership::Duty> duties = {{kHolds, {}}};
  membership::Swim::Limits swim;
  ownership::Tenure::Limits lease;
  agreement::Proposer::Limits proposer;
  std::int64_t gossip_ms = 500;  // between two questions to somebody, by lot
  std::int64_t young_ms = 3000;  // up for less: no heir while there is another
  work::Times work;              // where `work` is one of the duties
  zones::Terms zones;            // where `zones` is one of the duties
  std::string home;              // the zone of its depots, as the bus's list calls it
  // For a fault test alone: the owner does not look at its lease before it acts.
  bool careless = false;
};

// What is put in the log, and in a test's history.
struct Note {
  std::string event, duty, owner, reason;
  std::uint64_t term = 0;
};

struct Out {
  membership::Address to;
  std::variant<membership::Message, talk::Packet> what;
};

struct Save {
  std::uint64_t version = 0;
  talk::Saved state;
};

class Member {
 public:
  // `session`, `incarnation`: drawn at the start of the process; incarnations of one name grow.
  Member(const Settings& settings, std::uint64_t session, std::uint64_t incarnation, talk::Saved saved,
         std::uint64_t seed, std::int64_t now_ms);

  void tick(std::int64_t now_ms);
  void heard(const membership::Message& message, const membership::Address& from, std::int64_t now_ms);
  void heard(const talk::Packet& packet, const membership::Address& from, std::int64_t now_ms);
  // The state of that number, or a later one, is on disk.
  void persisted(std::uint64_t version, std::int64_t now_ms);
  // The last one given could not be written: it is to be tried again.
  void unsaved() {
    saving_ = persisted_;
    order_saves_.clear();  // told anew with the next try: a disk that stays full must not make it grow
  }

  // Staff's word, which holds here already: it goes to the owner until it is settled. False: too many wait.
  bool call(depot::Id depot, bool held, std::int64_t unix_ms, std::int64_t now_ms);
  // Out of service, or back: it gives its duties up and takes none.
  void drain(bool on, std::int64_t now_ms);
  // The last word of a planned end.
  void leave(std::int64_t now_ms);
  // A voter is to be replaced: this member sees to it, once it owns the first duty, whichever it is.
  std::string replace(const std::string& out, const std::string& in, std::int64_t now_ms);
  // Unix time is so far ahead of the monotonic clock.
  void wall(std::int64_t ahead_ms) { ahead_ms_ = ahead_ms; }
  // Work on machines; nullptr: it is not one of the duties.
  work::Crew* crew() { return crew_.get(); }
  const work::Crew* crew() const { return crew_.get(); }
  // Zones that are left and returned to; nullptr: it is not one of the duties.
  zones::Zones* zones() { return zones_.get(); }
  const zones::Zones* zones() const { return zones_.get(); }
  std::string zone_call(zones::Mode what, const std::string& zone, std::int64_t now_ms);
  // Staff's call on a job. Empty: it is taken, and will be in the registers once there is a majority.
  std::string work_call(work::Wish wish, std::int64_t now_ms);

  std::vector<Out> take_out() { return std::exchange(out_, {}); }
  std::optional<Save> take_save();
  std::vector<orders::Entry> take_heed() { return std::exchange(heed_, {}); }
  std::vector<Note> take_notes() { return std::exchange(notes_, {}); }

  // It has heard from the owner, or from a majority of the voters, how far the order goes, and heeds it.
  bool caught_up() const { return caught_up_ && (!crew_ || crew_->caught_up()); }
  bool owns(const std::string& duty, std::int64_t now_ms) const;
  // The owner as far as it is known here, with its term; empty: none is.
  std::pair<std::string, std::uint64_t> owner(const std::string& duty) const;
  // No sign of the owner's life for longer than its lease.
  bool ownerless(const std::string& duty, std::int64_t now_ms) const;
  const std::deque<orders::Call>& pending() const { return calls_; }
  const orders::Order& order() const { return order_; }
  const agreement::Voter& voter() const { return voter_; }
  const agreement::Proposer& proposer() const { return proposer_; }
  const membership::Swim& swim() const { return swim_; }
  const gate::Gate& gate() const { return gate_; }
  const Mover& mover() const { return mover_; }
  const std::map<std::string, std::uint64_t>& heeded_by() const { return heeded_by_; }
  std::uint64_t session() const { return session_; }
  // For a member of a fleet whose gone depots may be forgotten.
  void gone_by(std::function<bool(depot::Id)> gone) { gone_ = std::move(gone); }

  struct Counters {
    std::uint64_t acts = 0;          // words of owners that were heeded
    std::uint64_t late_refused = 0;  // words of owners whose term was over
    std::uint64_t unsure = 0;        // words of owners that came before the duty's register was read
    std::uint64_t told = 0, asked = 0, calls = 0, dropped = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Post {  // a duty
    explicit Post(ownership::Tenure t) : tenure(std::move(t)) {}
    ownership::Tenure tenure;
    std::optional<ownership::Tenure::Step> doing;
    ownership::Tenure::View view;
    bool releasing = false;
    std::string owner;  // the last heard
    std::uint64_t term = 0, renewal = 0;
    std::int64_t heard_ms = -1;        // of a sign of life
    std::int64_t other_since_ms = -1;  // since when another is the first heir
    int hot = 0;                       // rounds in which the news is still pushed
    // The gate's term of it is from this member's disk, or its register was read: an emptied disk may have
    // known a higher one than whoever speaks first.
    bool sure = false;
  };
  // Whose each operation on a register is. By the key it could not be told: one may end and another begin on
  // it within the same call.
  enum class Whose { kDuty, kOrder, kVoters, kWork, kZones };
  struct Held {  // an answer that waits for the disk
    std::uint64_t version = 0;
    std::string to;
    membership::Address address;
    agreement::Message message;
  };
  struct Waiting {  // an act of a new term, likewise
    std::uint64_t version = 0;
    talk::Packet packet;
    membership::Address from;
  };

  void settle(std::int64_t now_ms);
  void route(std::int64_t now_ms);
  void results(std::int64_t now_ms);
  void ranks(std::int64_t now_ms);
  void reckon_heirs(std::int64_t now_ms);
  void duties(std::int64_t now_ms);
  void became(const std::string& duty, Post& post, ownership::Tenure::Change change, const char* why,
              std::int64_t now_ms);
  void work(std::int64_t now_ms);
  void machines(std::int64_t now_ms);
  void say_word(std::int64_t now_ms);
  void see_zones(std::int64_t now_ms);
  void say_heeded(std::int64_t now_ms);
  void find_voters(std::int64_t now_ms);
  void push_calls(std::int64_t now_ms);
  void gossip(std::int64_t now_ms);
  void heed(const talk::Talk& talk, const std::string& from, const membership::Address& address,
            std::int64_t now_ms);
  void hear(const talk::Talk& talk, const std::string& from, const membership::Address& address,
            std::int64_t now_ms);
  void took(std::vector<orders::Entry> entries);
  // Whether the term stands; a higher one is kept, and one of ours that is lower is over.
  gate::Gate::Verdict look(const std::string& duty, std::uint64_t term, std::int64_t now_ms);
  void life(Post& post, const std::string& owner, std::uint64_t term, std::uint64_t renewal,
            std::int64_t now_ms);
  talk::Talk tell(const std::string& duty, std::uint64_t from) const;
  talk::Talk ask(const std::string& duty, bool answer) const;
  void say(const membership::Address& to, talk::Talk talk);
  void say_to(const std::string& name, talk::Talk talk);
  std::optional<membership::Address> address_of(const std::string& name) const;
  const membership::Swim::Member* somebody();
  void dirty() { ++state_version_; }
  std::uint64_t version() const { return state_version_ + voter_.version(); }
  void answer(agreement::Voter::Reply reply, const std::string& to, const membership::Address& address);
  Post* post(const std::string& duty);
  // What was begun as the owner is of no use to another tenure.
  void forget_ops() {
    std::erase_if(ops_,
                  [](const auto& kv) { return kv.second == Whose::kOrder || kv.second == Whose::kVoters; });
  }
  void note(std::string event, std::string duty = {}, std::uint64_t term = 0, std::string owner = {},
            std::string reason = {}) {
    notes_.push_back({std::move(event), std::move(duty), std::move(owner), std::move(reason), term});
  }

  const Settings settings_;
  const std::uint64_t session_;
  const std::uint64_t origin_;  // of its calls
  std::mt19937_64 random_;
  membership::Swim swim_;
  agreement::Voter voter_;
  agreement::Proposer proposer_;
  gate::Gate gate_;
  orders::Order order_;
  orders::Settler settler_;
  std::map<std::uint64_t, Whose> ops_;
  Mover mover_;
  std::map<std::string, Post> posts_;
  std::map<std::string, std::vector<std::string>> heirs_;  // by duty, as of these changes of the membership
  std::uint64_t heirs_of_ = 0;
  std::int64_t heirs_until_ms_ = 0;
  std::deque<orders::Call> calls_;
  std::uint64_t serial_ = 0;
  std::map<std::string, std::uint64_t> heeded_by_;                   // at the owner
  orders::Settler::Durable durable_by_;                              // what it has on disk, by origin
  std::deque<std::pair<std::uint64_t, std::uint64_t>> order_saves_;  // versions, and how far the order went
  std::uint64_t durable_ = 0;                                        // of the order here
  std::int64_t tell_heeded_ms_ = -1;                                 // when the owner is told, at the latest
  std::set<std::string> caught_by_;  // voters whose word on the order is heeded here
  bool caught_up_ = false, draining_ = false;
  std::function<bool(depot::Id)> gone_ = [](depot::Id) { return false; };

  std::deque<Held> held_;
  std::deque<Waiting> waiting_;
  std::uint64_t raised_ = 0;  // the version with the last term that was raised, by whatever message
  std::uint64_t state_version_ = 1, saving_ = 0, persisted_ = 0;
  std::unique_ptr<work::Crew> crew_;
  std::uint64_t crew_changed_ = 0;                                  // that is in state_version_
  std::deque<std::pair<std::uint64_t, std::uint64_t>> crew_saves_;  // versions, and what changed with them
  std::unique_ptr<zones::Zones> zones_;
  std::uint64_t zones_changed_ = 0;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> zones_saves_;
  std::int64_t ahead_ms_ = 0, next_word_ms_ = 0, next_work_ms_ = 0;
  std::string last_word_;

  std::int64_t started_ms_, last_tick_ms_ = 0, next_gossip_ms_ = 0, next_find_ms_ = 0, next_push_ms_ = 0,
                            next_ranks_ms_ = 0, next_behind_ms_ = 0;
  std::size_t gossip_turn_ = 0, find_turn_ = 0;
  std::int64_t push_gap_ms_ = 0;

  std::vector<Out> out_;
  std::vector<orders::Entry> heed_;
  std::vector<Note> notes_;
  Counters counters_;
};

}  // namespace anisewick::member

#endif  // ANISEWICK_FLEET_MEMBER_MEMBER_HPP_
