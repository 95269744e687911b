// In which rounds machines are taken out for work: who may be out together, and in which order. No I/O, no
// clock; the same facts give the same plan. See docs/design/work.md.
#ifndef ANISEWICK_FLEET_WORK_PLAN_HPP_
#define ANISEWICK_FLEET_WORK_PLAN_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::work {

enum class Kind : std::uint8_t { kCache, kParent, kDoorman };

struct Machine {
  std::string id;
  Kind kind = Kind::kCache;
  std::string centre, hub, zone;
  double capacity = 0.0;  // of a cache: requests a second at its best
  double refill = 0.0;    // fills a second that its cold return asks of its hub
  double work_s = 60.0;   // with the way back until it is warm
  int urgency = 0;        // higher goes first
  bool voter = false;
  bool wanted = false;  // the job takes it; others are there for what they bear
  bool away = false;    // down, held by staff or out already
};
struct Centre {
  std::string name;
  double peak = 0.0;  // requests a second at its usual peak
};
struct Hub {
  std::string name;
  double refill = 0.0;  // fills a second that its link and the origin bear; 0: not known, not limited
};

// Terms of a job; 0 of a number: no limit.
struct Terms {
  std::size_t at_once = 0, by_zone = 0, by_centre = 0, by_hub = 0;
  double reserve = 1.0;   // share of the peak that must still be borne
  bool spare = false;     // also without the largest machine that is left
  double within_s = 0.0;  // the whole; 0: no end
};

enum class Term : std::uint8_t {
  kAtOnce,
  kByZone,
  kByCentre,
  kByHub,
  kReserve,
  kSpare,
  kLastParent,
  kDoormans,
  kVoters,
  kRefill,
  kWithin
};
const char* word(Term term);

struct Facts {
  std::vector<Machine> machines;
  std::vector<Centre> centres;
  std::vector<Hub> hubs;
};

struct Plan {
  std::vector<std::vector<std::size_t>> rounds;  // of places in Facts::machines
  double length_s = 0.0;                         // all rounds one after another
  double bound_s = 0.0;                          // no plan is shorter
  bool exact = false;                            // no plan of this kind is shorter
  // Wanted machines that can never go, and the fewest terms that clash: with them set aside all could.
  std::vector<std::size_t> stuck;
  std::vector<Term> clash;
  bool possible() const { return clash.empty(); }
};

// Whether these may be out together, beside those that are away; the terms that forbid it, if not.
std::vector<Term> forbids(const Facts& facts, const Terms& terms, const std::vector<std::size_t>& out);

// `before`: the rounds of an earlier plan, by id; who can stay in its round stays.
Plan plan(const Facts& facts, const Terms& terms, const std::vector<std::vector<std::string>>& before = {});

}  // namespace anisewick::work

#endif  // ANISEWICK_FLEET_WORK_PLAN_HPP_
