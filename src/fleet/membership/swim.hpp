// Who else runs: a membership after SWIM (Das, Gupta, Motivala, 2002), with incarnations, suspicion and
// indirect probes, and from Lifeguard (Dadgar, Phillips, Currey, 2017) that suspicion is shorter the more
// agree and that an instance which hears no acks blames itself first. No I/O, no clock; seeded. One thread.
// Milliseconds on a monotonic clock; what is sent carries no clock.
//
// Each period one member is probed, in an order shuffled anew each round: a ping, and if no ack comes in
// time, pings through a few others. Who answers neither is suspected, and dead if nobody hears of it in time.
// News travels on these messages, each a bounded number of times, and the room that is left carries the table
// itself in turns, so that what was missed, also by a partition, is told in the end.
#ifndef ANISEWICK_FLEET_MEMBERSHIP_SWIM_HPP_
#define ANISEWICK_FLEET_MEMBERSHIP_SWIM_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace anisewick::membership {

struct Address {
  std::uint32_t ip = 0;  // IPv4, in the host's order
  std::uint16_t port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};

constexpr std::size_t kMostName = 32;  // bytes

// An instance, as it tells of itself.
struct Peer {
  std::string name;   // the same after a restart
  Address gossip;     // UDP
  Address snapshots;  // TCP
  // Grows with each refutation, and begins above all that an earlier process of this name can have used.
  std::uint64_t incarnation = 0;
  std::uint32_t up_s = 0;  // for how long it has run, when it said so
  std::string zone = {};   // at most kMostName bytes; empty: none
  bool draining = false;   // it takes nothing new upon it
};

enum class State : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

struct News {
  Peer peer;
  State state = State::kAlive;
  std::string by = {};  // of a suspicion: who holds it, as far as the teller knows
};

struct Message {
  enum class Kind : std::uint8_t { kPing = 1, kAck = 2, kPingFor = 3 };
  Kind kind = Kind::kPing;
  std::uint32_t sequence = 0;  // of the probe; an ack repeats it
  Peer from;
  Address target;           // of kPingFor
  std::string target_name;  // kPing: whom it means; another process at that address does not answer
  std::vector<News> news;
};

struct Out {
  Address to;
  Message message;
};

class Swim {
 public:
  struct Limits {
    std::int64_t period_ms = 1000;
    std::int64_t ack_ms = 300;     // for an ack, before others are asked to try
    std::size_t indirect = 3;      // how many are asked
    double suspect_periods = 4.0;  // times log10(n), at least 1: until a suspect is dead, if nobody agrees
    double suspect_stretch = 3.0;  // so much longer while only one suspects it
    double spread = 2.0;           // times log2(n + 1): how often each piece of news is sent
    std::size_t news = 8;          // in one message
    std::size_t most = 4096;       // members known, dead ones too
    // While members are met who were not known, probes go out so many times as often, and so long after the
    // last: a fleet that starts all at once knows itself in seconds.
    std::int64_t eager_ms = 3000;
    std::int64_t eager_times = 5;
    std::int64_t forget_ms = 60'000;  // dead and left ones; until then old news cannot bring them back
    std::int64_t revive_ms = 5000;    // between pings at one of the dead, or a seed: so a partition heals
  };
  struct Member {
    Peer peer;
    State state = State::kAlive;
    std::int64_t since_ms = 0;  // of the state
    std::int64_t heard_ms = 0;  // when its uptime was told
  };

  Swim(Peer self, const Limits& limits, std::uint64_t seed);

  void join(const std::vector<Address>& seeds, std::int64_t now_ms);
  // Called often; gives what is to be sent now.
  std::vector<Out> tick(std::int64_t now_ms);
  std::vector<Out> heard(const Message& message, const Address& from, std::int64_t now_ms);
  // What a planned end tells a few others.
  std::vector<Out> leave(std::int64_t now_ms);

  // Tells the others, as news of a higher incarnation.
  void draining(bool on);

  const std::map<std::string, Member>& members() const { return members_; }
  std::size_t alive() const { return alive_; }        // others, suspects too
  std::uint64_t changes() const { return changes_; }  // of members and what they are, counted
  const Peer& self() const { return self_; }
  int health() const { return health_; }  // 0: acks come; up to 8: we may be the one who is cut off

  struct Counters {
    std::uint64_t pings = 0, acks = 0, indirect = 0, suspected = 0, died = 0, refuted = 0, refused = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Probe {
    std::string name;
    std::int64_t sent_ms = 0;
    std::int64_t until_ms = 0;  // the period's end for it
    bool indirect = false;
  };
  struct Relay {  // a probe for somebody else
    Address to;
    std::uint32_t sequence = 0;
    std::int64_t until_ms = 0;
  };
  struct Rumour {
    State state = State::kAlive;
    std::uint64_t incarnation = 0;
    int sent = 0;
  };
  struct Doubt {
    std::vector<std::string> by;  // who suspects it, a few
    std::int64_t since_ms = 0;
  };

  void take(const News& news, std::int64_t now_ms);
  void set(Member& member, State state, std::int64_t now_ms);
  void spread(const std::string& name);
  std::vector<News> pick_news();
  News news_of(const std::string& name) const;
  Message message(Message::Kind kind, std::uint32_t sequence);
  void probe_next(std::int64_t now_ms, std::vector<Out>& out);
  double log_size() const;
  std::int64_t suspicion_ms(const Doubt& doubt) const;
  void refute(std::uint64_t incarnation);

  Peer self_;
  Limits limits_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;  // others only
  std::size_t alive_ = 0;
  std::uint64_t changes_ = 0;
  std::int64_t met_ms_ = -1;        // when somebody new was met
  std::vector<std::string> order_;  // of this round's probes, last first
  std::string cursor_;              // of the table that travels in turns
  std::unordered_map<std::string, Rumour> rumours_;
  std::unordered_map<std::string, Doubt> doubts_;
  std::unordered_map<std::uint32_t, Probe> probes_;
  std::unordered_map<std::uint32_t, Relay> relays_;
  std::vector<Address> seeds_;
  std::uint32_t sequence_ = 0;
  std::int64_t next_probe_ms_ = 0, next_revival_ms_ = 0, next_forget_ms_ = 0, started_ms_ = -1;
  std::uint32_t up_at_start_s_ = 0;
  int health_ = 0;
  Counters counters_;
};

}  // namespace anisewick::membership

#endif  // ANISEWICK_FLEET_MEMBERSHIP_SWIM_HPP_
