// A job as staff write it, as plain values: from the bytes of wire::Work, checked. No I/O.
#ifndef ANISEWICK_FLEET_WORK_JOB_HPP_
#define ANISEWICK_FLEET_WORK_JOB_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/work/plan.hpp"

namespace anisewick::wire {
class Work;
}

namespace anisewick::work {

enum class Action : std::uint8_t { kRestart, kReplace, kLeaveOut };

struct Job {
  std::string name, reason, asked_by;
  Facts facts;             // the job's own machines first, by their places
  std::size_t wanted = 0;  // so many
  Terms terms;
  Action action = Action::kRestart;
  std::int64_t earliest_ms = 0, latest_ms = 0;  // Unix time; 0: any
  std::int64_t back_within_ms = 600'000;
  bool halt_on_failure = true;
  double warm_fills = 1.5;
  std::uint64_t warm_answers = 50;
  std::int64_t warm_within_ms = 300'000;
  int urgency = 0;
  const std::string& id(std::size_t place) const { return facts.machines[place].id; }
};

struct Wrong {
  std::string field;  // of Work
  int index = -1;
  std::string what;  // and what to write instead
};
// Everything that is wrong with it, in one pass; among it that it can never be done, and why.
std::vector<Wrong> check(const wire::Work& file);
Job job_of(const wire::Work& file);                     // of one that was checked
std::optional<Job> job_from(const std::string& bytes);  // nothing: not such bytes, or they are wrong
std::uint64_t digest_of(const std::string& bytes);

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_JOB_HPP_
