// Jobs as staff write and read them: a file of wire::Work in protobuf text format, and lines that tell how
// far they are.
#ifndef ANISEWICK_FLEET_PART_JOBS_HPP_
#define ANISEWICK_FLEET_PART_JOBS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/work/crew.hpp"
#include "settings/settings.hpp"

namespace anisewick::part {

// A job's file, checked, as the bytes that go into the registers; nothing: the findings say what is wrong,
// all of it in one pass. `name`: the job's.
std::optional<std::string> load_job(const std::string& path, std::string& name,
                                    std::vector<settings::Finding>& findings);

// A line a job; a line a machine of one job, empty where nobody has heard of it.
std::string jobs_text(const work::Crew& crew);
std::string job_text(const work::Crew& crew, const std::string& job, std::int64_t now_ms,
                     std::int64_t unix_ms);

}  // namespace anisewick::part

#endif  // ANISEWICK_FLEET_PART_JOBS_HPP_
