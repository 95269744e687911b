#include "fastcgi/fastcgi.hpp"

#include <algorithm>
#include <utility>

namespace anisewick::fastcgi {
namespace {

constexpr std::size_t kHeader = 8;
constexpr std::size_t kMostContent = 65528;  // of the records we write: the longest that needs no padding
constexpr std::size_t kEndRecords = 2;       // headers' worth of room for END_REQUEST
// Of replies at once. Web servers ask for values now and then and begin few requests beyond those allowed;
// who is owed more sends nothing else.
constexpr std::size_t kMostReplies = 16u << 10;
constexpr std::size_t kAssemblyBytes = 512;  // of memory for a request, beside its parameters and its body
constexpr std::size_t kKeptBytes = 512;      // of room that a session may keep beyond what it needs
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

namespace {

// Whether the lengths are sound: as `decode_params`, and nothing is kept.
bool sound_params(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t name = 0, value = 0;
    if (!length(bytes, name) || !length(bytes, value)) return false;
    if (name > bytes.size() || value > bytes.size() - name) return false;
    bytes.remove_prefix(name + value);
  }
  return true;
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

void append_record(std::string& out, Type type, std::uint16_t id, std::string_view content,
                   std::string_view more) {
  const std::size_t n = content.size() + more.size();
  const char header[kHeader] = {1,
                                static_cast<char>(type),
                                static_cast<char>(id >> 8),
                                static_cast<char>(id & 0xff),
                                static_cast<char>(n >> 8),
                                static_cast<char>(n & 0xff),
                                0,
                                0};
  out.append(header, kHeader);
  out.append(content).append(more);
}

void append_stdout(std::string& out, std::uint16_t id, std::string_view head, std::string_view body) {
  const std::size_t records = (head.size() + body.size() + kMostContent - 1) / kMostContent;
  out.reserve(out.size() + head.size() + body.size() + (records + kEndRecords) * kHeader);
  while (!head.empty() || !body.empty()) {
    const std::string_view first = head.substr(0, kMostContent);
    const std::string_view second = body.substr(0, kMostContent - first.size());
    append_record(out, Type::kStdout, id, first, second);
    head.remove_prefix(first.size());
    body.remove_prefix(second.size());
  }
}

void append_end(std::string& out, std::uint16_t id, EndStatus status) {
  const char content[8] = {0, 0, 0, 0, static_cast<char>(status), 0, 0, 0};
  append_record(out, Type::kEnd, id, {content, sizeof content});
}

void Session::add(std::string_view bytes) {
  looked_ = false;
  pending_.erase(0, decoded_);
  decoded_ = 0;
  pending_.append(bytes);
}

void Session::discard() {
  std::string().swap(pending_);  // an assignment would keep its capacity
  open_.clear();
  decoded_ = held_ = incomplete_ = 0;
}

void Session::give_back() {
  pending_.erase(0, decoded_);
  decoded_ = 0;
  if (pending_.empty()) {
    std::string().swap(pending_);
  } else if (pending_.capacity() > 2 * pending_.size() + kKeptBytes) {
    pending_.shrink_to_fit();
  }
}

Session::Next Session::next(Event& event, std::string& replies) {
  for (;;) {
    Record record;
    const Next whole = record_at(std::string_view(pending_).substr(decoded_), record);
    if (whole == Next::kNeedsMore) give_back();
    if (whole != Next::kEvent) return whole;
    decoded_ += record.size;
    const Next next = decode(record, event, replies);
    if (next != Next::kNeedsMore) return next;
    if (replies.size() > kMostReplies) return Next::kMalformed;
  }
}

Session::Next Session::record_at(std::string_view rest, Record& record) {
  if (rest.size() < kHeader) return Next::kNeedsMore;
  if (byte_at(rest, 0) != 1) return Next::kMalformed;  // another protocol, or out of step
  const std::size_t content = byte_at(rest, 4) << 8 | byte_at(rest, 5);
  record.size = kHeader + content + byte_at(rest, 6);
  if (rest.size() < record.size) return Next::kNeedsMore;
  record.type = static_cast<Type>(byte_at(rest, 1));
  record.id = static_cast<std::uint16_t>(byte_at(rest, 2) << 8 | byte_at(rest, 3));
  record.content = rest.substr(kHeader, content);
  return Next::kEvent;
}

bool Session::cancel_has_come(std::uint16_t id) {
  std::string_view rest = std::string_view(pending_).substr(decoded_);
  Record record;
  // A batch without any cancel is looked through once, not for each of its requests.
  if (looked_) {
    if (!cancel_pending_) return false;
  } else {
    looked_ = true;
    cancel_pending_ = false;
    for (std::string_view all = rest; record_at(all, record) == Next::kEvent; all.remove_prefix(record.size))
      cancel_pending_ = cancel_pending_ || record.type == Type::kAbort;
  }
  for (; record_at(rest, record) == Next::kEvent; rest.remove_prefix(record.size)) {
    if (record.id != id) continue;
    if (record.type == Type::kAbort) return true;
    if (record.type == Type::kBegin) return false;
  }
  return false;
}

Session::Next Session::decode(const Record& record, Event& event, std::string& replies) {
  if (record.type == Type::kBegin) return begin(record, replies);
  if (record.id == 0) return management(record, replies);
  const auto it = open_.find(record.id);
  // Of a request that is over or was turned away: to be passed over.
  if (it == open_.end()) return Next::kNeedsMore;
  if (record.type == Type::kAbort) return abort(it, event, replies);
  Assembly& assembly = it->second;
  if (assembly.ended || (record.type != Type::kParams && record.type != Type::kStdin))
    return Next::kNeedsMore;
  return record.content.empty() ? end_of_stream(it, record.type, event) : content(assembly, record, event);
}

Session::Next Session::management(const Record& record, std::string& replies) const {
  if (record.type == Type::kGetValues) {
    Params asked;
    if (!decode_params(record.content, asked)) return Next::kMalformed;
    append_record(replies, Type::kGetValuesResult, 0, values_for(asked, limits_));
  } else {
    const char unknown[8] = {static_cast<char>(record.type), 0, 0, 0, 0, 0, 0, 0};
    append_record(replies, Type::kUnknownType, 0, {unknown, sizeof unknown});
  }
  return Next::kNeedsMore;
}

Session::Next Session::abort(std::map<std::uint16_t, Assembly>::iterator it, Event& event,
                             std::string& replies) {
  const Assembly& assembly = it->second;
  const bool open = assembly.delivered && !assembly.answered;
  if (open) {
    event = {Event::Kind::kAborted, {}};
    event.request.id = it->first;
    event.request.keep_connection = assembly.request.keep_connection;
  }
  if (!assembly.answered) append_end(replies, it->first, EndStatus::kComplete);  // the id comes free
  erase(it);
  return open ? Next::kEvent : Next::kNeedsMore;
}

Session::Next Session::end_of_stream(std::map<std::uint16_t, Assembly>::iterator it, Type type,
                                     Event& event) {
  Assembly& assembly = it->second;
  if (type == Type::kParams) {
    if (std::exchange(assembly.params_done, true) || assembly.delivered) return Next::kNeedsMore;
    return sound_params(assembly.params) ? Next::kNeedsMore : Next::kMalformed;
  }
  if (!assembly.params_done)
    return Next::kMalformed;  // the body may come between the parameters, but not end
  assembly.ended = true;
  --incomplete_;
  if (assembly.answered) {
    open_.erase(it);
    return Next::kNeedsMore;
  }
  if (assembly.delivered) return Next::kNeedsMore;
  deliver(assembly, it->first, event);
  return Next::kEvent;
}

Session::Next Session::content(Assembly& assembly, const Record& record, Event& event) {
  const bool params = record.type == Type::kParams;
  if (assembly.delivered || (params && assembly.params_done)) return Next::kNeedsMore;
  std::string& to = params ? assembly.params : assembly.request.body;
  if (append(to, params ? limits_.params : limits_.body, record.content)) return Next::kNeedsMore;
  // Too much, and it may go on for ever: told now, and what is left of it is read and dropped.
  assembly.request.too_large = true;
  assembly.request.params.clear();
  deliver(assembly, record.id, event);
  return Next::kEvent;
}

bool Session::append(std::string& to, std::size_t limit, std::string_view content) {
  if (to.size() + content.size() > limit) return false;
  const std::size_t before = to.capacity();
  to.append(content);
  held_ += to.capacity() - before;
  return true;
}

std::size_t Session::held_by(const Assembly& assembly) {
  return kAssemblyBytes + assembly.params.capacity() + assembly.request.body.capacity();
}

void Session::deliver(Assembly& assembly, std::uint16_t id, Event& event) {
  held_ -= held_by(assembly);
  assembly.delivered = true;
  // Decoded only now, when one at a time is: very many short fields are many times their bytes.
  if (!assembly.request.too_large) decode_params(assembly.params, assembly.request.params);
  std::string().swap(assembly.params);
  event = {Event::Kind::kRequest, {}};
  event.request.keep_connection = assembly.request.keep_connection;
  event.request.id = id;
  event.request.too_large = assembly.request.too_large;
  event.request.params = std::move(assembly.request.params);
  event.request.body = std::move(assembly.request.body);
  if (event.request.too_large) event.request.body.clear();
}

void Session::erase(std::map<std::uint16_t, Assembly>::iterator it) {
  const Assembly& a = it->second;
  if (!a.delivered) held_ -= held_by(a);
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

Session::Next Session::begin(const Record& record, std::string& replies) {
  if (record.id == 0 || record.content.size() != 8 || open_.contains(record.id)) return Next::kMalformed;
  const unsigned role = byte_at(record.content, 0) << 8 | byte_at(record.content, 1);
  if (role != kResponder) {
    append_end(replies, record.id, EndStatus::kUnknownRole);
  } else if (open_.size() >= limits_.open) {
    append_end(replies, record.id, EndStatus::kOverloaded);
  } else {
    Assembly& assembly = open_[record.id];
    held_ += held_by(assembly);
    ++incomplete_;
    assembly.request.keep_connection = (byte_at(record.content, 2) & kKeepConnection) != 0;
  }
  return Next::kNeedsMore;
}

}  // namespace anisewick::fastcgi
