// A client's request and its answer, whatever protocol they came and go by.
#ifndef ANISEWICK_NET_CALL_HPP_
#define ANISEWICK_NET_CALL_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anisewick::net {

// Numbers a request that the front has taken; never used again.
using Ticket = std::uint64_t;

struct Call {
  // Passed on as the bytes that came.
  std::string id, profile, thing, nth, tag, body;
  // What the decisions need.
  std::uint64_t object = 0;
  int part = 0;
  int group = 0;
  double size_kb = 0.0;
  std::int64_t patience = 0;  // nanoseconds from `taken`
  std::int64_t taken = 0;     // by steady_unix_now
};

struct Answer {
  enum class Kind { kServed, kSame, kRefused, kFailed };
  Kind kind = Kind::kFailed;
  int status = 502;            // of a failure
  std::int64_t come_back = 0;  // of a refusal: nanoseconds to stay away
  std::string_view reason;     // of a refusal or a failure, in a word, for the log
  std::string body;

  static Answer refused() {
    Answer answer;
    answer.kind = Kind::kRefused;
    return answer;
  }
};

// What a front needs of the one who answers.
class Calls {
 public:
  virtual ~Calls() = default;
  virtual void taken(Ticket ticket, Call&& call) = 0;
  virtual void left(Ticket ticket) = 0;  // the client waits no longer: no answer is owed
  // So long, in nanoseconds, the loop may have been held up until now: what is read may have waited as long.
  virtual std::int64_t held_up() const = 0;
  // Bytes of answers that have come from servers in part.
  virtual std::size_t arriving_bytes() const = 0;
};

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_CALL_HPP_
