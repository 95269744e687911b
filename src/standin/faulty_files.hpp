// Folders for tests and measurements: one in memory that forgets or mixes up what was not synced when its
// power is cut, and a layer over any folder that refuses, shortens and delays calls.
#ifndef ANISEWICK_STANDIN_FAULTY_FILES_HPP_
#define ANISEWICK_STANDIN_FAULTY_FILES_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "disk/files.hpp"

namespace anisewick::standin {

// The disk behind MemoryFiles; outlives those who use it, as a disk does. Any thread.
class MemoryDisk {
 public:
  // What a power cut leaves: of every write since the last sync of its file, each piece of 512 bytes is there
  // or not, by the seed; names made, changed and removed since the last sync of the folder, likewise, in an
  // order that a folder can have. Nothing may use the old folder's files afterwards.
  void cut_power(std::uint64_t seed);
  // A folder on this disk; the lock of the last one is given up.
  std::unique_ptr<disk::Files> folder();

  // The bytes of a file as they would be read now; for damage done on purpose.
  std::string contents(const std::string& name);
  void overwrite(const std::string& name, std::uint64_t at, const std::string& bytes);
  void remove(const std::string& name);
  void put(const std::string& name, const std::string& bytes);  // as if synced
  std::vector<std::string> names();

  struct Node {
    std::string now, synced;
    struct Write {
      std::uint64_t at;
      std::string bytes;  // a truncation to `at` when empty
    };
    std::vector<Write> since;
  };
  struct Change {
    enum class Kind { kMake, kRemove, kRename } kind;
    std::string name, to;
    std::shared_ptr<Node> node;
  };
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<Node>> now, synced;
  std::vector<Change> changes;
  bool locked = false;
  std::uint64_t life = 0;  // of the folders; a cut ends one
};

// What goes wrong, changed while the folder is in use. Any thread.
struct Faults {
  std::atomic<int> write_error{0}, read_error{0}, sync_error{0}, open_error{0},
      lock_error{0};                     // negative errno; 0: none
  std::atomic<std::int64_t> space{-1};   // bytes that can still be written before -ENOSPC; -1: no end
  std::atomic<bool> short_calls{false};  // reads and writes do about a half of what they are asked for

  // Every call that begins meanwhile waits until the stall is over.
  void stall();
  void go_on();
  void wait();

 private:
  std::mutex mutex_;
  std::condition_variable over_;
  bool stalled_ = false;
};
std::unique_ptr<disk::Files> faulty_files(std::unique_ptr<disk::Files> below, std::shared_ptr<Faults> faults);

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_FAULTY_FILES_HPP_
