#include "fleet/store/store.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "handover/sealed.hpp"

namespace anisewick::store {
namespace {

using disk::Files;

constexpr const char* kWhat = "anisewick-fleet-state";
constexpr int kVersion = 1;
constexpr const char *kName = "member.state", *kNew = "member.new", *kLock = "member.lock";
constexpr std::int64_t kMostBytes = 4 << 20;
constexpr int kMostAside = 1000;

}  // namespace

Store::Store(std::unique_ptr<Files> files, const std::string& fleet, const std::string& member)
    : files_(std::move(files)), who_(fleet + "/" + member) {}

int Store::lock() { return files_->lock(kLock); }

int Store::set_aside() {
  std::vector<std::string> names;
  if (const int error = files_->list(names); error != 0) return error;
  for (int n = 1; n <= kMostAside; ++n) {
    const std::string to = std::string(kName) + ".set-aside-" + std::to_string(n);
    if (std::find(names.begin(), names.end(), to) != names.end()) continue;
    const int error = files_->rename(kName, to);
    return error != 0 ? error : files_->sync();
  }
  return -EEXIST;
}

std::optional<talk::Saved> Store::load(std::string& why, int& error) {
  why.clear();
  std::shared_ptr<disk::File> file;
  error = files_->open(kName, Files::Mode::kRead, file);
  if (error == -ENOENT) {
    error = 0;
    return std::nullopt;
  }
  if (error != 0) return std::nullopt;
  const std::int64_t size = file->size();
  if (size < 0) {
    error = static_cast<int>(size);
    return std::nullopt;
  }
  std::string bytes(static_cast<std::size_t>(std::min(size, kMostBytes)), '\0');
  error = disk::read_all(*file, 0, bytes.data(), bytes.size());
  if (error != 0) return std::nullopt;
  const auto body = handover::opened(bytes, kWhat, kVersion, who_, why);
  if (body) {
    if (auto saved = talk::saved_from(*body); saved && saved->voter.seat != 0) return saved;
    why = "it has a part that cannot be read";
  }
  if (why == "it is another doorman's") why = "it is another fleet's or member's";
  error = set_aside();
  return std::nullopt;
}

int Store::write(const talk::Saved& saved) {
  const std::string bytes = handover::sealed(kWhat, kVersion, who_, talk::bytes_of(saved));
  files_->remove(kNew);  // left by one that was killed
  std::shared_ptr<disk::File> file;
  int error = files_->open(kNew, Files::Mode::kCreate, file);
  if (error == 0) error = disk::write_all(*file, 0, bytes.data(), bytes.size());
  if (error == 0) error = file->sync();
  if (error == 0) error = files_->rename(kNew, kName);
  return error == 0 ? files_->sync() : error;
}

}  // namespace anisewick::store
