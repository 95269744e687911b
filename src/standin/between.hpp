// A relay in user space between the UDP addresses of several processes on loopback, with faults: loss, delay,
// duplicates, reordering, cuts one way or both, links that heal half. Each process is told the relay's
// address for every other one. Its thread runs until the relay ends; all calls may come from any thread.
#ifndef ANISEWICK_STANDIN_BETWEEN_HPP_
#define ANISEWICK_STANDIN_BETWEEN_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace anisewick::standin {

class Between {
 public:
  Between(std::size_t members, std::uint64_t seed);
  ~Between();
  // Where the others reach the i-th member, and where it takes its datagrams itself (free a moment ago).
  std::uint16_t address(std::size_t i) const;
  std::uint16_t own(std::size_t i) const;

  // Of all datagrams from now on: the share that is lost, and that comes twice; delay up to so long, by lot,
  // which also changes their order.
  void lose(double share);
  void twice(double share);
  void delay(int most_ms);
  void cut(std::size_t from, std::size_t to, bool on = true);
  // Between this side and the rest; `one_way`: only what leaves it is lost.
  void split(const std::set<std::size_t>& side, bool one_way = false);
  void heal();
  // A script: after so many milliseconds this is done, on the relay's thread.
  void at(int ms, std::function<void()> what);
  // Once more what came from there last, a few datagrams, to another member or the same.
  void replay(std::size_t from, std::size_t to);
  // What goes from there to there is kept back, up to a hundred datagrams, and goes on when it is let go.
  void hold(std::size_t from, std::size_t to);
  void let_go();
  // Bytes of nobody's making, as if they came from member 0, or 1.
  void noise(std::size_t to, const std::vector<char>& bytes);

  struct Counts {
    std::uint64_t passed = 0, lost = 0, twice = 0, cut = 0;
  };
  Counts counts() const;
  std::uint64_t passed_from(std::size_t i) const;
  std::uint64_t passed_to(std::size_t i) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_BETWEEN_HPP_
