#include "fleet/membership/swim.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anisewick::membership {
namespace {

constexpr int kMostHealth = 8;
constexpr std::size_t kMostRelays = 256;
constexpr std::size_t kMostDoubters = 4;

bool gone(State state) { return state == State::kDead || state == State::kLeft; }

// Whether news of this kind at this incarnation replaces what is known.
bool replaces(State state, std::uint64_t incarnation, State known, std::uint64_t known_incarnation) {
  switch (state) {
    case State::kAlive:
      return incarnation > known_incarnation;
    case State::kSuspect:
      return incarnation > known_incarnation || (incarnation == known_incarnation && known == State::kAlive);
    case State::kDead:
    case State::kLeft:
      return incarnation > known_incarnation || (incarnation == known_incarnation && !gone(known));
  }
  return false;
}

}  // namespace

Swim::Swim(Peer self, const Limits& limits, std::uint64_t seed)
    : self_(std::move(self)), limits_(limits), random_(seed), up_at_start_s_(self_.up_s) {}

double Swim::log_size() const { return std::log10(std::max<double>(10.0, static_cast<double>(alive_ + 1))); }

void Swim::join(const std::vector<Address>& seeds, std::int64_t now_ms) {
  seeds_ = seeds;
  if (started_ms_ < 0) started_ms_ = now_ms;
  // Anywhere in the first period, so that those who start together do not probe together.
  next_probe_ms_ =
      now_ms + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limits_.period_ms));
  next_revival_ms_ = now_ms;
}

// ---- What is known.

void Swim::set(Member& member, State state, std::int64_t now_ms) {
  ++changes_;
  if (!gone(member.state)) --alive_;
  if (!gone(state)) ++alive_;
  member.state = state;
  member.since_ms = now_ms;
  if (state == State::kSuspect) ++counters_.suspected;
  if (state == State::kDead) ++counters_.died;
  if (state != State::kSuspect) doubts_.erase(member.peer.name);
  spread(member.peer.name);
}

void Swim::spread(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end()) {
    rumours_[name] = {State::kAlive, self_.incarnation, 0};
  } else {
    rumours_[name] = {it->second.state, it->second.peer.incarnation, 0};
  }
}

void Swim::refute(std::uint64_t incarnation) {
  ++counters_.refuted;
  self_.incarnation = std::max(self_.incarnation, incarnation) + 1;
  health_ = std::min(kMostHealth, health_ + 1);  // that others miss us may well be our own slowness
  spread(self_.name);
}

void Swim::draining(bool on) {
  if (on == self_.draining) return;
  self_.draining = on;
  ++changes_;
  ++self_.incarnation;
  spread(self_.name);
}

void Swim::take(const News& news, std::int64_t now_ms) {
  const Peer& p = news.peer;
  const std::string& by = news.by;
  if (p.name.empty() || p.name.size() > kMostName || p.zone.size() > kMostName) return;
  if (p.name == self_.name) {
    if (news.state != State::kAlive && p.incarnation >= self_.incarnation) refute(p.incarnation);
    return;
  }
  auto it = members_.find(p.name);
  if (it == members_.end()) {
    // Of the dead whom we never knew there is nothing to know.
    if (gone(news.state)) return;
    if (members_.size() >= limits_.most) {
      ++counters_.refused;
      return;
    }
    it = members_.emplace(p.name, Member{p, State::kDead, now_ms, now_ms}).first;
    met_ms_ = now_ms;
    set(it->second, news.state, now_ms);
    if (news.state == State::kSuspect) doubts_[p.name] = {{by}, now_ms};
    // Into this round somewhere, so that it is not last in all rounds.
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(random_() % (order_.size() + 1)), p.name);
    return;
  }
  Member& member = it->second;
  if (replaces(news.state, p.incarnation, member.state, member.peer.incarnation)) {
    const bool was_gone = gone(member.state);
    member.peer = p;
    member.heard_ms = now_ms;
    if (member.state == State::kSuspect && news.state == State::kSuspect) doubts_.erase(p.name);
    set(member, news.state, now_ms);
    if (news.state == State::kSuspect) doubts_[p.name] = {{by}, now_ms};
    if (was_gone && !gone(news.state)) order_.push_back(p.name);
    return;
  }
  if (p.incarnation == member.peer.incarnation && news.state == State::kAlive && p.up_s > member.peer.up_s) {
    member.peer.up_s = p.up_s;
    member.heard_ms = now_ms;
  }
  if (news.state == State::kSuspect && member.state == State::kSuspect &&
      p.incarnation == member.peer.incarnation) {
    auto& doubters = doubts_[p.name].by;
    if (!by.empty() && by.size() <= kMostName && doubters.size() < kMostDoubters &&
        std::find(doubters.begin(), doubters.end(), by) == doubters.end()) {
      doubters.push_back(by);
      spread(p.name);  // that somebody agrees is news
    }
  }
}

std::int64_t Swim::suspicion_ms(const Doubt& doubt) const {
  const double least = limits_.suspect_periods * log_size() * static_cast<double>(limits_.period_ms);
  const double most = least * limits_.suspect_stretch;
  // From the most, while one alone suspects it, down to the least once a few others do.
  const auto agree = static_cast<double>(doubt.by.empty() ? 0 : doubt.by.size() - 1);
  const double share = std::min(1.0, std::log(agree + 1.0) / std::log(static_cast<double>(kMostDoubters)));
  return static_cast<std::int64_t>(most - (most - least) * share);
}

// ---- Messages.

News Swim::news_of(const std::string& name) const {
  if (name == self_.name) return {self_, State::kAlive};
  const Member& m = members_.at(name);
  const auto doubt = doubts_.find(name);
  return {m.peer, m.state, doubt == doubts_.end() ? std::string() : doubt->second.by.back()};
}

std::vector<News> Swim::pick_news() {
  std::vector<News> out;
  const int most = static_cast<int>(std::ceil(limits_.spread * std::log2(static_cast<double>(alive_) + 2.0)));
  std::vector<std::pair<int, std::string>> least;
  for (const auto& [name, rumour] : rumours_) least.emplace_back(rumour.sent, name);
  const std::size_t count = std::min(least.size(), limits_.news);
  std::partial_sort(least.begin(), least.begin() + static_cast<std::ptrdiff_t>(count), least.end());
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& name = least[i].second;
    if (name != self_.name && !members_.contains(name)) {
      rumours_.erase(name);
      continue;
    }
    out.push_back(news_of(name));
    if (++rumours_[name].sent >= most) rumours_.erase(name);
  }
  // The rest of the room: the table, in turns.
  for (std::size_t turns = 0; out.size() < limits_.news && turns < limits_.news && !members_.empty();
       ++turns) {
    auto it = members_.upper_bound(cursor_);
    if (it == members_.end()) it = members_.begin();
    cursor_ = it->first;
    const bool there =
        std::any_of(out.begin(), out.end(), [&](const News& n) { return n.peer.name == cursor_; });
    if (!there) out.push_back(news_of(cursor_));
  }
  return out;
}

Message Swim::message(Message::Kind kind, std::uint32_t sequence) {
  Message m;
  m.kind = kind;
  m.sequence = sequence;
  m.from = self_;
  m.news = pick_news();
  return m;
}

void Swim::probe_next(std::int64_t now_ms, std::vector<Out>& out) {
  for (std::size_t looks = 0; looks <= members_.size() + 1; ++looks) {
    if (order_.empty()) {
      for (const auto& [name, m] : members_) {
        if (!gone(m.state)) order_.push_back(name);
      }
      std::shuffle(order_.begin(), order_.end(), random_);
      if (order_.empty()) return;
    }
    const std::string name = std::move(order_.back());
    order_.pop_back();
    const auto it = members_.find(name);
    if (it == members_.end() || gone(it->second.state)) continue;
    const std::uint32_t sequence = ++sequence_;
    // The less acks come, the longer we wait for them: it may be we who are slow.
    const std::int64_t stretch = 1 + health_;
    probes_[sequence] = {name, now_ms, now_ms + limits_.period_ms * stretch, false};
    ++counters_.pings;
    Message m = message(Message::Kind::kPing, sequence);
    m.target_name = name;
    // A suspect is told, so that it can answer for itself.
    if (it->second.state == State::kSuspect) {
      std::erase_if(m.news, [&](const News& n) { return n.peer.name == name; });
      m.news.insert(m.news.begin(), news_of(name));
      if (m.news.size() > limits_.news) m.news.pop_back();
    }
    out.push_back({it->second.peer.gossip, std::move(m)});
    return;
  }
}

std::vector<Out> Swim::tick(std::int64_t now_ms) {
  std::vector<Out> out;
  if (started_ms_ < 0) started_ms_ = now_ms;
  self_.up_s = up_at_start_s_ + static_cast<std::uint32_t>((now_ms - started_ms_) / 1000);
  // Probes without an ack: others are asked to try, and then it is suspected.
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    const auto member = members_.find(probe.name);
    if (member == members_.end() || gone(member->second.state)) {
      it = probes_.erase(it);
      continue;
    }
    if (!probe.indirect && now_ms - probe.sent_ms >= limits_.ack_ms * (1 + health_)) {
      probe.indirect = true;
      std::vector<const Member*> others;
      for (const auto& [name, m] : members_) {
        if (m.state == State::kAlive && name != probe.name) others.push_back(&m);
      }
      std::shuffle(others.begin(), others.end(), random_);
      if (others.size() > limits_.indirect) others.resize(limits_.indirect);
      for (const Member* m : others) {
        Message ask = message(Message::Kind::kPingFor, it->first);
        ask.target = member->second.peer.gossip;
        ask.target_name = probe.name;
        ++counters_.indirect;
        out.push_back({m->peer.gossip, std::move(ask)});
      }
    }
    if (now_ms >= probe.until_ms) {
      health_ = std::min(kMostHealth, health_ + 1);
      take({member->second.peer, State::kSuspect, self_.name}, now_ms);
      it = probes_.erase(it);
      continue;
    }
    ++it;
  }
  std::erase_if(relays_, [&](const auto& kv) { return now_ms >= kv.second.until_ms; });
  // Suspects whose time is over.
  std::vector<std::string> dead;
  for (const auto& [name, doubt] : doubts_) {
    if (now_ms - doubt.since_ms >= suspicion_ms(doubt)) dead.push_back(name);
  }
  for (const std::string& name : dead) set(members_.at(name), State::kDead, now_ms);
  if (now_ms >= next_forget_ms_) {
    next_forget_ms_ = now_ms + std::min(limits_.forget_ms, limits_.period_ms) / 2;
    std::erase_if(members_, [&](const auto& kv) {
      return gone(kv.second.state) && now_ms - kv.second.since_ms >= limits_.forget_ms;
    });
  }
  if (now_ms >= next_probe_ms_) {
    // What was missed while we stood still is not made up for.
    const bool eager = met_ms_ >= 0 && now_ms - met_ms_ < limits_.eager_ms;
    const std::int64_t period =
        limits_.period_ms / (eager ? std::max<std::int64_t>(1, limits_.eager_times) : 1);
    next_probe_ms_ = std::max(next_probe_ms_ + period, now_ms + period / 2);
    probe_next(now_ms, out);
  }
  if (now_ms >= next_revival_ms_) {
    next_revival_ms_ = now_ms + limits_.revive_ms;
    std::vector<Address> to;
    for (const auto& [name, m] : members_) {
      if (m.state == State::kDead) to.push_back(m.peer.gossip);
    }
    for (const Address& seed : seeds_) {
      const bool known =
          seed == self_.gossip || std::any_of(members_.begin(), members_.end(), [&](const auto& kv) {
            return kv.second.peer.gossip == seed && !gone(kv.second.state);
          });
      if (!known) to.push_back(seed);
    }
    if (!to.empty()) {
      // With nobody else there all of them are tried: that is how one joins.
      if (alive_ > 0) to = {to[random_() % to.size()]};
      for (const Address& a : to) {
        ++counters_.pings;
        out.push_back({a, message(Message::Kind::kPing, 0)});
      }
    }
  }
  return out;
}

std::vector<Out> Swim::heard(const Message& m, const Address& from, std::int64_t now_ms) {
  std::vector<Out> out;
  if (m.from.name == self_.name) return out;  // our own name from elsewhere: a second process, or an echo
  take({m.from, State::kAlive}, now_ms);
  // Somebody we hold for dead or suspect speaks: it must hear of that, to answer with a higher incarnation.
  const auto sender = members_.find(m.from.name);
  const bool must_hear = sender != members_.end() && sender->second.state != State::kAlive;
  for (const News& n : m.news) take(n, now_ms);
  switch (m.kind) {
    case Message::Kind::kPing: {
      if (!m.target_name.empty() && m.target_name != self_.name) break;  // whom it means has gone
      Message ack = message(Message::Kind::kAck, m.sequence);
      if (must_hear && members_.contains(m.from.name)) {
        ack.news.insert(ack.news.begin(), news_of(m.from.name));
        if (ack.news.size() > limits_.news) ack.news.pop_back();
      }
      out.push_back({from, std::move(ack)});
      break;
    }
    case Message::Kind::kPingFor: {
      if (relays_.size() >= kMostRelays) break;
      const std::uint32_t sequence = ++sequence_;
      relays_[sequence] = {from, m.sequence, now_ms + limits_.period_ms};
      Message ping = message(Message::Kind::kPing, sequence);
      ping.target_name = m.target_name;
      out.push_back({m.target, std::move(ping)});
      break;
    }
    case Message::Kind::kAck: {
      ++counters_.acks;
      if (const auto relay = relays_.find(m.sequence); relay != relays_.end()) {
        // As if it had come from there; the sequence is what counts.
        Message ack = message(Message::Kind::kAck, relay->second.sequence);
        out.push_back({relay->second.to, std::move(ack)});
        relays_.erase(relay);
        break;
      }
      if (probes_.erase(m.sequence) > 0) health_ = std::max(0, health_ - 1);
      break;
    }
  }
  return out;
}

std::vector<Out> Swim::leave(std::int64_t) {
  std::vector<Out> out;
  std::vector<const Member*> others;
  for (const auto& [name, m] : members_) {
    if (!gone(m.state)) others.push_back(&m);
  }
  std::shuffle(others.begin(), others.end(), random_);
  if (others.size() > limits_.news) others.resize(limits_.news);
  for (const Member* m : others) {
    Message bye = message(Message::Kind::kPing, 0);
    bye.news.insert(bye.news.begin(), {self_, State::kLeft});
    if (bye.news.size() > limits_.news) bye.news.pop_back();
    out.push_back({m->peer.gossip, std::move(bye)});
  }
  return out;
}

}  // namespace anisewick::membership
