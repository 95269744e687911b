#include "fleet/talk/values.hpp"

#include <utility>

namespace anisewick::talk {
namespace {

std::vector<agreement::Seat> seats_from(const google::protobuf::RepeatedPtrField<wire::Seat>& seats) {
  std::vector<agreement::Seat> out;
  for (const auto& s : seats) out.push_back({s.name(), s.id()});
  return out;
}

}  // namespace

agreement::Ballot from(const wire::Ballot& b) { return {b.number(), b.proposer()}; }
void to(const agreement::Ballot& b, wire::Ballot& out) {
  out.set_number(b.number);
  out.set_proposer(b.proposer);
}
agreement::Voters from(const wire::Voters& v) {
  return {v.epoch(), seats_from(v.now()), seats_from(v.next())};
}
void to(const agreement::Voters& v, wire::Voters& out) {
  const auto add = [](const agreement::Seat& s, wire::Seat& seat) {
    seat.set_name(s.name);
    seat.set_id(s.id);
  };
  out.set_epoch(v.epoch);
  for (const agreement::Seat& s : v.now) add(s, *out.add_now());
  for (const agreement::Seat& s : v.next) add(s, *out.add_next());
}
orders::CallId from(const wire::CallId& id) { return {id.origin(), id.serial()}; }
void to(const orders::CallId& id, wire::CallId& out) {
  out.set_origin(id.origin);
  out.set_serial(id.serial);
}
orders::Call from(const wire::Call& c) { return {from(c.id()), c.depot(), c.held(), c.at_ms()}; }
void to(const orders::Call& c, wire::Call& out) {
  to(c.id, *out.mutable_id());
  out.set_depot(c.depot);
  out.set_held(c.held);
  out.set_at_ms(c.at_ms);
}
bool all_from(const google::protobuf::RepeatedPtrField<wire::Entry>& entries,
              std::vector<orders::Entry>& out) {
  for (const auto& e : entries) {
    if (e.calls_size() > static_cast<int>(orders::kHardCalls)) return false;
    orders::Entry entry{e.depot(), e.held(), e.number(), e.at_ms(), {}};
    for (const auto& c : e.calls()) entry.calls.push_back(from(c));
    out.push_back(std::move(entry));
  }
  return true;
}
void to(const orders::Entry& e, wire::Entry& out) {
  out.set_depot(e.depot);
  out.set_held(e.held);
  out.set_number(e.number);
  out.set_at_ms(e.at_ms);
  for (const orders::CallId& c : e.calls) to(c, *out.add_calls());
}

}  // namespace anisewick::talk
