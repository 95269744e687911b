#include "disk/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

namespace anisewick::disk {
namespace {

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

template <typename Call>
auto again(Call call) {
  for (;;) {
    const auto n = call();
    if (n >= 0) return n;
    if (errno != EINTR) return static_cast<decltype(n)>(-errno);
  }
}

class PosixFile final : public File {
 public:
  explicit PosixFile(Fd fd) : fd_(std::move(fd)) {}
  std::int64_t read(std::uint64_t at, char* to, std::size_t n) override {
    return again([&] { return ::pread(fd_.get(), to, n, static_cast<off_t>(at)); });
  }
  std::int64_t write(std::uint64_t at, const char* from, std::size_t n) override {
    return again([&] { return ::pwrite(fd_.get(), from, n, static_cast<off_t>(at)); });
  }
  int sync() override {
    return again([&] { return ::fdatasync(fd_.get()); });
  }
  int truncate(std::uint64_t size) override {
    return again([&] { return ::ftruncate(fd_.get(), static_cast<off_t>(size)); });
  }
  std::int64_t size() override {
    struct stat s {};
    return ::fstat(fd_.get(), &s) == 0 ? s.st_size : -errno;
  }

 private:
  Fd fd_;
};

class PosixFiles final : public Files {
 public:
  explicit PosixFiles(Fd folder) : folder_(std::move(folder)) {}
  int open(const std::string& name, Mode mode, std::shared_ptr<File>& out) override {
    int flags = O_CLOEXEC | (mode == Mode::kRead ? O_RDONLY : O_RDWR);
    if (mode == Mode::kCreate) flags |= O_CREAT | O_EXCL;
    Fd fd(again([&] { return ::openat(folder_.get(), name.c_str(), flags, 0600); }));
    if (fd.get() < 0) return fd.get();
    out = std::make_shared<PosixFile>(std::move(fd));
    return 0;
  }
  int remove(const std::string& name) override {
    return ::unlinkat(folder_.get(), name.c_str(), 0) == 0 ? 0 : -errno;
  }
  int rename(const std::string& from, const std::string& to) override {
    return ::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) == 0 ? 0 : -errno;
  }
  int list(std::vector<std::string>& names) override {
    const int copy = ::openat(folder_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* dir = copy < 0 ? nullptr : ::fdopendir(copy);
    if (dir == nullptr) {
      const int error = -errno;
      if (copy >= 0) ::close(copy);
      return error;
    }
    while (const dirent* entry = ::readdir(dir)) {
      if (entry->d_type == DT_REG || entry->d_type == DT_UNKNOWN) names.emplace_back(entry->d_name);
    }
    ::closedir(dir);
    return 0;
  }
  int sync() override {
    return again([&] { return ::fsync(folder_.get()); });
  }
  int lock(const std::string& name) override {
    Fd fd(again([&] { return ::openat(folder_.get(), name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600); }));
    if (fd.get() < 0) return fd.get();
    if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) return -errno;
    lock_ = std::move(fd);
    return 0;
  }

 private:
  Fd folder_, lock_;
};

}  // namespace

int read_all(File& file, std::uint64_t at, char* to, std::size_t n) {
  for (std::size_t got = 0; got < n;) {
    const std::int64_t m = file.read(at + got, to + got, n - got);
    if (m <= 0) return m < 0 ? static_cast<int>(m) : -ENODATA;
    got += static_cast<std::size_t>(m);
  }
  return 0;
}

int write_all(File& file, std::uint64_t at, const char* from, std::size_t n) {
  for (std::size_t put = 0; put < n;) {
    const std::int64_t m = file.write(at + put, from + put, n - put);
    if (m <= 0) return m < 0 ? static_cast<int>(m) : -EIO;
    put += static_cast<std::size_t>(m);
  }
  return 0;
}

std::unique_ptr<Files> posix_files(const std::string& folder, int& error) {
  Fd fd(again([&] { return ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC); }));
  error = fd.get() < 0 ? fd.get() : 0;
  if (error != 0) return nullptr;
  return std::make_unique<PosixFiles>(std::move(fd));
}

}  // namespace anisewick::disk
