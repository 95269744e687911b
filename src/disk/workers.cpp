#include "disk/workers.hpp"

#include <concurrentqueue/blockingconcurrentqueue.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

namespace anisewick::disk {
namespace {

struct Job {
  std::function<void()> work, done;  // no work: the thread ends
};

}  // namespace

struct Pool::Queue {
  // One producer, the loop, so that the jobs of a lane with one thread come out in their order.
  moodycamel::BlockingConcurrentQueue<Job> jobs;
  std::atomic<std::size_t> waiting{0};
};

struct Pool::Impl : std::enable_shared_from_this<Pool::Impl> {
  Limits limits;
  std::function<void(std::function<void()>)> post;
  std::array<Queue, 3> lanes;
  std::atomic<bool> ending{false};
  // What has ended, for the loop. Held by the loop's call too, which may come after the pool has gone.
  moodycamel::ConcurrentQueue<std::function<void()>> ended;
  std::atomic<bool> told{false};
  std::vector<std::thread> threads;

  void run(Queue& queue) {
    Job job;
    for (;;) {
      queue.jobs.wait_dequeue(job);
      queue.waiting.fetch_sub(1, std::memory_order_relaxed);
      if (!job.work || ending.load(std::memory_order_relaxed)) return;
      job.work();
      job.work = nullptr;
      ended.enqueue(std::move(job.done));
      // One call to the loop takes all that has ended by then.
      if (!told.exchange(true)) post([self = shared_from_this()] { self->take(); });
    }
  }
  // On the loop.
  void take() {
    told.store(false);  // before looking: who ends after that tells again
    std::function<void()> done;
    while (!ending.load() && ended.try_dequeue(done)) {
      if (done) done();
      done = nullptr;
    }
  }
};

Pool::Pool(const Limits& limits, std::function<void(std::function<void()>)> post)
    : impl_(std::make_shared<Impl>()) {
  impl_->limits = limits;
  impl_->post = std::move(post);
  const std::array<int, 3> threads{limits.readers, 1, 1};
  for (std::size_t lane = 0; lane < threads.size(); ++lane) {
    for (int i = 0; i < threads[lane]; ++i) {
      impl_->threads.emplace_back([this, lane] { impl_->run(impl_->lanes[lane]); });
    }
  }
}

Pool::~Pool() {
  impl_->ending.store(true);
  for (Queue& queue : impl_->lanes) {
    for (int i = 0; i < std::max(1, impl_->limits.readers); ++i) {
      queue.waiting.fetch_add(1, std::memory_order_relaxed);
      queue.jobs.enqueue(Job{});
    }
  }
  for (std::thread& thread : impl_->threads) thread.join();
}

bool Pool::submit(Lane lane, std::function<void()> work, std::function<void()> done, bool must) {
  Queue& queue = impl_->lanes[static_cast<std::size_t>(lane)];
  if (!must && queue.waiting.load(std::memory_order_relaxed) >= impl_->limits.queue) return false;
  queue.waiting.fetch_add(1, std::memory_order_relaxed);
  queue.jobs.enqueue({std::move(work), std::move(done)});
  return true;
}

}  // namespace anisewick::disk
