// The ids of requests that may have run and may not run twice, shared by the processes of one proxy: a client
// that left may send its request again, also to the other process of an upgrade. Source: the platform's rule
// that a class that may not repeat never runs twice.
#ifndef ANISEWICK_HANDOVER_RUN_LEDGER_HPP_
#define ANISEWICK_HANDOVER_RUN_LEDGER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

namespace anisewick::handover {

// A table of fixed size in memory that is mapped from a file, so that a claim binds the other process at
// once. Claims are atomic between processes. Times are whole seconds of the monotonic clock, which processes
// of one machine share. Where a place is crowded the oldest claim goes.
class RunLedger {
 public:
  static constexpr std::int64_t kKeptSeconds = 60;  // clients give up within a few

  // `path` empty, or a file that cannot be had: for this process alone.
  explicit RunLedger(const std::string& path);
  ~RunLedger();
  RunLedger(const RunLedger&) = delete;
  RunLedger& operator=(const RunLedger&) = delete;

  bool shared() const { return shared_; }
  // False: it was claimed lately, and may have run.
  bool claim(std::uint64_t id, std::int64_t now_seconds);
  // It has not run after all.
  void release(std::uint64_t id);

 private:
  static constexpr std::size_t kSlots = 1u << 14, kProbes = 16;

  std::uint64_t* slot(std::uint64_t hash, std::size_t probe) const;

  std::uint64_t* slots_ = nullptr;
  bool shared_ = false;
};

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_RUN_LEDGER_HPP_
