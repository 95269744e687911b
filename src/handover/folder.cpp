#include "handover/folder.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <thread>
#include <utility>

#include "depot/fields.hpp"

namespace anisewick::handover {
namespace {

// A process that was stopped with the lock held must not stop the others: they write without it then. What
// one of two writers overwrites, it misses at its next look and writes again.
constexpr int kTries = 10;
constexpr auto kBetween = std::chrono::microseconds(300);
constexpr std::time_t kYoung = 2;       // seconds
constexpr std::size_t kMostGiven = 64;  // files of others that are remembered

std::string name_of(std::uint64_t incarnation) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(incarnation));
  return text;
}

std::optional<std::string> bytes_of(const std::string& path, std::size_t most) {
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return std::nullopt;
  struct stat s;
  const bool sized = ::fstat(file, &s) == 0 && s.st_size >= 0;
  std::string bytes(sized ? std::min(most, static_cast<std::size_t>(s.st_size)) + 1 : 0, '\0');
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = ::read(file, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    at += static_cast<std::size_t>(n);
  }
  ::close(file);
  bytes.resize(at);
  return bytes;
}

std::string suffix_of(Folder::Part part) { return part == Folder::Part::kLearned ? ".left" : ".discovery"; }

std::int64_t changed_at(const struct stat& s) {
  return static_cast<std::int64_t>(s.st_mtim.tv_sec) * 1'000'000'000 + s.st_mtim.tv_nsec;
}

}  // namespace

template <typename F>
void Folder::each_of_others(const F& f) const {
  constexpr std::string_view kBefore = "anisewick.";
  constexpr std::size_t kDigits = 16;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(directory_, error)) {
    const std::string name = entry.path().filename().string();
    std::uint64_t incarnation = 0;
    if (name.starts_with(kBefore) && name.size() > kBefore.size() + kDigits &&
        depot::number(std::string_view(name).substr(kBefore.size(), kDigits), incarnation, 16) &&
        incarnation != self_.incarnation)
      f(incarnation, entry.path().string());
  }
}

Folder::Folder(std::string directory, std::string name, std::uint64_t incarnation, std::int64_t started_ms,
               std::function<void(const std::string&)> say)
    : directory_(std::move(directory)), say_(std::move(say)), self_{incarnation, started_ms, false} {
  state_.name = std::move(name);
  const std::string mine = path(name_of(incarnation) + ".alive");
  alive_ = ::open(mine.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (alive_ < 0 || ::flock(alive_, LOCK_EX | LOCK_NB) != 0) {
    say_("cannot hold " + mine + ": " + std::strerror(errno) + "; an upgrade will not know of this process");
  }
  gate_ = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  // What those who were killed had begun or left: nobody else takes it away. What is young may be of one that
  // starts and does not hold its lock yet.
  each_of_others([this](std::uint64_t other, const std::string& file) {
    struct stat s;
    const bool old = ::stat(file.c_str(), &s) == 0 && ::time(nullptr) - s.st_mtim.tv_sec >= kYoung;
    if (old && !lives(other)) ::unlink(file.c_str());
  });
  for (const Runner& runner : read().runners) {
    if (runner.incarnation != self_.incarnation && lives(runner.incarnation))
      self_.started_ms = std::max(self_.started_ms, runner.started_ms + 1);
  }
}

Folder::~Folder() {
  // In this order: who finds the file finds it locked.
  if (alive_ >= 0) ::unlink(path(name_of(self_.incarnation) + ".alive").c_str());
  clear(Part::kLearned);  // what was heard from discovery stays for those who saw this one live
  if (alive_ >= 0) ::close(alive_);
  if (gate_ >= 0) ::close(gate_);
}

bool Folder::lives(std::uint64_t incarnation) const {
  if (incarnation == self_.incarnation) return true;
  const std::string file = path(name_of(incarnation) + ".alive");
  const int fd = ::open(file.c_str(), O_RDWR | O_CLOEXEC);
  if (fd < 0) return errno != ENOENT;  // of one that cannot be asked nothing is known
  const bool held = ::flock(fd, LOCK_EX | LOCK_NB) != 0;
  ::close(fd);
  return held;
}

bool Folder::changed() {
  struct stat s;
  if (owed_) return true;
  if (::stat(path("state").c_str(), &s) != 0) return !state_.runners.empty();
  if (s.st_ino != seen_ || changed_at(s) != seen_at_) return true;
  return std::any_of(state_.runners.begin(), state_.runners.end(),
                     [this](const Runner& r) { return !lives(r.incarnation); });
}

// The state that is there, without those who have ended. A file that is no good is set aside, once.
State Folder::read() {
  State none;
  none.name = state_.name;
  const std::string file = path("state");
  struct stat s;
  const bool there = ::stat(file.c_str(), &s) == 0;
  seen_ = there ? s.st_ino : 0;
  seen_at_ = there ? changed_at(s) : 0;
  const auto bytes = bytes_of(file, kMostBytes);
  if (!bytes) return none;
  std::string why = "it is too large";
  auto state = bytes->size() > kMostBytes ? std::nullopt : decode(*bytes, state_.name, why);
  if (!state) {
    std::rename(file.c_str(), path("state.aside").c_str());
    say_(file + " is set aside: " + why);
    return none;
  }
  return *state;
}

const State& Folder::look() {
  const State there = read();
  state_ = merged(state_, there);
  std::erase_if(state_.runners, [this](const Runner& r) { return !lives(r.incarnation); });
  // What is known here and not there was overwritten, or is still owed.
  State with_self = state_;
  if (owed_ || with_self != there) publish(state_.marks, state_.drain, self_.ready);
  return state_;
}

bool Folder::publish(const std::vector<holds::Mark>& marks, const Drain& drain, bool ready) {
  bool locked = false;
  for (int i = 0; i < kTries && !(locked = ::flock(gate_, LOCK_EX | LOCK_NB) == 0); ++i) {
    std::this_thread::sleep_for(kBetween);
  }
  self_.ready = self_.ready || ready;
  State mine;
  mine.name = state_.name;
  mine.marks = marks;
  mine.drain = drain;
  mine.runners = {self_};
  state_ = merged(merged(state_, read()), mine);
  std::erase_if(state_.runners, [this](const Runner& r) { return !lives(r.incarnation); });
  const bool fine = write("state", encode(state_));
  struct stat s;
  if (fine && ::stat(path("state").c_str(), &s) == 0) {
    seen_ = s.st_ino;
    seen_at_ = changed_at(s);
  }
  if (locked) ::flock(gate_, LOCK_UN);
  owed_ = !fine;
  if (!fine && !std::exchange(failing_, true)) {
    say_("cannot write " + path("state") + ": " + std::strerror(errno) + "; it is tried again");
  }
  failing_ = !fine;
  return fine;
}

bool Folder::write(const std::string& to, std::string_view bytes) {
  const std::string draft = path(name_of(self_.incarnation) + ".draft");
  const int file = ::open(draft.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  bool fine = true;
  for (std::size_t at = 0; at < bytes.size() && fine;) {
    const ssize_t n = ::write(file, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    fine = n > 0;
    if (fine) at += static_cast<std::size_t>(n);
  }
  const int error = errno;
  fine = ::close(file) == 0 && fine && std::rename(draft.c_str(), path(to).c_str()) == 0;
  if (!fine) {
    ::unlink(draft.c_str());
    if (error != 0) errno = error;
  }
  return fine;
}

bool Folder::leave(Part part, std::string_view bytes) {
  return write(name_of(self_.incarnation) + suffix_of(part), bytes);
}

void Folder::clear(Part part) { ::unlink(path(name_of(self_.incarnation) + suffix_of(part)).c_str()); }

std::vector<std::string> Folder::left_by_others(Part part, std::size_t most) {
  std::vector<std::string> left;
  each_of_others([&](std::uint64_t incarnation, const std::string& file) {
    struct stat s;
    if (!file.ends_with(suffix_of(part)) || ::stat(file.c_str(), &s) != 0) return;
    if (lives(incarnation)) {
      if (seen_alive_.size() < kMostGiven) seen_alive_.insert(incarnation);
    } else if (part != Part::kDiscovery || !seen_alive_.contains(incarnation)) {
      return;
    }
    const std::pair now(s.st_ino, changed_at(s));
    const auto given = given_.find(file);
    if (given != given_.end() && given->second == now) return;
    auto bytes = bytes_of(file, most);
    if (!bytes || bytes->size() > most) return;
    if (given_.size() >= kMostGiven) given_.clear();
    given_[file] = now;
    left.push_back(std::move(*bytes));
  });
  return left;
}

}  // namespace anisewick::handover
