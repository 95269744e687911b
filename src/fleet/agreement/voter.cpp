#include "fleet/agreement/voter.hpp"

#include <algorithm>

#include "fleet/agreement/mistakes.hpp"

namespace anisewick::agreement {

std::uint64_t fleet_of(std::vector<std::uint64_t> seats) {
  std::sort(seats.begin(), seats.end());
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const std::uint64_t seat : seats) {
    for (int shift = 0; shift < 64; shift += 8) hash = (hash ^ (seat >> shift & 0xff)) * 0x100000001b3u;
  }
  return hash | 1;  // 0 means none
}

Voter::Voter(std::string name, Saved saved, std::vector<std::string> named)
    : name_(std::move(name)), saved_(std::move(saved)), named_(std::move(named)) {
  if (!founded()) learn_seat(name_, saved_.seat);
}

bool Voter::votes() const {
  const Seat own{name_, saved_.seat};
  const auto in = [&](const std::vector<Seat>& seats) {
    return std::find(seats.begin(), seats.end(), own) != seats.end();
  };
  return founded() && (in(saved_.voters.now) || in(saved_.voters.next));
}

Message Voter::who() const {
  Message m;
  m.seat = saved_.seat;
  m.founders.push_back(saved_.seat);
  return m;
}

Message Voter::abstains() const {
  Message m;
  m.kind = Message::Kind::kAbstains;
  m.fleet = saved_.fleet;
  m.seat = saved_.seat;
  return m;
}

Voter::Reply Voter::reply(const Message& to, Message::Kind kind) const {
  Message m;
  m.kind = kind;
  m.fleet = saved_.fleet;
  m.epoch = mistaken(Mistake::kEpochIgnored) ? to.epoch : saved_.voters.epoch;
  m.seat = saved_.seat;
  m.key = to.key;
  m.ballot = to.ballot;
  return {std::move(m), version_};
}

// An empty disk is no licence to vote: it may be one that was lost. Only a fleet that begins with this very
// seat counts it, and such a fleet begins when all who are named are as empty.
void Voter::learn_seat(const std::string& name, std::uint64_t seat) {
  if (seat == 0 || std::find(named_.begin(), named_.end(), name) == named_.end()) return;
  empty_[name] = seat;
  if (empty_.size() < named_.size()) return;
  for (const auto& [of, id] : empty_) {
    saved_.founders.push_back(id);
    saved_.voters.now.push_back({of, id});
  }
  saved_.voters.epoch = 1;
  saved_.fleet = fleet_of(saved_.founders);
  ++version_;
}

std::optional<Voter::Reply> Voter::founding(const std::string& from, const Message& m) {
  if (m.kind == Message::Kind::kAbstains && m.fleet == 0) learn_seat(from, m.seat);
  if (m.kind == Message::Kind::kInstalled && m.voters && m.fleet != 0) {
    // They founded it with this seat, and it has not voted yet: it is one of them.
    const auto& f = m.founders;
    const bool one = std::find(f.begin(), f.end(), saved_.seat) != f.end() && fleet_of(f) == m.fleet;
    if (one) {
      saved_.fleet = m.fleet;
      saved_.founders = f;
      saved_.voters = *m.voters;
      ++version_;
    }
  }
  if (m.kind == Message::Kind::kWho) {
    if (m.fleet == 0) learn_seat(from, m.seat);
    if (!founded()) return Reply{abstains(), version_};
    Reply r = reply(m, Message::Kind::kInstalled);
    r.message.voters = saved_.voters;
    r.message.founders = saved_.founders;
    return r;
  }
  return std::nullopt;
}

std::optional<Voter::Reply> Voter::install(const Message& m) {
  if (!m.voters || m.fleet == 0 || m.voters->now.empty()) return std::nullopt;
  if (!founded()) {
    // A seat that is among them and never voted may begin with nothing: it has accepted nothing.
    const Seat own{name_, saved_.seat};
    const auto in = [&](const std::vector<Seat>& s) { return std::find(s.begin(), s.end(), own) != s.end(); };
    if (!in(m.voters->now) && !in(m.voters->next)) return Reply{abstains(), version_};
    saved_.fleet = m.fleet;
  }
  if (m.fleet != saved_.fleet) return Reply{abstains(), version_};
  if (m.voters->epoch > saved_.voters.epoch) {
    saved_.voters = *m.voters;
    ++version_;
  }
  Reply r = reply(m, Message::Kind::kInstalled);
  r.message.voters = saved_.voters;
  return r;
}

std::optional<Voter::Reply> Voter::heard(const std::string& from, const Message& m) {
  using Kind = Message::Kind;
  if (m.kind == Kind::kInstall) return install(m);
  if (m.kind == Kind::kWho && founded()) {
    Reply r = reply(m, Kind::kInstalled);
    r.message.voters = saved_.voters;
    r.message.founders = saved_.founders;
    return r;
  }
  if (!founded()) {
    const bool asks = m.kind == Kind::kPrepare || m.kind == Kind::kAccept || m.kind == Kind::kPeek;
    if (asks && mistaken(Mistake::kVoteFromNothing) && m.voters) {
      saved_.fleet = m.fleet;
      saved_.voters = *m.voters;
      for (const Seat& s : m.voters->now) {
        if (s.name == name_) saved_.seat = s.id;
      }
    } else {
      return asks ? std::optional(Reply{abstains(), version_}) : founding(from, m);
    }
  }
  if (m.kind != Kind::kPrepare && m.kind != Kind::kAccept && m.kind != Kind::kPeek) return std::nullopt;
  if (m.fleet != saved_.fleet) return Reply{abstains(), version_};
  if (m.key.empty() || m.key.size() > kMostKey || m.value.size() > kMostValue) return std::nullopt;
  if (m.epoch != saved_.voters.epoch && !mistaken(Mistake::kEpochIgnored)) {
    Reply r = reply(m, Kind::kRefused);
    r.message.voters = saved_.voters;
    return r;
  }
  auto it = saved_.cells.find(m.key);
  if (m.kind == Kind::kPeek) {
    Reply r = reply(m, Kind::kSeen);
    if (it != saved_.cells.end()) {
      r.message.other = it->second.accepted;
      r.message.value = it->second.value;
    }
    return r;
  }
  if (it == saved_.cells.end()) {
    if (saved_.cells.size() >= kMostRegisters) return std::nullopt;
    it = saved_.cells.emplace(m.key, Cell{}).first;
  }
  Cell& cell = it->second;
  const auto refused = [&] {
    Reply r = reply(m, Kind::kRefused);
    r.message.other = cell.promised;
    return r;
  };
  if (m.kind == Kind::kPrepare) {
    if (m.ballot < cell.promised) return refused();
    if (m.ballot > cell.promised) {
      cell.promised = m.ballot;
      ++version_;
    }
    Reply r = reply(m, Kind::kPromise);
    r.message.other = cell.accepted;
    r.message.value = cell.value;
    return r;
  }
  if (m.ballot != cell.accepted) {  // equal: it comes a second time, and what it asked for is done
    if (m.ballot < cell.promised && !mistaken(Mistake::kPromiseNotKept)) return refused();
    cell.accepted = m.ballot;
    cell.value = m.value;
    cell.promised = std::max(m.ballot, m.other);
    ++version_;
  }
  return reply(m, Kind::kAccepted);
}

}  // namespace anisewick::agreement
