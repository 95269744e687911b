#include "handover/sealed.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "depot/fields.hpp"

namespace anisewick::handover {

using depot::number;

std::vector<std::string_view> words_of(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty()) {
    const std::size_t end = std::min(line.find(' '), line.size());
    words.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  return words;
}
std::string_view next_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  return line;
}
std::string hex(std::uint64_t n) {
  char text[16];
  const auto r = std::to_chars(text, text + sizeof text, n, 16);
  return {text, r.ptr};
}

std::string sealed(std::string_view what, int version, std::string_view name, std::string_view body) {
  std::string out(what);
  out += " " + std::to_string(version) + " " + std::to_string(body.size()) + " " +
         hex(XXH3_64bits(body.data(), body.size())) + " ";
  out.append(name).append("\n").append(body);
  return out;
}

std::optional<std::string_view> opened(std::string_view bytes, std::string_view what, int version,
                                       std::string_view name, std::string& why) {
  const auto bad = [&](const char* said) {
    why = said;
    return std::nullopt;
  };
  const std::string_view head = next_line(bytes);
  std::size_t at = 0;
  for (int i = 0; i < 4; ++i) {
    at = head.find(' ', i == 0 ? 0 : at + 1);
    if (at == std::string_view::npos) return bad("it is no such file");
  }
  const auto w = words_of(head.substr(0, at));
  int of = 0;
  std::size_t size = 0;
  std::uint64_t sum = 0;
  if (w.size() != 4 || w[0] != what || !number(w[1], of)) return bad("it is no such file");
  if (of != version) return bad("it is of another version");
  if (!number(w[2], size) || size != bytes.size() || !number(w[3], sum, 16) ||
      sum != XXH3_64bits(bytes.data(), bytes.size()))
    return bad("it is torn");
  if (head.substr(at + 1) != name) return bad("it is another doorman's");
  return bytes;
}

}  // namespace anisewick::handover
