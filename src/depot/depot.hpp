// The lines spoken with a depot: requests as bytes, bytes as answers. No I/O.
#ifndef ANISEWICK_DEPOT_HPP_
#define ANISEWICK_DEPOT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anisewick::depot {

// A depot's id is a number on the event bus and "s-" with 8 hex digits in text.
using Id = std::uint32_t;
std::string text_of(Id id);
std::optional<Id> id_from(std::string_view text);

struct Fetch {
  std::string_view id, profile, thing, nth;  // as the client wrote them
  std::string_view seen;                     // the tag of the client's copy, or empty
  std::string_view body;
  std::optional<Id> from;  // absent: no fill
  int rank = 0;
  std::int64_t oldest_ms = 0;  // 0: the class's fresh time
  std::int64_t max_ms = 0;
  bool collapse = false;
  bool only_if_cached = false;
  bool no_store_up = false;
  bool refresh = false;
  int group = 0xffff;  // `batch`, our own, for other boxes of ours; 0xffff: not told
};
std::string fetch_bytes(const Fetch& fetch);
std::string abort_bytes(std::string_view id);

enum class Word { kDone, kKeep, kLack, kWait, kBroke, kPast };
struct Answer {
  std::string id;
  Word word = Word::kDone;
  int remark = 0;  // 1 to 10 in the order of the protocol's list; 0: none
  double waited_ms = 0.0;
  std::string tag;           // `ver`; empty: none was told
  std::int64_t born_ms = 0;  // Unix time at which the origin gave this copy out; 0: not told
  int group = 0xffff;        // `batch`, our own; 0xffff: not told
  std::string body;
};

// The answers of one connection, split anywhere.
class AnswerReader {
 public:
  // False: the peer does not speak the protocol, and the connection is of no more use.
  bool feed(std::string_view bytes, std::vector<Answer>& out);
  // An answer has begun and its end has not come.
  bool midway() const { return in_body_ || !line_.empty(); }
  // Bytes kept of it.
  std::size_t held() const { return line_.size() + answer_.body.size(); }

 private:
  bool line(std::string_view text);

  std::string line_;
  bool in_body_ = false;
  std::size_t left_ = 0;  // of the body and its CR LF
  std::size_t size_ = 0;
  Answer answer_;
};

}  // namespace anisewick::depot

#endif  // ANISEWICK_DEPOT_HPP_
