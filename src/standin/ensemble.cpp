#include "standin/ensemble.hpp"

#include <algorithm>
#include <utility>

namespace anisewick::standin {
namespace {

constexpr std::size_t kInbox = 200;  // datagrams that a socket keeps while nobody reads

std::string name(std::size_t i) { return "n" + std::to_string(i); }

}  // namespace

Ensemble::Ensemble(const EnsembleOptions& options) : options_(options), random_(options.seed) {
  nodes_.resize(options.members);
  for (std::size_t d = 0; d < options.duties; ++d) {
    duties_.push_back(d == 0 ? member::kHolds : "duty" + std::to_string(d));
  }
  if (options.work) duties_.push_back(work::kDuty);
  if (options.zones) duties_.push_back(zones::kDuty);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    n.rate = 1.0 + options.clock_rate * (2.0 * lot() - 1.0);
    n.ahead_ms = static_cast<std::int64_t>(lot() * static_cast<double>(options.clock_ahead_ms));
    empty(i);
    start(i);
  }
}

std::int64_t Ensemble::clock(std::size_t i) const {
  return static_cast<std::int64_t>(static_cast<double>(now_) * nodes_[i].rate) + nodes_[i].ahead_ms;
}

void Ensemble::clock_rate(std::size_t i, double rate) {
  const std::int64_t shows = clock(i);
  nodes_[i].rate = rate;
  nodes_[i].ahead_ms += shows - clock(i);
}

void Ensemble::empty(std::size_t i) {
  // What was only there is gone with it.
  std::erase_if(calls_, [&](const auto& kv) { return kv.second.first == i && !numbers_.contains(kv.first); });
  nodes_[i].disk = {};
  // The gate's terms were there. Only the order of holds may be heeded from nothing: its entries only add.
  nodes_[i].heeded.erase(member::kHolds);
  nodes_[i].disk.voter.seat = random_() | 1;
}

void Ensemble::start(std::size_t i) {
  Node& n = nodes_[i];
  member::Settings s;
  s.name = name(i);
  s.zone = "z" + std::to_string(i % 3);
  s.address = address(i);
  s.careless = options_.careless;
  s.lease.lease_ms = options_.lease_ms;
  s.proposer.give_up_ms = options_.lease_ms * 3 / 4;
  s.work = options_.times;
  s.zones = options_.zone_terms;
  s.home = options_.home(i);
  s.duties.clear();
  for (const std::string& d : duties_) s.duties.push_back({d, {}});
  for (std::size_t v = 0; v < options_.voters; ++v) {
    s.voters.emplace_back(name(v), address(v));
    s.seeds.push_back(address(v));
  }
  // As the wall clock gives them: above all that an earlier process used.
  n.incarnation = std::max(n.incarnation + 1000, static_cast<std::uint64_t>(now_) * 1000);
  n.member = std::make_unique<member::Member>(s, ++sessions_ + (random_() << 20), n.incarnation, n.disk,
                                              random_(), clock(i));
  n.stopped = n.writing = false;
  n.saving = 0;
  n.tick_at = now_;
  n.inbox.clear();
  options_.started(i, *n.member);
}

void Ensemble::kill(std::size_t i) {
  nodes_[i].member.reset();
  nodes_[i].inbox.clear();
}
void Ensemble::stop(std::size_t i) { nodes_[i].stopped = true; }
void Ensemble::go_on(std::size_t i) {
  Node& n = nodes_[i];
  n.stopped = false;
  // Its timers first, or its sockets: either may be.
  const bool timers = lot() < 0.5;
  if (n.member && timers) n.member->tick(clock(i));
  if (timers) flush(i);
  for (auto& [from, out] : std::exchange(n.inbox, {})) deliver(from, i, out);
}

void Ensemble::cut(std::size_t from, std::size_t to, bool on) {
  on ? void(cut_.insert({from, to})) : void(cut_.erase({from, to}));
}
void Ensemble::split(const std::set<std::size_t>& side) {
  cut_.clear();
  if (side.empty()) return;
  for (std::size_t a = 0; a < nodes_.size(); ++a) {
    for (std::size_t b = 0; b < nodes_.size(); ++b) {
      if (side.contains(a) != side.contains(b)) cut_.insert({a, b});
    }
  }
}

void Ensemble::deliver(std::size_t from, std::size_t to, const member::Out& out) {
  Node& n = nodes_[to];
  if (!n.member) return;
  if (n.stopped) {
    if (n.inbox.size() < kInbox) n.inbox.emplace_back(from, out);
    return;
  }
  ++n.received;
  if (const auto* m = std::get_if<membership::Message>(&out.what)) {
    n.member->heard(*m, address(from), clock(to));
  } else if (options_.coded) {
    talk::Fault fault;
    const auto packet = talk::packet_from(talk::bytes_of(std::get<talk::Packet>(out.what)), fault);
    if (packet) n.member->heard(*packet, address(from), clock(to));
  } else {
    n.member->heard(std::get<talk::Packet>(out.what), address(from), clock(to));
  }
  flush(to);
}

// Carries out what a member gives, as the program does.
void Ensemble::flush(std::size_t i) {
  Node& n = nodes_[i];
  if (!n.member) return;
  for (member::Out& out : n.member->take_out()) {
    ++tally_.datagrams;
    ++n.sent;
    const std::size_t to = out.to.ip - 0x7f000000u;
    if (to >= nodes_.size() || cut_.contains({i, to}) || lot() < options_.loss) continue;
    const int copies = lot() < options_.twice ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      const auto late = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(options_.delay_ms));
      wire_.push({now_ + 1 + late, ++flights_, i, to, out});
    }
  }
  for (const orders::Entry& e : n.member->take_heed()) {
    const auto [it, fresh] = entries_.try_emplace(e.number, e.depot, e.held);
    if (!fresh && it->second != std::pair(e.depot, e.held)) {
      breach(tally_.orders_differ, "number " + std::to_string(e.number) + " is two entries");
    }
    met_.insert(e.calls.begin(), e.calls.end());
    if (e.calls.empty()) continue;
    const auto [call, first] = numbers_.try_emplace(e.calls.back(), e.number);
    if (!first && call->second != e.number) {
      breach(tally_.doubled_calls,
             "a call has numbers " + std::to_string(call->second) + " and " + std::to_string(e.number));
    }
  }
  for (const member::Note& note : n.member->take_notes()) {
    if (note.event == "late_act_refused") ++tally_.late_acts;
    if (note.event == "heeded") {
      std::uint64_t& highest = n.heeded[note.duty];
      if (note.term < highest) {
        breach(tally_.late_applied, name(i) + " heeds term " + std::to_string(note.term) + " of " +
                                        note.duty + " after " + std::to_string(highest));
      }
      highest = std::max(highest, note.term);
    }
    if (note.event == "owner") {
      const auto [it, fresh] = terms_.try_emplace({note.duty, note.term}, n.member->session());
      if (!fresh && it->second != n.member->session()) {
        breach(tally_.terms_shared,
               "term " + std::to_string(note.term) + " of " + note.duty + " has two owners");
      }
    }
  }
  if (!n.writing && !n.disk_full) {
    if (auto save = n.member->take_save()) {
      n.writing = true;
      n.saving = save->version;
      n.under_way = std::move(save->state);
      n.saved_at =
          now_ + 1 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(options_.disk_ms));
    }
  }
  options_.flushed(i);
}

void Ensemble::run(std::int64_t ms) {
  for (const std::int64_t end = now_ + ms; now_ < end;) {
    ++now_;
    while (!wire_.empty() && wire_.top().at <= now_) {
      const Flight f = wire_.top();
      wire_.pop();
      if (!cut_.contains({f.from, f.to})) deliver(f.from, f.to, f.out);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      if (!n.member || n.stopped) continue;
      if (n.writing && now_ >= n.saved_at) {
        n.writing = false;
        n.disk = n.under_way;
        for (const orders::Call& c : n.disk.calls)
          calls_.emplace(c.id, std::pair(i, c.depot));  // from here on it may not be lost
        n.member->persisted(n.saving, clock(i));
        flush(i);
      }
      if (now_ >= n.tick_at) {
        n.tick_at = now_ + options_.step_ms;
        n.member->tick(clock(i));
        flush(i);
      }
    }
    check();
  }
}

bool Ensemble::until(const std::function<bool()>& done, std::int64_t ms) {
  for (const std::int64_t end = now_ + ms; now_ < end;) {
    if (done()) return true;
    run(10);
  }
  return done();
}

// By the clocks of those who run or stand still: no two may hold themselves for the owner at one moment.
void Ensemble::check() {
  for (const std::string& duty : duties_) {
    std::size_t owners = 0;
    std::string who;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].member || !nodes_[i].member->owns(duty, clock(i))) continue;
      ++owners;
      who += " " + name(i);
    }
    if (owners > 1) breach(tally_.overlaps, duty + " is owned by" + who);
  }
}

void Ensemble::breach(std::uint64_t& counter, const std::string& what) {
  ++counter;
  if (tally_.first.empty()) tally_.first = "at " + std::to_string(now_) + " ms: " + what;
}

void Ensemble::call(std::size_t i, depot::Id depot, bool held) {
  ++tally_.calls;
  nodes_[i].member->call(depot, held, 1'700'000'000'000 + clock(i), clock(i));
  flush(i);
}
void Ensemble::drain(std::size_t i, bool on) {
  nodes_[i].member->drain(on, clock(i));
  flush(i);
}
std::string Ensemble::replace(std::size_t i, std::size_t out, std::size_t in) {
  std::string why = nodes_[i].member->replace(name(out), name(in), clock(i));
  flush(i);
  return why;
}

std::size_t Ensemble::owner(const std::string& duty) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].member && !nodes_[i].stopped && nodes_[i].member->owns(duty, clock(i))) return i;
  }
  return npos;
}

bool Ensemble::all_heed() const {
  std::uint64_t upto = 0;
  bool first = true;
  for (const Node& n : nodes_) {
    if (!n.member || n.stopped) continue;
    if (!n.member->pending().empty()) return false;
    if (!std::exchange(first, false) && n.member->order().upto() != upto) return false;
    upto = n.member->order().upto();
  }
  return true;
}

std::size_t Ensemble::lost_calls() const {
  // One that was settled and followed by another before anybody heard of it stands with that other, and is
  // met there; once its origin has that on disk the entry may forget it.
  const auto stands = [&](const orders::CallId& id, depot::Id depot) {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& n) {
      const orders::Entry* e = n.member ? n.member->order().of(depot) : nullptr;
      return e != nullptr && e->settles(id);
    });
  };
  return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [&](const auto& kv) {
    return !met_.contains(kv.first) && !stands(kv.first, kv.second.second);
  }));
}

}  // namespace anisewick::standin
