#include "fleet/part/jobs.hpp"

#include <map>

#include "work.pb.h"

namespace anisewick::part {

using anisewick::settings::Reader;
using work::State;

std::optional<JobFile> load_job(const std::string& path, const std::vector<work::Known>* known,
                                std::vector<settings::Finding>& findings) {
  Reader reader(path);
  wire::Work file;
  JobFile out;
  if (reader.load(file)) {
    const auto tell = [&](const work::Wrong& w) {
      reader.find(Reader::line_of(&reader.tree(), file, w.field.c_str(), w.index), w.what);
    };
    out.name = file.name();
    out.digest = work::digest_of(file.SerializeAsString());
    wire::Work whole = file;
    const auto unknown = known != nullptr ? work::choose(whole, *known) : std::vector<work::Wrong>{};
    for (const work::Wrong& w : unknown) tell(w);
    if (unknown.empty()) {
      for (const work::Wrong& w : work::check(whole)) tell(w);
    }
    out.bytes = whole.SerializeAsString();
  }
  findings = reader.findings();
  if (!findings.empty()) return std::nullopt;
  return out;
}

namespace {

// Where a machine stands: in progress by the picture, else by the job's board.
State state_of(const work::Crew& crew, std::size_t slot, std::size_t place, const std::string& machine,
               const work::Active** active) {
  const work::Steps& steps = crew.steps();
  const work::Now& now = steps.fenced() ? steps.now() : crew.permit().now();
  const work::Active* a = now.of(machine);
  const work::Board& b = crew.library().board(slot);
  const State board = place < b.states.size() ? b.states[place] : State::kWaiting;
  if (a == nullptr || crew.library().board(a->slot).name != b.name || work::final(board)) return board;
  *active = a;
  return a->state;
}

}  // namespace

std::string jobs_text(const work::Crew& crew, std::int64_t now_ms) {
  std::string out;
  for (std::size_t s = 0; s < work::kSlots; ++s) {
    const work::Board& b = crew.library().board(s);
    if (b.phase == work::Phase::kNone) continue;
    out += b.name + " " + work::word(b.phase);
    if (const work::Job* job = crew.library().job(s)) {
      std::map<State, std::size_t> n;
      for (std::size_t p = 0; p < job->wanted; ++p) {
        const work::Active* a = nullptr;
        ++n[state_of(crew, s, p, job->id(p), &a)];
      }
      for (const auto& [state, count] : n) out += ", " + std::to_string(count) + " " + work::word(state);
      if (!job->reason.empty()) out += "; " + job->reason;
      if (!job->asked_by.empty()) out += " (" + job->asked_by + ")";
    }
    if (!b.why.empty()) out += "; " + b.why;
    out += "\n";
  }
  if (const std::string trouble = crew.steps().trouble(now_ms); !trouble.empty()) {
    out += "trouble: nothing goes out, for " + trouble + "\n";
  }
  return out;
}

std::string job_text(const work::Crew& crew, const std::string& name, std::int64_t now_ms,
                     std::int64_t unix_ms) {
  const auto slot = crew.library().slot_of(name);
  if (!slot) return {};
  const work::Board& b = crew.library().board(*slot);
  std::string out = name + " " + work::word(b.phase) + (b.why.empty() ? "" : ": " + b.why) + "\n";
  if (const std::string trouble = crew.steps().trouble(now_ms); !trouble.empty()) {
    out += "trouble: nothing goes out, for " + trouble + "\n";
  }
  const work::Job* job = crew.library().job(*slot);
  if (job == nullptr) return out + "its file is being read: ask again\n";
  for (std::size_t p = 0; p < job->wanted; ++p) {
    const work::Active* a = nullptr;
    const State state = state_of(crew, *slot, p, job->id(p), &a);
    out += job->id(p) + " " + work::word(state);
    if (a != nullptr) {
      out += " since " + std::to_string(std::max<std::int64_t>(0, unix_ms - a->since_ms) / 1000) + " s";
      const std::string waits = crew.steps().fenced() ? crew.steps().waits_for(*a, now_ms) : std::string();
      if (!waits.empty()) out += ", waits for " + waits;
    } else if (state == State::kWaiting && crew.steps().fenced()) {
      const std::string waits = crew.steps().waits_for(*slot, p, now_ms, unix_ms);
      if (!waits.empty()) out += ", waits for " + waits;
    }
    out += "\n";
  }
  return out;
}

}  // namespace anisewick::part
