#include "fleet/work/job.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "depot/depot.hpp"
#include "fleet/work/board.hpp"
#include "work.pb.h"

namespace anisewick::work {
namespace {

constexpr std::size_t kMostWord = 32, kMostWords = 120;
constexpr double kMostNumber = 1e9;

bool is_word(const std::string& s) {
  return !s.empty() && s.size() <= kMostWord && s.find_first_of(" /\t\r\n") == std::string::npos;
}
bool is_amount(double v) { return std::isfinite(v) && v >= 0.0 && v <= kMostNumber; }

Machine machine_of(const wire::WorkMachine& m, bool wanted) {
  Machine out;
  out.id = m.id();
  out.kind = static_cast<Kind>(m.kind());
  out.centre = m.centre();
  out.hub = m.hub();
  out.zone = m.zone();
  out.capacity = m.capacity();
  out.refill = m.refill();
  out.work_s = m.work_s();
  out.urgency = static_cast<int>(m.urgency());
  out.voter = m.voter();
  out.wanted = wanted;
  return out;
}

}  // namespace

std::vector<Wrong> check(const wire::Work& f) {
  std::vector<Wrong> wrong;
  const auto find = [&](const char* field, std::string what, int index = -1) {
    wrong.push_back({field, index, std::move(what)});
  };
  if (!is_word(f.name())) {
    find("name",
         "name is '" + f.name() + "': write a word of up to 32 bytes, by which staff speak of the job");
  }
  if (f.reason().size() > kMostWords) find("reason", "reason is over 120 bytes: write it shorter");
  if (f.asked_by().size() > kMostWords) find("asked_by", "asked_by is over 120 bytes: write it shorter");
  if (f.machines_size() == 0 && f.select_size() == 0)
    find("machines", "there are no machines: write those that are to be taken out");
  if (f.machines_size() > static_cast<int>(kMostMachines)) {
    find("machines", "there are " + std::to_string(f.machines_size()) + " machines: write at most " +
                         std::to_string(kMostMachines) + " in one job, and the rest in another");
  }
  std::set<std::string> ids;
  const auto machine = [&](const char* field, const wire::WorkMachine& m, int i) {
    const bool doorman = m.kind() == wire::WorkMachine::DOORMAN;
    if (doorman ? !is_word(m.id()) : !depot::id_from(m.id())) {
      find(field,
           "the id '" + m.id() + "' is none: write a depot's as s-00000001, or kind: DOORMAN and its name",
           i);
    }
    if (!ids.insert(m.id()).second) find(field, m.id() + " is there twice: write it once", i);
    if (!is_amount(m.capacity()) || !is_amount(m.refill())) {
      find(field, "capacity or refill of " + m.id() + " is out of range: write 0 to 1e9 a second", i);
    }
    if (m.work_s() == 0 || m.work_s() > 86'400) {
      find(field, "work_s of " + m.id() + " is " + std::to_string(m.work_s()) + ": write 1 to 86400 seconds",
           i);
    }
    if (m.voter() && !doorman) find(field, m.id() + " votes and is no doorman: only doormans vote", i);
  };
  for (int i = 0; i < f.machines_size(); ++i) machine("machines", f.machines(i), i);
  for (int i = 0; i < f.others_size(); ++i) machine("others", f.others(i), i);
  if (f.others_size() > 512) find("others", "there are over 512 others: write those that bear this load");
  for (int i = 0; i < f.centres_size(); ++i) {
    if (!is_amount(f.centres(i).peak())) find("centres", "the peak is out of range: write 0 to 1e9", i);
  }
  for (int i = 0; i < f.hubs_size(); ++i) {
    if (!is_amount(f.hubs(i).refill())) find("hubs", "refill is out of range: write 0 to 1e9", i);
  }
  if (f.at_once() > kMostActive) {
    find("at_once",
         "at_once is " + std::to_string(f.at_once()) + ": write 1 to " + std::to_string(kMostActive));
  }
  if (!std::isfinite(f.reserve()) || f.reserve() < 0.0 || f.reserve() > 10.0) {
    find("reserve", "reserve is out of range: write the share of the peak that must be borne, 0 to 10");
  }
  if (f.latest() != 0 && f.latest() <= f.earliest()) {
    find("latest", "latest is not after earliest: write a later time, in Unix seconds");
  }
  if (f.back_within_s() == 0)
    find("back_within_s", "back_within_s is 0: write the seconds after which it failed");
  if (!std::isfinite(f.warm_fills()) || f.warm_fills() < 1.0 || f.warm_fills() > 100.0) {
    find("warm_fills", "warm_fills is out of range: write 1 to 100 times the usual share of fills");
  }
  if (f.ByteSizeLong() > kParts * kPartBytes) {
    find("machines", "the job takes " + std::to_string(f.ByteSizeLong()) + " bytes of " +
                         std::to_string(kParts * kPartBytes) + ": write shorter names, or two jobs");
  }
  // What is chosen by kind and zone is known at a door alone.
  if (!wrong.empty() || f.select_size() + f.rest_size() > 0) return wrong;
  // That it can never be done: the fewest of its terms that clash.
  const Job job = job_of(f);
  const Plan p = plan(job.facts, job.terms);
  if (p.possible()) return wrong;
  std::string what = "it can never be done";
  for (std::size_t i = 0; i < p.stuck.size() && i < 3; ++i)
    what += (i == 0 ? ": " : ", ") + job.id(p.stuck[i]);
  if (p.stuck.size() > 3) what += " and " + std::to_string(p.stuck.size() - 3) + " more";
  what += p.stuck.empty() ? ", for " : " cannot go, for ";
  for (std::size_t i = 0; i < p.clash.size(); ++i)
    what += (i == 0 ? "" : " and ") + std::string(word(p.clash[i]));
  what += p.clash.size() == 1 ? " forbids it: give way there" : " clash: give way in one of them";
  find("machines", what, p.stuck.empty() ? -1 : static_cast<int>(p.stuck[0]));
  return wrong;
}

Job job_of(const wire::Work& f) {
  Job j;
  j.name = f.name();
  j.reason = f.reason();
  j.asked_by = f.asked_by();
  for (const auto& m : f.machines()) j.facts.machines.push_back(machine_of(m, true));
  j.wanted = j.facts.machines.size();
  for (const auto& m : f.others()) j.facts.machines.push_back(machine_of(m, false));
  for (const auto& c : f.centres()) j.facts.centres.push_back({c.name(), c.peak()});
  for (const auto& h : f.hubs()) j.facts.hubs.push_back({h.name(), h.refill()});
  j.terms.at_once = f.at_once() == 0 ? kMostActive : f.at_once();
  j.terms.by_zone = f.by_zone();
  j.terms.by_centre = f.by_centre();
  j.terms.by_hub = f.by_hub();
  j.terms.reserve = f.reserve();
  j.terms.spare = f.spare();
  if (f.latest() != 0)
    j.terms.within_s = static_cast<double>(f.latest() - std::min(f.earliest(), f.latest()));
  if (f.earliest() == 0) j.terms.within_s = 0.0;  // from now on: not known here
  j.action = static_cast<Action>(f.action());
  j.earliest_ms = static_cast<std::int64_t>(f.earliest()) * 1000;
  j.latest_ms = static_cast<std::int64_t>(f.latest()) * 1000;
  j.back_within_ms = std::int64_t{1000} * f.back_within_s();
  j.halt_on_failure = f.halt_on_failure();
  j.warm_fills = f.warm_fills();
  j.warm_answers = f.warm_answers();
  j.warm_within_ms = std::int64_t{1000} * f.warm_within_s();
  j.urgency = static_cast<int>(f.urgency());
  return j;
}

std::optional<Job> job_from(const std::string& bytes) {
  wire::Work f;
  if (!f.ParseFromString(bytes) || f.machines_size() > static_cast<int>(kMostMachines)) return std::nullopt;
  return job_of(f);
}

std::uint64_t digest_of(const std::string& bytes) {
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const char c : bytes) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return h;
}

}  // namespace anisewick::work
