// Bytes that wait to be written to one connection, in order. What is written is given back to the allocator
// at once: nothing of the size of past answers stays with a connection.
#ifndef ANISEWICK_NET_OUTPUT_QUEUE_HPP_
#define ANISEWICK_NET_OUTPUT_QUEUE_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace anisewick::net {

// Owned by a connection, used on its thread. A buffer of `front` is valid until it is consumed.
class OutputQueue {
 public:
  void append(std::string bytes) {
    if (bytes.empty()) return;
    size_ += bytes.size();
    // Small answers go out together, but never into the buffer that is being written.
    if (chunks_.size() > 1 && chunks_.back().size() + bytes.size() <= kJoinBytes) {
      chunks_.back().append(bytes);
    } else {
      chunks_.push_back(std::move(bytes));
    }
  }
  // What is to be written next; empty: nothing waits.
  std::string_view front() const {
    return chunks_.empty() ? std::string_view() : std::string_view(chunks_.front()).substr(written_);
  }
  // So many bytes of `front` are written.
  void consume(std::size_t bytes) {
    size_ -= bytes;
    written_ += bytes;
    if (chunks_.empty() || written_ < chunks_.front().size()) return;
    chunks_.pop_front();
    written_ = 0;
  }
  std::size_t size() const { return size_; }  // bytes

 private:
  static constexpr std::size_t kJoinBytes = 16u << 10;

  std::deque<std::string> chunks_;
  std::size_t written_ = 0;  // of the first
  std::size_t size_ = 0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_OUTPUT_QUEUE_HPP_
