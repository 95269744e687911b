// Jobs as staff write and read them: a file of wire::Work in protobuf text format, and lines that tell how
// far they are.
#ifndef ANISEWICK_FLEET_PART_JOBS_HPP_
#define ANISEWICK_FLEET_PART_JOBS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/work/choose.hpp"
#include "fleet/work/crew.hpp"
#include "settings/settings.hpp"

namespace anisewick::part {

// A job's file, checked, as what goes into the registers; nothing: the findings say what is wrong, all of it
// in one pass. `known`: by which machines are chosen that it names by kind and zone; without it such a file
// is checked as far as that goes.
struct JobFile {
  std::string name, bytes;
  std::uint64_t digest = 0;  // of what staff wrote
};
std::optional<JobFile> load_job(const std::string& path, const std::vector<work::Known>* known,
                                std::vector<settings::Finding>& findings);

// A line a job; a line a machine of one job, empty where nobody has heard of it.
std::string jobs_text(const work::Crew& crew, std::int64_t now_ms);
std::string job_text(const work::Crew& crew, const std::string& job, std::int64_t now_ms,
                     std::int64_t unix_ms);

}  // namespace anisewick::part

#endif  // ANISEWICK_FLEET_PART_JOBS_HPP_
