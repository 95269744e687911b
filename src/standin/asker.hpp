// Who asks a depot, as a doorman does: a plain connection that blocks, for tests and measurements.
#ifndef ANISEWICK_STANDIN_ASKER_HPP_
#define ANISEWICK_STANDIN_ASKER_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "depot/depot.hpp"

namespace anisewick::standin {

class Asker {
 public:
  // Throws where nobody listens.
  explicit Asker(std::uint16_t port);
  Asker(Asker&& other) noexcept;
  ~Asker();

  struct Want {
    std::uint64_t object = 0;
    std::uint32_t part = 0;
    std::string cls = "guide-video";
    std::optional<depot::Id> from;
    int rank = 0;
    std::int64_t max_ms = 10'000, oldest_ms = 0;
    bool collapse = false, only_if_cached = false, no_store_up = false, refresh = false;
    std::string seen, body;
    int group = 0xffff;
  };
  // Sends it and gives its id.
  std::string send(const Want& want);
  void write(std::string_view bytes);
  // The next answer, or nothing: the connection ended, or nothing came within the time. Throws where the
  // bytes are no answer.
  std::optional<depot::Answer> next(int limit_ms = 20'000);
  // Asks, and waits for the answer to it; throws if there is none.
  depot::Answer ask(const Want& want);
  // The connection ends without a further answer.
  bool ends(int limit_ms = 20'000);
  void close();

 private:
  int fd_ = -1;
  bool ended_ = false;
  depot::AnswerReader reader_;
  std::deque<depot::Answer> answers_;
};

}  // namespace anisewick::standin

#endif  // ANISEWICK_STANDIN_ASKER_HPP_
