#include "handover/run_ledger.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <new>

namespace anisewick::handover {
namespace {

// A slot in one word, so that it changes at once: the id's hash above, the second of its claim below.
constexpr std::uint64_t kSecondsMask = 0xffff;
constexpr std::uint64_t kFree = 0;

std::uint64_t hash_of(std::uint64_t id) {  // the finalizer of splitmix64
  id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9u;
  id = (id ^ (id >> 27)) * 0x94d049bb133111ebu;
  return id ^ (id >> 31);
}
std::uint64_t name_of(std::uint64_t hash) { return std::max(hash & ~kSecondsMask, kSecondsMask + 1); }

// Seconds since the claim; the clock's lower bits alone are kept.
std::int64_t age_of(std::uint64_t slot, std::int64_t now_seconds) {
  return static_cast<std::int64_t>((static_cast<std::uint64_t>(now_seconds) - slot) & kSecondsMask);
}

void* mapped(const std::string& path, std::size_t bytes) {
  const int file = path.empty() ? -1 : ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) return MAP_FAILED;
  // A page that the folder has no room for would end the process when it is touched.
  const bool room = ::posix_fallocate(file, 0, static_cast<off_t>(bytes)) == 0;
  void* at = room ? ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0) : MAP_FAILED;
  ::close(file);
  return at;
}

}  // namespace

RunLedger::RunLedger(const std::string& path) {
  constexpr std::size_t kBytes = kSlots * sizeof(std::uint64_t);
  void* at = mapped(path, kBytes);
  shared_ = at != MAP_FAILED;
  if (!shared_) at = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (at == MAP_FAILED) throw std::bad_alloc();
  slots_ = static_cast<std::uint64_t*>(at);
}

RunLedger::~RunLedger() { ::munmap(slots_, kSlots * sizeof(std::uint64_t)); }

std::uint64_t* RunLedger::slot(std::uint64_t hash, std::size_t probe) const {
  return slots_ + (hash + probe) % kSlots;
}

bool RunLedger::claim(std::uint64_t id, std::int64_t now_seconds) {
  const std::uint64_t hash = hash_of(id), name = name_of(hash);
  const std::uint64_t claimed = name | (static_cast<std::uint64_t>(now_seconds) & kSecondsMask);
  for (;;) {
    // All places are looked at first: a free one may come before the one that has the claim.
    std::uint64_t* best = nullptr;
    std::uint64_t seen = kFree;
    std::int64_t oldest = -1;
    for (std::size_t probe = 0; probe < kProbes; ++probe) {
      std::uint64_t* const at = slot(hash, probe);
      const std::uint64_t value = std::atomic_ref(*at).load();
      const bool fresh = value != kFree && age_of(value, now_seconds) <= kKeptSeconds;
      if (fresh && (value & ~kSecondsMask) == name) return false;
      const std::int64_t age = fresh ? age_of(value, now_seconds) : kKeptSeconds + 1;
      if (age <= oldest) continue;
      oldest = age;
      best = at;
      seen = value;
    }
    // Another process took the place meanwhile, perhaps for the same id.
    if (std::atomic_ref(*best).compare_exchange_strong(seen, claimed)) return true;
  }
}

void RunLedger::release(std::uint64_t id) {
  const std::uint64_t hash = hash_of(id), name = name_of(hash);
  for (std::size_t probe = 0; probe < kProbes; ++probe) {
    std::atomic_ref at(*slot(hash, probe));
    std::uint64_t value = at.load();
    if ((value & ~kSecondsMask) == name) at.compare_exchange_strong(value, kFree);
  }
}

}  // namespace anisewick::handover
