// FastCGI 1.0 as a Responder meets it: bytes in, requests and replies out. No I/O.
#ifndef ANISEWICK_FASTCGI_HPP_
#define ANISEWICK_FASTCGI_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anisewick::fastcgi {

enum class Type : std::uint8_t {
  kBegin = 1,
  kAbort = 2,
  kEnd = 3,
  kParams = 4,
  kStdin = 5,
  kStdout = 6,
  kGetValues = 9,
  kGetValuesResult = 10,
  kUnknownType = 11
};
enum class EndStatus : std::uint8_t { kComplete = 0, kOverloaded = 2, kUnknownRole = 3 };

using Params = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::uint16_t id = 0;
  bool keep_connection = false;
  bool too_large = false;  // parameters or body passed the limits: told at once, and not all here
  Params params;
  std::string body;
};

struct Limits {
  std::size_t connections = 1;  // told to those who ask
  std::size_t open = 32;        // requests on one connection
  std::size_t params = 16 * 1024;
  std::size_t body = 48'000;  // what a write carries at most
};

struct Event {
  enum class Kind { kRequest, kAborted };
  Kind kind = Kind::kRequest;
  Request request;  // of an aborted one only the id
};

// One connection's records, split anywhere, requests interleaved. Nothing is decoded ahead of what the caller
// has carried out: an event, and what is written by it, may change what the records behind it mean.
class Session {
 public:
  enum class Next {
    kEvent,      // one was decoded; the caller carries it out before it asks for the next
    kNeedsMore,  // the rest has not come
    kMalformed   // the peer does not speak FastCGI, and nothing more can be understood of this connection
  };

  explicit Session(Limits limits = {}) : limits_(limits) {}

  // Takes what came.
  void add(std::string_view bytes);
  // Decodes up to the next event. Appends to `replies` what must be said at once, before the event.
  Next next(Event& event, std::string& replies);
  // Among what has come behind the last event is the cancel of this request.
  bool cancel_has_come(std::uint16_t id);
  // The request was answered: its id may be used again, once its last byte has come.
  void finished(std::uint16_t id);
  // Nothing more will be taken: all that is kept is given back.
  void discard();
  // Bytes of memory kept for what has not come whole yet.
  std::size_t held() const { return (pending_.empty() ? 0 : pending_.capacity()) + held_; }
  // A record or a request has begun and its end has not come.
  bool unfinished() const { return pending_.size() > decoded_ || incomplete_ > 0; }

 private:
  struct Assembly {
    Request request;
    std::string params;
    bool params_done = false;
    bool delivered = false;
    bool ended = false;     // its last byte has come
    bool answered = false;  // before that: the rest is passed over
  };
  struct Record {
    Type type = Type::kBegin;
    std::uint16_t id = 0;
    std::string_view content;
    std::size_t size = 0;  // with its header and padding
  };
  // The record with which `rest` begins; kEvent: it is whole.
  static Next record_at(std::string_view rest, Record& record);
  // Of one record: kNeedsMore where it led to no event.
  Next decode(const Record& record, Event& event, std::string& replies);
  Next management(const Record& record, std::string& replies) const;
  Next begin(const Record& record, std::string& replies);
  Next abort(std::map<std::uint16_t, Assembly>::iterator it, Event& event, std::string& replies);
  Next end_of_stream(std::map<std::uint16_t, Assembly>::iterator it, Type type, Event& event);
  Next content(Assembly& assembly, const Record& record, Event& event);
  bool append(std::string& to, std::size_t limit, std::string_view content);
  // Bytes of memory that a request holds until it is delivered.
  static std::size_t held_by(const Assembly& assembly);
  // Room that what was decoded has left.
  void give_back();
  void deliver(Assembly& assembly, std::uint16_t id, Event& event);
  void erase(std::map<std::uint16_t, Assembly>::iterator it);

  Limits limits_;
  std::string pending_;      // from the last piece on
  std::size_t decoded_ = 0;  // of it
  std::map<std::uint16_t, Assembly> open_;
  std::size_t held_ = 0;         // in the assemblies that are not delivered, in bytes of memory
  bool looked_ = false;          // what was added last was looked through for cancels
  bool cancel_pending_ = false;  // among what is not decoded there may be a cancel
  std::size_t incomplete_ = 0;   // of them, those whose last byte has not come
};

// False: a length runs past the end.
bool decode_params(std::string_view bytes, Params& out);
// The content may come in two parts; together they are at most 65,535 bytes.
void append_record(std::string& out, Type type, std::uint16_t id, std::string_view content,
                   std::string_view more = {});
// As many STDOUT records as it takes for the head and the body behind it.
void append_stdout(std::string& out, std::uint16_t id, std::string_view head, std::string_view body = {});
void append_end(std::string& out, std::uint16_t id, EndStatus status);

}  // namespace anisewick::fastcgi

#endif  // ANISEWICK_FASTCGI_HPP_
