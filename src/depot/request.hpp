// The depot's side of the depots' protocol: bytes as requests, answers as bytes. No I/O.
// Source: the platform's protocol page, "Doormans to depots".
#ifndef ANISEWICK_DEPOT_REQUEST_HPP_
#define ANISEWICK_DEPOT_REQUEST_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "depot/depot.hpp"

namespace anisewick::depot {

constexpr int kUnknownGroup = 0xffff;  // of an object whose group nobody has told
constexpr std::size_t kMostId = 64;    // bytes of a request's id or a probe's tag
constexpr std::size_t kMostTag = 32;   // bytes of a copy's tag that can be kept

struct Request {
  enum class Verb { kFetch, kAbort, kAlive, kStats };
  Verb verb = Verb::kFetch;
  std::string id;
  // Empty: the fields of a fetch can be used. Else what is wrong; the answer is BROKE and nothing runs.
  std::string fault;
  // Of a fetch. Class, object and part are also kept as they were written, for they pass on unchanged.
  std::string profile, thing, nth;
  std::uint64_t object = 0;
  std::uint32_t part = 0;
  std::int64_t max_ms = 0;     // 0: not told
  std::optional<Id> from;      // absent: no fill
  int rank = 0;                // 0 to 3
  std::int64_t oldest_ms = 0;  // 0: the class's fresh time
  bool collapse = false, only_if_cached = false, no_store_up = false, refresh = false;
  int group = kUnknownGroup;  // `batch`, our own: where the asker may tell it
  std::string seen;           // the bare tag of the client's copy, or empty
  std::string body;
};

// The requests of one connection, split anywhere. Holds at most one line or one body of `kMostBody` bytes.
class RequestReader {
 public:
  // False: the peer does not speak the protocol. What was read before is in `out` and stands.
  bool feed(std::string_view bytes, std::vector<Request>& out);
  bool midway() const { return in_body_ || !line_.empty(); }

 private:
  bool line(std::string_view text, std::vector<Request>& out);

  std::string line_;
  bool in_body_ = false;
  std::size_t left_ = 0;  // of the body and its CR LF
  std::size_t size_ = 0;
  Request request_;
};

// What an answer tells beside its word. A field that is empty or 0 is left out.
struct Told {
  std::string_view tag;
  std::int64_t born_ms = 0;
  int remark = 0;  // 1 to 10
  double waited_ms = 0.0;
  int group = kUnknownGroup;
  std::string_view report;
};
// The line before the body, and after the body comes CR LF.
std::string answer_head(std::string_view id, Word word, const Told& told, std::size_t body);
// A whole answer without a body.
std::string answer_bytes(std::string_view id, Word word, const Told& told = {});
// The line of a probe's answer; its end, CR LF, comes after it as after a body.
std::string probe_head(std::string_view tag, bool fit, std::string_view report);

}  // namespace anisewick::depot

#endif  // ANISEWICK_DEPOT_REQUEST_HPP_
