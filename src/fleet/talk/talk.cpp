#include "fleet/talk/talk.hpp"

#include <utility>

#include "fleet/talk/values.hpp"

namespace anisewick::talk {
namespace {

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kMostName = 32;

void message_to(const agreement::Message& m, wire::Agreement& out) {
  out.set_kind(static_cast<std::uint32_t>(m.kind));
  out.set_fleet(m.fleet);
  out.set_epoch(m.epoch);
  out.set_seat(m.seat);
  out.set_key(m.key);
  to(m.ballot, *out.mutable_ballot());
  to(m.other, *out.mutable_other());
  out.set_value(m.value);
  if (m.voters) to(*m.voters, *out.mutable_voters());
  for (const std::uint64_t f : m.founders) out.add_founders(f);
}
bool seats_fit(const wire::Voters& v) {
  if (v.now_size() > static_cast<int>(agreement::kMostSeats)) return false;
  if (v.next_size() > static_cast<int>(agreement::kMostSeats)) return false;
  for (const auto* seats : {&v.now(), &v.next()}) {
    for (const auto& s : *seats) {
      if (s.name().empty() || s.name().size() > kMostName) return false;
    }
  }
  return true;
}
bool message_from(const wire::Agreement& a, agreement::Message& m) {
  using Kind = agreement::Message::Kind;
  if (a.kind() < static_cast<std::uint32_t>(Kind::kPrepare) ||
      a.kind() > static_cast<std::uint32_t>(Kind::kWho) || a.key().size() > agreement::kMostKey ||
      a.value().size() > agreement::kMostValue ||
      a.founders_size() > static_cast<int>(agreement::kMostSeats) || !seats_fit(a.voters()))
    return false;
  m.kind = static_cast<Kind>(a.kind());
  m.fleet = a.fleet();
  m.epoch = a.epoch();
  m.seat = a.seat();
  m.key = a.key();
  m.ballot = from(a.ballot());
  m.other = from(a.other());
  m.value = a.value();
  if (a.has_voters()) m.voters = from(a.voters());
  m.founders.assign(a.founders().begin(), a.founders().end());
  return true;
}

void talk_to(const Talk& t, wire::Talk& out) {
  out.set_kind(static_cast<std::uint32_t>(t.kind));
  out.set_duty(t.duty);
  out.set_term(t.term);
  out.set_owner(t.owner);
  out.set_renewal(t.renewal);
  out.set_from(t.from);
  out.set_to(t.to);
  out.set_known(t.known);
  for (const orders::Entry& e : t.entries) to(e, *out.add_entries());
  if (t.kind == Talk::Kind::kCall || t.kind == Talk::Kind::kSettled) to(t.call, *out.mutable_call());
  out.set_verdict(t.verdict);
  out.set_word(t.word);
  out.set_answer(t.answer);
}
bool talk_from(const wire::Talk& t, Talk& out) {
  if (t.kind() < static_cast<std::uint32_t>(Talk::Kind::kTell) ||
      t.kind() > static_cast<std::uint32_t>(Talk::Kind::kWord) || t.duty().empty() ||
      t.duty().size() > kMostName || t.owner().size() > kMostName || t.from() > t.to() ||
      t.entries_size() > static_cast<int>(kMostTold))
    return false;
  out.kind = static_cast<Talk::Kind>(t.kind());
  out.duty = t.duty();
  out.term = t.term();
  out.owner = t.owner();
  out.renewal = t.renewal();
  out.from = t.from();
  out.to = t.to();
  out.known = t.known();
  out.call = from(t.call());
  out.verdict = static_cast<std::uint8_t>(t.verdict());
  out.word = t.word();
  out.answer = t.answer();
  return all_from(t.entries(), out.entries);
}

}  // namespace

std::string bytes_of(const Packet& packet) {
  wire::Packet out;
  out.set_version(kVersion);
  out.set_from(packet.from);
  if (const auto* m = std::get_if<agreement::Message>(&packet.what)) {
    message_to(*m, *out.mutable_agreement());
  } else {
    talk_to(std::get<Talk>(packet.what), *out.mutable_talk());
  }
  return out.SerializeAsString();
}

std::optional<Packet> packet_from(std::string_view bytes, Fault& fault) {
  wire::Packet in;
  fault = Fault::kMalformed;
  if (bytes.size() > kMostPacket || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (in.version() != kVersion) {
    fault = Fault::kVersion;
    return std::nullopt;
  }
  Packet packet;
  packet.from = in.from();
  if (packet.from.empty() || packet.from.size() > kMostName) return std::nullopt;
  bool good = false;
  if (in.has_agreement()) {
    agreement::Message m;
    good = message_from(in.agreement(), m);
    packet.what = std::move(m);
  } else if (in.has_talk()) {
    Talk t;
    good = talk_from(in.talk(), t);
    packet.what = std::move(t);
  }
  if (!good) return std::nullopt;
  fault = Fault::kNone;
  return packet;
}

std::string bytes_of(const Saved& saved) {
  wire::Saved out;
  out.set_fleet(saved.voter.fleet);
  out.set_seat(saved.voter.seat);
  to(saved.voter.voters, *out.mutable_voters());
  for (const std::uint64_t f : saved.voter.founders) out.add_founders(f);
  for (const auto& [key, c] : saved.voter.cells) {
    auto& cell = *out.add_cells();
    cell.set_key(key);
    to(c.promised, *cell.mutable_promised());
    to(c.accepted, *cell.mutable_accepted());
    cell.set_value(c.value);
  }
  for (const auto& [duty, term] : saved.terms) {
    auto& t = *out.add_terms();
    t.set_duty(duty);
    t.set_term(term);
  }
  out.set_serial(saved.serial);
  for (const orders::Call& c : saved.calls) to(c, *out.add_calls());
  for (const orders::Entry& e : saved.order) to(e, *out.add_entries());
  out.set_upto(saved.upto);
  out.set_work(saved.work);
  out.set_zones(saved.zones);
  return out.SerializeAsString();
}

std::optional<Saved> saved_from(std::string_view bytes) {
  wire::Saved in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  Saved out;
  out.voter.fleet = in.fleet();
  out.voter.seat = in.seat();
  out.voter.voters = from(in.voters());
  out.voter.founders.assign(in.founders().begin(), in.founders().end());
  for (const auto& c : in.cells()) {
    out.voter.cells[c.key()] = {from(c.promised()), from(c.accepted()), c.value()};
  }
  for (const auto& t : in.terms()) out.terms[t.duty()] = t.term();
  out.serial = in.serial();
  for (const auto& c : in.calls()) out.calls.push_back(from(c));
  if (!all_from(in.entries(), out.order)) return std::nullopt;
  out.upto = in.upto();
  out.work = in.work();
  out.zones = in.zones();
  return out;
}

}  // namespace anisewick::talk
