// What the process holds for its clients, in bytes of memory: one account for all connections. Room is
// reserved before it is used, and every charge gives itself back. Source: the platform's limit on memory is
// one of the whole process.
#ifndef ANISEWICK_NET_MEMORY_ACCOUNT_HPP_
#define ANISEWICK_NET_MEMORY_ACCOUNT_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace anisewick::net {

// Outlives its charges; used on one thread.
class MemoryAccount {
 public:
  enum class Place : std::uint8_t {
    kIncoming,  // requests that have come in part
    kRequests,  // requests that are open
    kReserved,  // room for their answers
    kOutgoing,  // answers that are not written
    kCount
  };
  static constexpr std::array<std::string_view, static_cast<std::size_t>(Place::kCount)> kWords{
      "incoming", "requests", "reserved", "outgoing"};

  // A part of what is held, of one owner and place; given back with its end.
  class Charge {
   public:
    Charge(MemoryAccount& account, Place place, std::size_t bytes = 0) : account_(&account), place_(place) {
      set(bytes);
    }
    Charge(Charge&& other) noexcept
        : account_(other.account_), place_(other.place_), bytes_(std::exchange(other.bytes_, 0)) {}
    Charge(const Charge&) = delete;
    Charge& operator=(Charge&&) = delete;
    ~Charge() { set(0); }

    // So many bytes from now on, whether there is room or not.
    void set(std::size_t bytes) {
      account_->settle(place_, bytes_, bytes);
      bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

   private:
    MemoryAccount* account_;
    Place place_;
    std::size_t bytes_ = 0;
  };

  void limit(std::size_t bytes) { limit_ = bytes; }
  std::size_t limit() const { return limit_; }
  std::size_t held(Place place) const { return held_[static_cast<std::size_t>(place)]; }
  std::size_t held() const { return all_; }
  std::size_t most() const { return most_; }  // that was ever held

 private:
  void settle(Place place, std::size_t before, std::size_t now) {
    std::size_t& held = held_[static_cast<std::size_t>(place)];
    held = held - before + now;
    all_ = all_ - before + now;
    most_ = all_ > most_ ? all_ : most_;
  }

  std::array<std::size_t, static_cast<std::size_t>(Place::kCount)> held_{};
  std::size_t all_ = 0, most_ = 0, limit_ = 0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_MEMORY_ACCOUNT_HPP_
