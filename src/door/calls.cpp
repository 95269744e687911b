#include "door/calls.hpp"

#include <http_parser.h>

#include <array>
#include <utility>

#include "depot/fields.hpp"

namespace anisewick::door {
namespace {

constexpr std::size_t kMostPath = 512;
constexpr std::size_t kMostHead = 8 * 1024;
constexpr std::size_t kMostBody = 16 * 1024;  // nobody wants one: it is read and passed over

struct Row {
  std::string_view method, path;
  Call::What what;
  enum class Then { kNothing, kDepot, kName, kNames } then;  // how the path goes on
  bool fleet = false;                                        // there only where there is a fleet
};
using Then = Row::Then;
constexpr std::array<Row, 19> kRows{{{"GET", "/_ready", Call::What::kReady, Then::kNothing},
                                     {"POST", "/_depots/detach/", Call::What::kDetach, Then::kDepot},
                                     {"POST", "/_depots/attach/", Call::What::kAttach, Then::kDepot},
                                     {"POST", "/_lameduck/on", Call::What::kDuckOn, Then::kNothing},
                                     {"POST", "/_lameduck/off", Call::What::kDuckOff, Then::kNothing},
                                     {"GET", "/_fleet", Call::What::kFleet, Then::kNothing, true},
                                     {"POST", "/_fleet/replace/", Call::What::kReplace, Then::kNames, true},
                                     {"POST", "/_work/take", Call::What::kWorkTake, Then::kNothing, true},
                                     {"POST", "/_work/stop/", Call::What::kWorkStop, Then::kName, true},
                                     {"POST", "/_work/pause/", Call::What::kWorkPause, Then::kName, true},
                                     {"POST", "/_work/resume/", Call::What::kWorkResume, Then::kName, true},
                                     {"POST", "/_work/back/", Call::What::kWorkBack, Then::kNames, true},
                                     {"POST", "/_work/gone/", Call::What::kWorkGone, Then::kName, true},
                                     {"GET", "/_work/", Call::What::kWorkJob, Then::kName, true},
                                     {"POST", "/_zones/leave/", Call::What::kZoneLeave, Then::kName, true},
                                     {"POST", "/_zones/return/", Call::What::kZoneReturn, Then::kName, true},
                                     {"POST", "/_zones/auto/", Call::What::kZoneAuto, Then::kName, true},
                                     {"GET", "/_zones", Call::What::kZones, Then::kNothing, true},
                                     {"GET", "/_work", Call::What::kWork, Then::kNothing, true}}};
constexpr std::size_t kMostName = 32;  // of a member

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Error";
  }
}

}  // namespace

Routed route(std::string_view method, std::string_view path, bool fleet) {
  Routed routed;
  for (const Row& row : kRows) {
    if (row.fleet && !fleet) continue;
    if (row.then == Then::kNothing ? path != row.path : !path.starts_with(row.path)) continue;
    routed.call.what = row.what;
    if (method != row.method) {
      routed.status = 405;
      routed.allow = row.method;
      return routed;
    }
    if (row.then == Then::kNothing) return routed;
    const auto is_name = [](std::string_view s) {
      return !s.empty() && s.size() <= kMostName && s.find('/') == std::string_view::npos;
    };
    if (row.then == Then::kName) {
      routed.call.out = path.substr(row.path.size());
      if (!is_name(routed.call.out)) routed.status = 400;
      return routed;
    }
    if (row.then == Then::kNames) {
      std::string_view in = path.substr(row.path.size());
      const std::string_view out = depot::cut(in, '/');
      if (!is_name(out) || !is_name(in)) routed.status = 400;
      routed.call.out = out;
      routed.call.in = in;
      return routed;
    }
    const auto id = depot::id_from(path.substr(row.path.size()));
    routed.status = id ? 0 : 400;
    routed.call.depot = id.value_or(0);
    return routed;
  }
  routed.status = 404;
  return routed;
}

struct CallReader::Parser {
  http_parser parser{};
  http_parser_settings on{};
  std::string url, method, path;
  std::size_t head = 0, body = 0;
  int status = 0;
  bool whole = false;

  Parser() {
    http_parser_init(&parser, HTTP_REQUEST);
    http_parser_settings_init(&on);
    parser.data = this;
    on.on_url = [](http_parser* p, const char* at, std::size_t n) {
      Parser& self = *static_cast<Parser*>(p->data);
      if (self.url.size() + n > kMostPath) return self.refuse(404);
      self.url.append(at, n);
      return 0;
    };
    on.on_header_field = on.on_header_value = [](http_parser* p, const char*, std::size_t n) {
      Parser& self = *static_cast<Parser*>(p->data);
      return (self.head += n) > kMostHead ? self.refuse(431) : 0;
    };
    on.on_body = [](http_parser* p, const char*, std::size_t n) {
      Parser& self = *static_cast<Parser*>(p->data);
      return (self.body += n) > kMostBody ? self.refuse(413) : 0;
    };
    on.on_message_complete = [](http_parser* p) {
      static_cast<Parser*>(p->data)->whole = true;
      http_parser_pause(p, 1);  // one call a connection
      return 0;
    };
  }
  int refuse(int with) {
    status = with;
    return 1;
  }
};

CallReader::CallReader() : parser_(std::make_unique<Parser>()) {}
CallReader::~CallReader() = default;

CallReader::State CallReader::feed(std::string_view bytes) {
  Parser& p = *parser_;
  if (p.whole) return State::kCall;
  http_parser_execute(&p.parser, &p.on, bytes.data(), bytes.size());
  if (p.whole) {
    p.method = http_method_str(static_cast<http_method>(p.parser.method));
    http_parser_url url;
    http_parser_url_init(&url);
    if (http_parser_parse_url(p.url.data(), p.url.size(), 0, &url) != 0 ||
        (url.field_set & (1u << UF_PATH)) == 0) {
      p.status = 400;
      return State::kBad;
    }
    p.path = p.url.substr(url.field_data[UF_PATH].off, url.field_data[UF_PATH].len);
    return State::kCall;
  }
  const auto error = HTTP_PARSER_ERRNO(&p.parser);
  if (error == HPE_OK && p.parser.upgrade == 0) return State::kMore;
  if (p.status == 0) p.status = error == HPE_HEADER_OVERFLOW ? 431 : 400;
  return State::kBad;
}

const std::string& CallReader::method() const { return parser_->method; }
const std::string& CallReader::path() const { return parser_->path; }
int CallReader::status() const { return parser_->status; }

std::string answer_bytes(int status, std::string_view allow, std::string_view line) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason(status)).append("\r\nContent-Type: text/plain\r\nConnection: close\r\n");
  if (!allow.empty()) out.append("Allow: ").append(allow).append("\r\n");
  out += "Content-Length: " + std::to_string(line.size() + 1) + "\r\n\r\n";
  return out.append(line).append("\n");
}

}  // namespace anisewick::door
