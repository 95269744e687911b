// The file layer under the disk tier: all I/O of a store goes through these two classes, so that tests can
// lose, reorder, refuse and delay it. Calls block and come from worker threads; one File may be read by
// several at once. Errors are negative errno values.
#ifndef ANISEWICK_DISK_FILES_HPP_
#define ANISEWICK_DISK_FILES_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace anisewick::disk {

class File {
 public:
  virtual ~File() = default;
  // Bytes read, fewer than asked at the end of the file or by a short read; 0 at the end.
  virtual std::int64_t read(std::uint64_t at, char* to, std::size_t n) = 0;
  // Bytes written, possibly fewer than asked.
  virtual std::int64_t write(std::uint64_t at, const char* from, std::size_t n) = 0;
  virtual int sync() = 0;
  virtual int truncate(std::uint64_t size) = 0;
  virtual std::int64_t size() = 0;
};

// One folder, and nothing below it.
class Files {
 public:
  enum class Mode { kRead, kWrite, kCreate };  // kCreate: new and empty; -EEXIST if it is there
  virtual ~Files() = default;
  virtual int open(const std::string& name, Mode mode, std::shared_ptr<File>& out) = 0;
  virtual int remove(const std::string& name) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int list(std::vector<std::string>& names) = 0;
  virtual int sync() = 0;  // of the folder: names made, removed and changed before
  // Held until this object ends. -EWOULDBLOCK: another process (or store) has it.
  virtual int lock(const std::string& name) = 0;
};

// Reads or writes all of it; 0 or a negative errno. -ENODATA: the file ends before.
int read_all(File& file, std::uint64_t at, char* to, std::size_t n);
int write_all(File& file, std::uint64_t at, const char* from, std::size_t n);

// A folder of the machine's. `error`: 0 or a negative errno (missing, not a folder, no right to it).
std::unique_ptr<Files> posix_files(const std::string& folder, int& error);

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_FILES_HPP_
