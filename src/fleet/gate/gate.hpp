// Who heeds acts for the fleet keeps the highest term of each duty, and refuses what comes with a lower one.
// No I/O, no clock; one owner, one thread. `terms` has to be on disk before the first act of a higher term is
// carried out, or a restart would open the gate to what it had refused.
#ifndef ANISEWICK_FLEET_GATE_GATE_HPP_
#define ANISEWICK_FLEET_GATE_GATE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace anisewick::gate {

using Terms = std::map<std::string, std::uint64_t>;

class Gate {
 public:
  static constexpr std::size_t kMostDuties = 64;
  enum class Verdict {
    kHeed,    // of the highest term known
    kRaised,  // of a higher one, from now on the highest
    kRefuse   // of a lower one
  };

  explicit Gate(Terms terms = {}) : terms_(std::move(terms)) {}

  Verdict look(const std::string& duty, std::uint64_t term);
  std::uint64_t highest(const std::string& duty) const;  // 0: none
  const Terms& terms() const { return terms_; }
  std::uint64_t refused() const { return refused_; }

 private:
  Terms terms_;
  std::uint64_t refused_ = 0;
};

}  // namespace anisewick::gate

#endif  // ANISEWICK_FLEET_GATE_GATE_HPP_
