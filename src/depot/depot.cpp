#include "depot/depot.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "depot/fields.hpp"

namespace anisewick::depot {
std::string text_of(Id id) {
  static constexpr char kHex[] = "0123456789abcdef";
  std::string text = "s-00000000";
  for (std::size_t i = 0; i < 8; ++i) text[9 - i] = kHex[id >> (4 * i) & 0xf];
  return text;
}

std::optional<Id> id_from(std::string_view text) {
  Id id = 0;
  if (text.size() != 10 || !text.starts_with("s-")) return std::nullopt;
  const auto r = std::from_chars(text.data() + 2, text.data() + text.size(), id, 16);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size()) return std::nullopt;
  return id;
}

std::string fetch_bytes(const Fetch& f) {
  std::string out = "fetch ";
  out.append(f.id).append(" profile=").append(f.profile);
  out.append(",thing=").append(f.thing).append(",nth=").append(f.nth);
  out.append(",max=").append(std::to_string(f.max_ms));
  if (f.from) out.append(",from=").append(text_of(*f.from));
  if (f.rank > 0) out.append(",rank=").append(std::to_string(f.rank));
  if (f.oldest_ms > 0) out.append(",oldest=").append(std::to_string(f.oldest_ms));
  std::string_view before = ",mode=";
  for (const auto& [set, word] : {std::pair{f.collapse, "collapse"},
                                  {f.only_if_cached, "only-if-cached"},
                                  {f.no_store_up, "no-store-up"},
                                  {f.refresh, "refresh"}}) {
    if (set) out.append(std::exchange(before, "+")).append(word);
  }
  if (f.group != 0xffff) out.append(",batch=").append(std::to_string(f.group));
  if (!f.seen.empty()) out.append(",seen=").append(f.seen);
  out.append(" ").append(std::to_string(f.body.size())).append("\r\n");
  out.append(f.body).append("\r\n");
  return out;
}

std::string abort_bytes(std::string_view id) { return std::string("abort ").append(id).append("\r\n"); }

bool AnswerReader::feed(std::string_view bytes, std::vector<Answer>& out) {
  while (!bytes.empty()) {
    if (!in_body_) {
      const std::size_t end = bytes.find('\n');
      line_.append(bytes.substr(0, end == std::string_view::npos ? end : end + 1));
      if (line_.size() > kMostLine) return false;
      if (end == std::string_view::npos) return true;
      bytes.remove_prefix(end + 1);
      if (!line_.ends_with("\r\n")) return false;
      const std::string text = std::exchange(line_, {});
      if (!line(std::string_view(text).substr(0, text.size() - 2))) return false;
      continue;
    }
    const std::string_view part = bytes.substr(0, left_);
    answer_.body.append(part);
    left_ -= part.size();
    bytes.remove_prefix(part.size());
    if (left_ > 0) continue;
    in_body_ = false;
    if (!answer_.body.ends_with("\r\n")) return false;
    answer_.body.resize(size_);
    out.push_back(std::exchange(answer_, {}));
  }
  return true;
}

bool AnswerReader::line(std::string_view text) {
  std::string_view rest = text;
  const std::string_view id = cut(rest, ' ');
  const std::string_view word = cut(rest, ' ');
  std::string_view fields = cut(rest, ' ');
  if (id.empty() || word.empty() || fields.empty()) return false;
  if (!number(rest, size_) || size_ > kMostBody) return false;
  answer_ = Answer{};
  answer_.id = std::string(id);
  const auto known = std::find(kWords.begin(), kWords.end(), word);
  if (known == kWords.end()) return false;  // none that belongs to what is asked here
  answer_.word = static_cast<Word>(known - kWords.begin());
  while (!fields.empty() && fields != "-") {
    std::string_view value = cut(fields, ',');
    const std::string_view name = cut(value, '=');
    if (name.empty() || value.empty()) return false;
    if (name == "remark") {
      const auto r = std::find(kRemarks.begin(), kRemarks.end(), value);
      if (r != kRemarks.end()) answer_.remark = static_cast<int>(r - kRemarks.begin()) + 1;
    } else if (name == "waited") {
      // "nan" and "inf" are numbers to the parser.
      if (!number(value, answer_.waited_ms) || !std::isfinite(answer_.waited_ms)) return false;
      if (answer_.waited_ms < 0.0) return false;
    } else if (name == "ver") {
      answer_.tag = std::string(value);
    } else if (name == "born" && !number(value, answer_.born_ms)) {
      answer_.born_ms = 0;
    } else if (name == "batch" &&
               (!number(value, answer_.group) || answer_.group < 0 || answer_.group > 255)) {
      answer_.group = 0xffff;
    }
  }
  in_body_ = true;
  left_ = size_ + 2;
  answer_.body.reserve(left_);
  return true;
}

}  // namespace anisewick::depot
