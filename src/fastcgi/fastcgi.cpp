#include "fastcgi/fastcgi.hpp"

#include <algorithm>
#include <utility>

namespace anisewick::fastcgi {
namespace {

constexpr std::size_t kHeader = 8;
constexpr std::size_t kMostContent = 65528;  // of the records we write: the longest that needs no padding
constexpr unsigned kResponder = 1;
constexpr unsigned kKeepConnection = 1;

unsigned byte_at(std::string_view s, std::size_t i) { return static_cast<unsigned char>(s[i]); }

bool length(std::string_view& bytes, std::size_t& value) {
  if (bytes.empty()) return false;
  value = byte_at(bytes, 0);
  if (value < 128) {
    bytes.remove_prefix(1);
    return true;
  }
  if (bytes.size() < 4) return false;
  value = (value & 0x7f) << 24 | byte_at(bytes, 1) << 16 | byte_at(bytes, 2) << 8 | byte_at(bytes, 3);
  bytes.remove_prefix(4);
  return true;
}

// The names asked for that we know, with their values.
std::string values_for(const Params& asked, const Limits& limits) {
  std::string out;
  for (const auto& [name, ignored] : asked) {
    std::string value;
    if (name == "FCGI_MPXS_CONNS") value = "1";
    if (name == "FCGI_MAX_REQS") value = std::to_string(limits.open * limits.connections);
    if (name == "FCGI_MAX_CONNS") value = std::to_string(limits.connections);
    if (value.empty()) continue;
    out.push_back(static_cast<char>(name.size()));
    out.push_back(static_cast<char>(value.size()));
    out += name + value;
  }
  return out;
}

}  // namespace

bool decode_params(std::string_view bytes, Params& out) {
  while (!bytes.empty()) {
    std::size_t name = 0, value = 0;
    if (!length(bytes, name) || !length(bytes, value)) return false;
    if (name > bytes.size() || value > bytes.size() - name) return false;
    out.emplace_back(bytes.substr(0, name), bytes.substr(name, value));
    bytes.remove_prefix(name + value);
  }
  return true;
}

void append_record(std::string& out, Type type, std::uint16_t id, std::string_view content) {
  const std::size_t n = content.size();
  const char header[kHeader] = {1,
                                static_cast<char>(type),
                                static_cast<char>(id >> 8),
                                static_cast<char>(id & 0xff),
                                static_cast<char>(n >> 8),
                                static_cast<char>(n & 0xff),
                                0,
                                0};
  out.append(header, kHeader);
  out.append(content);
}

void append_stdout(std::string& out, std::uint16_t id, std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, kMostContent);
    append_record(out, Type::kStdout, id, part);
    bytes.remove_prefix(part.size());
  }
}

void append_end(std::string& out, std::uint16_t id, EndStatus status) {
  const char content[8] = {0, 0, 0, 0, static_cast<char>(status), 0, 0, 0};
  append_record(out, Type::kEnd, id, {content, sizeof content});
}

bool Session::feed(std::string_view bytes, std::vector<Event>& events, std::string& replies) {
  pending_.append(bytes);
  std::string_view rest = pending_;
  while (rest.size() >= kHeader) {
    if (byte_at(rest, 0) != 1) return false;  // another protocol, or out of step: nothing can be trusted
    const std::size_t content = byte_at(rest, 4) << 8 | byte_at(rest, 5);
    const std::size_t whole = kHeader + content + byte_at(rest, 6);
    if (rest.size() < whole) break;
    const auto id = static_cast<std::uint16_t>(byte_at(rest, 2) << 8 | byte_at(rest, 3));
    if (!record(static_cast<Type>(byte_at(rest, 1)), id, rest.substr(kHeader, content), events, replies)) {
      return false;
    }
    rest.remove_prefix(whole);
  }
  pending_.erase(0, pending_.size() - rest.size());
  return true;
}

bool Session::record(Type type, std::uint16_t id, std::string_view content, std::vector<Event>& events,
                     std::string& replies) {
  if (type == Type::kBegin) return begin(id, content, replies);
  if (id == 0) {
    Params asked;
    if (type == Type::kGetValues) {
      if (!decode_params(content, asked)) return false;
      append_record(replies, Type::kGetValuesResult, 0, values_for(asked, limits_));
    } else {
      const char unknown[8] = {static_cast<char>(type), 0, 0, 0, 0, 0, 0, 0};
      append_record(replies, Type::kUnknownType, 0, {unknown, sizeof unknown});
    }
    return true;
  }
  const auto it = open_.find(id);
  if (it == open_.end()) return true;  // of a request that is over or was turned away: to be passed over
  Assembly& a = it->second;
  if (type == Type::kAbort) {
    if (a.delivered) {
      events.push_back({Event::Kind::kAborted, {}});
      events.back().request.id = id;
      events.back().request.keep_connection = a.request.keep_connection;
    }
    if (!a.answered) append_end(replies, id, EndStatus::kComplete);  // none is owed, but the id comes free
    erase(it);
    return true;
  }
  if (a.ended || (type != Type::kParams && type != Type::kStdin)) return true;
  if (content.empty()) {
    if (type == Type::kParams) {
      if (std::exchange(a.params_done, true) || a.delivered) return true;
      return decode_params(a.params, a.request.params);
    }
    if (!a.params_done) return false;  // the body may come between the parameters, but not end before them
    a.ended = true;
    --incomplete_;
    if (a.answered) {
      open_.erase(it);
    } else if (!a.delivered) {
      deliver(a, id, events);
    }
    return true;
  }
  if (a.delivered || (type == Type::kParams && a.params_done)) return true;
  const bool params = type == Type::kParams;
  if (append(params ? a.params : a.request.body, params ? limits_.params : limits_.body, content)) {
    return true;
  }
  // Too much, and it may go on for ever: told now, and what is left of it is read and dropped.
  a.request.too_large = true;
  a.request.params.clear();
  deliver(a, id, events);
  return true;
}

bool Session::append(std::string& to, std::size_t limit, std::string_view content) {
  if (to.size() + content.size() > limit) return false;
  to.append(content);
  held_ += content.size();
  return true;
}

void Session::deliver(Assembly& a, std::uint16_t id, std::vector<Event>& events) {
  held_ -= a.params.size() + a.request.body.size();
  a.delivered = true;
  std::string().swap(a.params);
  Event event{Event::Kind::kRequest, {}};
  event.request.keep_connection = a.request.keep_connection;
  event.request.id = id;
  event.request.too_large = a.request.too_large;
  event.request.params = std::move(a.request.params);
  event.request.body = std::move(a.request.body);
  if (event.request.too_large) event.request.body.clear();
  events.push_back(std::move(event));
}

void Session::erase(std::map<std::uint16_t, Assembly>::iterator it) {
  const Assembly& a = it->second;
  if (!a.delivered) held_ -= a.params.size() + a.request.body.size();
  if (!a.ended) --incomplete_;
  open_.erase(it);
}

void Session::finished(std::uint16_t id) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  if (it->second.ended) {
    open_.erase(it);
  } else {
    it->second.answered = true;
  }
}

bool Session::begin(std::uint16_t id, std::string_view content, std::string& replies) {
  if (id == 0 || content.size() != 8 || open_.contains(id)) return false;
  const unsigned role = byte_at(content, 0) << 8 | byte_at(content, 1);
  if (role != kResponder) {
    append_end(replies, id, EndStatus::kUnknownRole);
  } else if (open_.size() >= limits_.open) {
    append_end(replies, id, EndStatus::kOverloaded);
  } else {
    Assembly& a = open_[id];
    ++incomplete_;
    a.request.keep_connection = (byte_at(content, 2) & kKeepConnection) != 0;
  }
  return true;
}

}  // namespace anisewick::fastcgi
