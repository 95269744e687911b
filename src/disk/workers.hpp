// Where the blocking calls of a store run. The store itself is of one thread, the loop's.
#ifndef ANISEWICK_DISK_WORKERS_HPP_
#define ANISEWICK_DISK_WORKERS_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace anisewick::disk {

// kWrite and kLedger run one job at a time, in order; kRead several.
enum class Lane { kRead, kWrite, kLedger };

class Workers {
 public:
  virtual ~Workers() = default;
  // Runs `work` away from the loop, and then `done` on it. False: the lane's queue is full, and neither runs.
  // `must`: taken beyond the bound too, for the few jobs without which a file would be left half-way.
  virtual bool submit(Lane lane, std::function<void()> work, std::function<void()> done,
                      bool must = false) = 0;
};

// Runs everything at once, in the caller: for tests, tools and measurements of decisions.
class InlineWorkers final : public Workers {
 public:
  bool submit(Lane, std::function<void()> work, std::function<void()> done, bool) override {
    work();
    done();
    return true;
  }
};

// Threads. `post` hands a function to the loop from any thread. The destructor waits for the jobs under way
// and drops the rest, whose `done` is never called.
class Pool final : public Workers {
 public:
  struct Limits {
    int readers = 4;
    std::size_t queue = 256;  // jobs waiting in a lane
  };
  Pool(const Limits& limits, std::function<void(std::function<void()>)> post);
  ~Pool() override;
  bool submit(Lane lane, std::function<void()> work, std::function<void()> done, bool must = false) override;

 private:
  struct Queue;
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_WORKERS_HPP_
