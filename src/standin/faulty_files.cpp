#include "standin/faulty_files.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace anisewick::standin {
namespace {

constexpr std::size_t kSector = 512;

void lay(std::string& bytes, const MemoryDisk::Node::Write& w) {
  if (w.bytes.empty()) {
    bytes.resize(w.at);
    return;
  }
  if (bytes.size() < w.at + w.bytes.size()) bytes.resize(w.at + w.bytes.size());
  std::memcpy(bytes.data() + w.at, w.bytes.data(), w.bytes.size());
}

class MemoryFile final : public disk::File {
 public:
  MemoryFile(MemoryDisk& disk, std::shared_ptr<MemoryDisk::Node> node)
      : disk_(disk), node_(std::move(node)) {}
  std::int64_t read(std::uint64_t at, char* to, std::size_t n) override {
    const std::lock_guard hold(disk_.mutex);
    if (at >= node_->now.size()) return 0;
    n = std::min(n, node_->now.size() - at);
    std::memcpy(to, node_->now.data() + at, n);
    return static_cast<std::int64_t>(n);
  }
  std::int64_t write(std::uint64_t at, const char* from, std::size_t n) override {
    const std::lock_guard hold(disk_.mutex);
    node_->since.push_back({at, std::string(from, n)});
    lay(node_->now, node_->since.back());
    return static_cast<std::int64_t>(n);
  }
  int sync() override {
    const std::lock_guard hold(disk_.mutex);
    node_->synced = node_->now;
    node_->since.clear();
    return 0;
  }
  int truncate(std::uint64_t size) override {
    const std::lock_guard hold(disk_.mutex);
    node_->since.push_back({size, {}});
    lay(node_->now, node_->since.back());
    return 0;
  }
  std::int64_t size() override {
    const std::lock_guard hold(disk_.mutex);
    return static_cast<std::int64_t>(node_->now.size());
  }

 private:
  MemoryDisk& disk_;
  std::shared_ptr<MemoryDisk::Node> node_;
};

class MemoryFiles final : public disk::Files {
 public:
  explicit MemoryFiles(MemoryDisk& disk) : disk_(disk), life_(disk.life) {}
  ~MemoryFiles() override {
    const std::lock_guard hold(disk_.mutex);
    if (mine_ && disk_.life == life_) disk_.locked = false;
  }
  int open(const std::string& name, Mode mode, std::shared_ptr<disk::File>& out) override {
    const std::lock_guard hold(disk_.mutex);
    if (disk_.life != life_) return -EIO;
    auto it = disk_.now.find(name);
    if (mode == Mode::kCreate) {
      if (it != disk_.now.end()) return -EEXIST;
      it = disk_.now.emplace(name, std::make_shared<MemoryDisk::Node>()).first;
      disk_.changes.push_back({MemoryDisk::Change::Kind::kMake, name, {}, it->second});
    }
    if (it == disk_.now.end()) return -ENOENT;
    out = std::make_shared<MemoryFile>(disk_, it->second);
    return 0;
  }
  int remove(const std::string& name) override {
    const std::lock_guard hold(disk_.mutex);
    if (disk_.now.erase(name) == 0) return -ENOENT;
    disk_.changes.push_back({MemoryDisk::Change::Kind::kRemove, name, {}, nullptr});
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    const std::lock_guard hold(disk_.mutex);
    const auto it = disk_.now.find(from);
    if (it == disk_.now.end()) return -ENOENT;
    const auto node = it->second;
    disk_.now.erase(it);
    disk_.now[to] = node;
    disk_.changes.push_back({MemoryDisk::Change::Kind::kRename, from, to, node});
    return 0;
  }
  int list(std::vector<std::string>& names) override {
    const std::lock_guard hold(disk_.mutex);
    for (const auto& [name, node] : disk_.now) names.push_back(name);
    return 0;
  }
  int sync() override {
    const std::lock_guard hold(disk_.mutex);
    disk_.synced = disk_.now;
    disk_.changes.clear();
    return 0;
  }
  int lock(const std::string&) override {
    const std::lock_guard hold(disk_.mutex);
    if (disk_.locked) return -EWOULDBLOCK;
    disk_.locked = mine_ = true;
    return 0;
  }

 private:
  MemoryDisk& disk_;
  std::uint64_t life_;
  bool mine_ = false;
};

class FaultyFile final : public disk::File {
 public:
  FaultyFile(std::shared_ptr<disk::File> below, std::shared_ptr<Faults> faults)
      : below_(std::move(below)), faults_(std::move(faults)) {}
  std::int64_t read(std::uint64_t at, char* to, std::size_t n) override {
    faults_->wait();
    if (faults_->read_error != 0) return faults_->read_error;
    return below_->read(at, to, faults_->short_calls ? (n + 1) / 2 : n);
  }
  std::int64_t write(std::uint64_t at, const char* from, std::size_t n) override {
    faults_->wait();
    if (faults_->write_error != 0) return faults_->write_error;
    if (faults_->short_calls) n = (n + 1) / 2;
    if (const std::int64_t space = faults_->space; space >= 0) {
      // As a full disk does it: as much as there is room for, and then the error.
      if (space == 0) return -ENOSPC;
      n = std::min(n, static_cast<std::size_t>(space));
      faults_->space -= static_cast<std::int64_t>(n);
    }
    return below_->write(at, from, n);
  }
  int sync() override {
    faults_->wait();
    return faults_->sync_error != 0 ? faults_->sync_error.load() : below_->sync();
  }
  int truncate(std::uint64_t size) override {
    faults_->wait();
    return below_->truncate(size);
  }
  std::int64_t size() override { return below_->size(); }

 private:
  std::shared_ptr<disk::File> below_;
  std::shared_ptr<Faults> faults_;
};

class FaultyFiles final : public disk::Files {
 public:
  FaultyFiles(std::unique_ptr<disk::Files> below, std::shared_ptr<Faults> faults)
      : below_(std::move(below)), faults_(std::move(faults)) {}
  int open(const std::string& name, Mode mode, std::shared_ptr<disk::File>& out) override {
    faults_->wait();
    if (faults_->open_error != 0 && mode != Mode::kRead) return faults_->open_error;
    const int error = below_->open(name, mode, out);
    if (error == 0) out = std::make_shared<FaultyFile>(std::move(out), faults_);
    return error;
  }
  int remove(const std::string& name) override {
    faults_->wait();
    return below_->remove(name);
  }
  int rename(const std::string& from, const std::string& to) override {
    faults_->wait();
    return faults_->write_error != 0 ? faults_->write_error.load() : below_->rename(from, to);
  }
  int list(std::vector<std::string>& names) override { return below_->list(names); }
  int sync() override {
    faults_->wait();
    return faults_->sync_error != 0 ? faults_->sync_error.load() : below_->sync();
  }
  int lock(const std::string& name) override {
    return faults_->lock_error != 0 ? faults_->lock_error.load() : below_->lock(name);
  }

 private:
  std::unique_ptr<disk::Files> below_;
  std::shared_ptr<Faults> faults_;
};

}  // namespace

void MemoryDisk::cut_power(std::uint64_t seed) {
  const std::lock_guard hold(mutex);
  std::mt19937_64 random(seed);
  ++life;
  locked = false;
  // The folder: a journal keeps the order of its changes, and ends somewhere.
  auto after = synced;
  const std::size_t kept = changes.empty() ? 0 : random() % (changes.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) {
    const Change& c = changes[i];
    switch (c.kind) {
      case Change::Kind::kMake:
        after[c.name] = c.node;
        break;
      case Change::Kind::kRemove:
        after.erase(c.name);
        break;
      case Change::Kind::kRename:
        after.erase(c.name);
        after[c.to] = c.node;
    }
  }
  changes.clear();
  // The files: any of the pieces, in any order, since the last sync.
  for (auto& [name, node] : after) {
    std::string bytes = node->synced;
    std::vector<Node::Write> pieces;
    for (const Node::Write& w : node->since) {
      if (w.bytes.empty()) {
        pieces.push_back(w);
        continue;
      }
      for (std::size_t from = 0; from < w.bytes.size();) {
        const std::size_t to =
            std::min<std::size_t>(w.bytes.size(), (w.at + from) / kSector * kSector + kSector - w.at);
        pieces.push_back({w.at + from, w.bytes.substr(from, to - from)});
        from = to;
      }
    }
    // Some cuts lose nearly all, some nearly nothing.
    const std::uint64_t part = random() % 101;
    std::vector<Node::Write> there;
    for (Node::Write& w : pieces) {
      if (random() % 100 < part) there.push_back(std::move(w));
    }
    for (const Node::Write& w : there) lay(bytes, w);
    auto fresh = std::make_shared<Node>();
    fresh->now = fresh->synced = std::move(bytes);
    node = std::move(fresh);
  }
  now = synced = std::move(after);
}

std::unique_ptr<disk::Files> MemoryDisk::folder() {
  const std::lock_guard hold(mutex);
  locked = false;
  return std::make_unique<MemoryFiles>(*this);
}

std::string MemoryDisk::contents(const std::string& name) {
  const std::lock_guard hold(mutex);
  const auto it = now.find(name);
  return it == now.end() ? std::string() : it->second->now;
}
void MemoryDisk::overwrite(const std::string& name, std::uint64_t at, const std::string& bytes) {
  const std::lock_guard hold(mutex);
  Node& node = *now.at(name);
  lay(node.now, {at, bytes});
  node.synced = node.now;
  node.since.clear();
}
void MemoryDisk::remove(const std::string& name) {
  const std::lock_guard hold(mutex);
  now.erase(name);
  synced.erase(name);
}
void MemoryDisk::put(const std::string& name, const std::string& bytes) {
  const std::lock_guard hold(mutex);
  auto node = std::make_shared<Node>();
  node->now = node->synced = bytes;
  now[name] = synced[name] = node;
}
std::vector<std::string> MemoryDisk::names() {
  const std::lock_guard hold(mutex);
  std::vector<std::string> out;
  for (const auto& [name, node] : now) out.push_back(name);
  return out;
}

void Faults::stall() {
  const std::lock_guard hold(mutex_);
  stalled_ = true;
}
void Faults::go_on() {
  {
    const std::lock_guard hold(mutex_);
    stalled_ = false;
  }
  over_.notify_all();
}
void Faults::wait() {
  std::unique_lock hold(mutex_);
  over_.wait(hold, [this] { return !stalled_; });
}

std::unique_ptr<disk::Files> faulty_files(std::unique_ptr<disk::Files> below,
                                          std::shared_ptr<Faults> faults) {
  return std::make_unique<FaultyFiles>(std::move(below), std::move(faults));
}

}  // namespace anisewick::standin
