// One run of a fleet in simulated time under a seeded sequence of faults, and what its checkers found.
#ifndef ANISEWICK_STANDIN_TRIAL_HPP_
#define ANISEWICK_STANDIN_TRIAL_HPP_

#include <cstdint>
#include <string>

#include "standin/ensemble.hpp"

namespace anisewick::standin {

struct TrialOptions {
  EnsembleOptions fleet;
  std::int64_t faults_ms = 40'000;  // then all is well again
  std::int64_t calm_ms = 30'000;    // so long at most until all is settled
  bool replaces = true, empties = true;
  std::int64_t call_ms = 700;  // between two calls of staff, about
  std::size_t depots = 12;     // that they are about
  std::uint64_t empty_in = 6;  // of so many kills of voters one loses its disk
};
struct TrialResult {
  bool sound = false;    // nothing that must hold was broken
  bool settled = false;  // in the end each duty had an owner, and all had heeded the same
  std::size_t lost_calls = 0;
  std::int64_t owners_ms = 0;  // after the faults' end, until each duty had one
  std::size_t kills = 0, stops = 0, cuts = 0, replaced = 0;
  Ensemble::Tally tally;
  std::string why;  // in words
  bool good() const { return sound && settled && lost_calls == 0; }
};
TrialResult trial(const TrialOptions& options);

// Owners whose clocks are as slow as is allowed for, rivals as fast, and each owner cut off in turn.
TrialResult drift_trial(std::uint64_t seed, double rate, int rounds);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_TRIAL_HPP_
