// The files by which the processes of one doorman share their state: written whole and renamed into place.
#ifndef ANISEWICK_HANDOVER_FOLDER_HPP_
#define ANISEWICK_HANDOVER_FOLDER_HPP_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "handover/state.hpp"

namespace anisewick::handover {

// Owned by the program, used on its one thread; no call waits for longer than a few milliseconds. Each
// process holds a lock on a file of its own for as long as it lives, by which the others know: the kernel
// lets go of it however the process ends.
class Folder {
 public:
  // `directory` lasts over the processes of the doorman `name`. This one was started later than those that
  // live and have left word there, whatever the clock, `started_ms`, says. `say` gets one line for what was
  // set aside or could not be written.
  Folder(std::string directory, std::string name, std::uint64_t incarnation, std::int64_t started_ms,
         std::function<void(const std::string&)> say);
  ~Folder();
  Folder(const Folder&) = delete;

  // Of a file that all processes use.
  std::string shared_path(std::string_view file) const { return path(file); }

  std::uint64_t incarnation() const { return self_.incarnation; }
  std::int64_t started_ms() const { return self_.started_ms; }  // Unix time, as the others are told it
  // Something was written since the last look, by anybody; or somebody who ran has ended.
  bool changed();
  // What is known of it all, of those who live.
  const State& look();
  // Joins what is said here to what is there. False: it could not be written, and is tried again at the next
  // look; what is known here holds all the same.
  bool publish(const std::vector<holds::Mark>& marks, const Drain& drain, bool ready);

  // Larger values that one process leaves for the others, each whole or not at all.
  enum class Part {
    kLearned,   // for one that starts
    kDiscovery  // for all
  };
  bool leave(Part part, std::string_view bytes);
  void clear(Part part);
  // Those of other processes that live, of `most` bytes at most each; none that was given before and has not
  // changed.
  // What one heard from discovery is given after its end too, where it was seen to live.
  std::vector<std::string> left_by_others(Part part, std::size_t most);

 private:
  std::string path(std::string_view file) const { return directory_ + "/anisewick." + std::string(file); }
  bool lives(std::uint64_t incarnation) const;
  // f(incarnation, path) of each file that is another process's own.
  template <typename F>
  void each_of_others(const F& f) const;
  State read();
  bool write(const std::string& to, std::string_view bytes);

  const std::string directory_;
  const std::function<void(const std::string&)> say_;
  int alive_ = -1;  // holds the lock
  int gate_ = -1;   // held while the state is written
  State state_;     // what is known
  Runner self_;
  bool owed_ = false;  // what is known here is not in the file
  ino_t seen_ = 0;     // of the state file
  std::int64_t seen_at_ = 0;
  bool failing_ = false;
  std::set<std::uint64_t> seen_alive_;                           // others
  std::map<std::string, std::pair<ino_t, std::int64_t>> given_;  // files of others, and when they had changed
};

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_FOLDER_HPP_
