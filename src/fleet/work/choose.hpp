// Which machines a job means that it names by kind, zone and age: from what a doorman knows to be there. No
// I/O.
#ifndef ANISEWICK_FLEET_WORK_CHOOSE_HPP_
#define ANISEWICK_FLEET_WORK_CHOOSE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/work/job.hpp"

namespace anisewick::work {

// A machine that is there, as the bus's list or the membership tells of it.
struct Known {
  std::string id;
  Kind kind = Kind::kCache;
  std::string zone;
  std::int64_t started_ms = 0;  // Unix time of the process; 0: long ago
};

// Writes them into `machines` and `others`, in the order of their ids, and takes the choices out of the file.
// Who is there by its id already stays as it is written. What chooses nobody is wrong.
std::vector<Wrong> choose(wire::Work& file, std::vector<Known> known);

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_CHOOSE_HPP_
