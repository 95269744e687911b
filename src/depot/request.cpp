#include "depot/request.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "depot/fields.hpp"

namespace anisewick::depot {
namespace {

bool plain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool mode_from(std::string_view words, Request& r) {
  while (!words.empty()) {
    const std::string_view word = cut(words, '+');
    if (word == "collapse") {
      r.collapse = true;
    } else if (word == "only-if-cached") {
      r.only_if_cached = true;
    } else if (word == "no-store-up") {
      r.no_store_up = true;
    } else if (word == "refresh") {
      r.refresh = true;
    } else {
      return false;
    }
  }
  return true;
}

// What can't be used of one field, or nothing. Names that we do not know are passed over: a newer asker may
// say more than we heed.
const char* field(std::string_view name, std::string_view value, Request& r) {
  if (name == "profile") {
    r.profile = value;
  } else if (name == "thing") {
    r.thing = value;
    if (value.size() != 16 || !number(value, r.object, 16)) return "thing";
  } else if (name == "nth") {
    r.nth = value;
    if (!number(value, r.part)) return "nth";
  } else if (name == "max") {
    if (!number(value, r.max_ms) || r.max_ms <= 0) return "max";
  } else if (name == "from") {
    r.from = id_from(value);
    if (!r.from) return "from";
  } else if (name == "rank") {
    if (!number(value, r.rank) || r.rank < 0 || r.rank > 3) return "rank";
  } else if (name == "oldest") {
    if (!number(value, r.oldest_ms) || r.oldest_ms < 0) return "oldest";
  } else if (name == "mode") {
    if (!mode_from(value, r)) return "mode";
  } else if (name == "batch") {
    if (!number(value, r.group) || r.group < 0 || r.group > 255) return "batch";
  } else if (name == "seen") {
    r.seen = value;
  }
  return nullptr;
}

void fields_from(std::string_view text, Request& r) {
  if (text == "-") text = {};
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const std::string_view name = cut(value, '=');
    const char* wrong = name.empty() || value.empty() ? "fields" : field(name, value, r);
    if (wrong != nullptr && r.fault.empty()) r.fault = wrong;
  }
  if (!r.fault.empty()) return;
  if (r.profile.empty()) r.fault = "profile";
  if (r.thing.empty()) r.fault = "thing";
  if (r.nth.empty()) r.fault = "nth";
}

}  // namespace

bool RequestReader::feed(std::string_view bytes, std::vector<Request>& out) {
  while (!bytes.empty()) {
    if (!in_body_) {
      const std::size_t end = bytes.find('\n');
      line_.append(bytes.substr(0, std::min(end == std::string_view::npos ? end : end + 1, kMostLine + 1)));
      if (line_.size() > kMostLine) return false;
      if (end == std::string_view::npos) return true;
      bytes.remove_prefix(end + 1);
      if (!line_.ends_with("\r\n")) return false;
      const std::string text = std::exchange(line_, {});
      if (!line(std::string_view(text).substr(0, text.size() - 2), out)) return false;
      continue;
    }
    const std::string_view part = bytes.substr(0, left_);
    request_.body.append(part);
    left_ -= part.size();
    bytes.remove_prefix(part.size());
    if (left_ > 0) continue;
    in_body_ = false;
    if (!request_.body.ends_with("\r\n")) return false;
    request_.body.resize(size_);
    out.push_back(std::exchange(request_, {}));
  }
  return true;
}

bool RequestReader::line(std::string_view text, std::vector<Request>& out) {
  std::string_view rest = text;
  const std::string_view verb = cut(rest, ' ');
  const std::string_view id = cut(rest, ' ');
  if (id.empty() || id.size() > kMostId || !plain(id)) return false;
  request_ = Request{};
  request_.id = std::string(id);
  if (verb != "fetch") {
    if (!rest.empty()) return false;
    if (verb == "abort") {
      request_.verb = Request::Verb::kAbort;
    } else if (verb == "alive") {
      request_.verb = Request::Verb::kAlive;
    } else if (verb == "stats") {
      request_.verb = Request::Verb::kStats;
    } else {
      return false;
    }
    out.push_back(std::exchange(request_, {}));
    return true;
  }
  const std::string_view fields = cut(rest, ' ');
  if (fields.empty() || !plain(fields) || !number(rest, size_) || size_ > kMostBody) return false;
  fields_from(fields, request_);
  in_body_ = true;
  left_ = size_ + 2;
  return true;
}

std::string answer_head(std::string_view id, Word word, const Told& told, std::size_t body) {
  std::string out(id);
  out.append(" ").append(kWords[static_cast<std::size_t>(word)]).append(" ");
  const std::size_t start = out.size();
  const auto tell = [&](std::string_view name, std::string_view value) {
    if (out.size() > start) out.push_back(',');
    out.append(name).append("=").append(value);
  };
  if (!told.tag.empty()) tell("ver", told.tag);
  if (told.born_ms > 0) tell("born", std::to_string(told.born_ms));
  if (told.remark >= 1 && told.remark <= static_cast<int>(kRemarks.size())) {
    tell("remark", kRemarks[static_cast<std::size_t>(told.remark - 1)]);
  }
  if (told.waited_ms > 0.0) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", told.waited_ms);
    tell("waited", text);
  }
  if (told.group != kUnknownGroup) tell("batch", std::to_string(told.group));
  if (!told.report.empty()) tell("report", told.report);
  if (out.size() == start) out.push_back('-');
  out.append(" ").append(std::to_string(body)).append("\r\n");
  return out;
}

std::string answer_bytes(std::string_view id, Word word, const Told& told) {
  return answer_head(id, word, told, 0).append("\r\n");
}

std::string probe_head(std::string_view tag, bool fit, std::string_view report) {
  std::string out(tag);
  out.append(fit ? " FIT " : " UNFIT ");
  out.append(report.empty() ? "-" : std::string("report=").append(report)).append(" 0\r\n");
  return out;
}

}  // namespace anisewick::depot
