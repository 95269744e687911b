#include "handover/learned.hpp"

#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

#include "depot/fields.hpp"
#include "handover/sealed.hpp"

namespace anisewick::handover {
namespace {

constexpr std::string_view kWhat = "anisewick-learned";
constexpr int kVersion = 1;
constexpr std::size_t kMostObjects = 1u << 14, kMostServers = 1u << 13, kMostSent = 1u << 14;
// No figure of ours comes near: shares, seconds of work, answers a second.
constexpr double kMostFigure = 1e9;

// A line is written and read by the same list of fields, so that the two cannot differ.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  void word(std::string_view w) {
    if (!out_.empty() && out_.back() != '\n') out_ += ' ';
    out_ += w;
  }
  void operator()(double& x) { word(text(x)); }
  void operator()(std::int64_t& x) { word(text(x)); }
  void operator()(bool& x) { word(x ? "1" : "0"); }
  void end() { out_ += '\n'; }

 private:
  template <typename T>
  static std::string text(T x) {
    char some[40];
    const auto r = std::to_chars(some, some + sizeof some, x);
    return {some, r.ptr};
  }
  std::string& out_;
};
class Reader {
 public:
  explicit Reader(const std::vector<std::string_view>& words, std::size_t from) : words_(words), at_(from) {}
  void operator()(double& x) {
    fine_ = fine_ && at_ < words_.size() && depot::number(words_[at_], x) && std::isfinite(x) && x >= 0.0 &&
            x <= kMostFigure;
    ++at_;
  }
  void operator()(std::int64_t& x) {
    fine_ = fine_ && at_ < words_.size() && depot::number(words_[at_], x) && x >= 0;
    ++at_;
  }
  void operator()(bool& x) {
    fine_ = fine_ && at_ < words_.size() && (words_[at_] == "0" || words_[at_] == "1");
    if (fine_) x = words_[at_] == "1";
    ++at_;
  }
  bool whole() const { return fine_ && at_ == words_.size(); }

 private:
  const std::vector<std::string_view>& words_;
  std::size_t at_;
  bool fine_ = true;
};

template <typename F>
void fields(F& f, Smoothed& s) {
  f(s.value);
  f(s.known);
}
template <typename F>
void fields(F& f, Health& h) {
  f(h.failing);
  fields(f, h.slowness);
  f(h.next_trial);
  f(h.out);
}
template <typename F>
void fields(F& f, Experience& e) {
  fields(f, e.asked);
  fields(f, e.sourced);
  fields(f, e.first_byte);
  f(e.crowd.peak);
  f(e.crowd.peak_at);
  f(e.crowd.limit);
  f(e.crowd.late_share);
  f(e.crowd.next_cut);
  f(e.answered);
  f(e.rate);
  f(e.rated);
}
template <typename F>
void fields(F& f, Pace& p) {
  f(p.usual);
  f(p.gain);
  f(p.tokens);
  f(p.late_share);
  f(p.at);
  f(p.cut_at);
  f(p.denied_at);
  f(p.seen_at);
}
template <typename F>
void fields(F& f, Dated& d) {
  f(d.at_ms);
  f(d.learned.links_late);
  f(d.learned.retries);
  fields(f, d.learned.origin);
}

bool server_from(const std::vector<std::string_view>& w, Learned& into) {
  if (w.size() < 3 || into.servers.size() >= kMostServers) return false;
  Learned::Of of;
  if (!depot::number(w[2], of.process)) return false;
  Reader read(w, 3);
  fields(read, of.what);
  return read.whole() && into.servers.emplace(std::string(w[1]), of).second;
}
// Work sent within the window, to the server before.
bool sent_from(const std::vector<std::string_view>& w, Learned& into) {
  const auto it = w.size() == 4 ? into.servers.find(std::string(w[1])) : into.servers.end();
  std::int64_t at = 0;
  double work = 0.0;
  if (it == into.servers.end()) return false;
  Reader read(w, 2);
  read(at);
  read(work);
  Window& sent = it->second.what.sent;
  if (!read.whole() || sent.added.size() >= kMostSent ||
      (!sent.added.empty() && at < sent.added.back().first))
    return false;
  sent.added.emplace_back(at, work);
  sent.sum += work;
  return true;
}
bool object_from(const std::vector<std::string_view>& w, Learned& into) {
  Counted c;
  if (w.size() != 4 || into.objects.size() >= kMostObjects || !depot::number(w[1], c.key, 16) ||
      !depot::number(w[2], c.count) || c.count == 0 || (w[3] != "0" && w[3] != "1"))
    return false;
  c.admitted = w[3] == "1";
  into.objects.push_back(c);
  return true;
}

}  // namespace

std::string encode_learned(const Learned& learned, std::string_view name, std::int64_t at_ms) {
  Dated dated{learned, at_ms};
  std::string body;
  Writer write(body);
  write.word("all");
  fields(write, dated);
  write.end();
  for (auto& [id, of] : dated.learned.servers) {
    write.word("server");
    write.word(id);
    write(of.process);
    fields(write, of.what);
    write.end();
    Window& sent = of.what.sent;
    for (std::size_t i = sent.first; i < sent.added.size(); ++i) {
      write.word("sent");
      write.word(id);
      write(sent.added[i].first);
      write(sent.added[i].second);
      write.end();
    }
  }
  for (const Counted& c : dated.learned.objects) {
    write.word("object");
    write.word(hex(c.key));
    write.word(std::to_string(c.count));
    write.word(c.admitted ? "1" : "0");
    write.end();
  }
  return sealed(kWhat, kVersion, name, body);
}

std::optional<Dated> decode_learned(std::string_view bytes, std::string_view name, std::string& why) {
  const auto body = opened(bytes, kWhat, kVersion, name, why);
  if (!body) return std::nullopt;
  std::string_view rest = *body;
  Dated dated;
  bool fine = true, first = true;
  while (fine && !rest.empty()) {
    const auto w = words_of(next_line(rest));
    if (w.empty()) {
      fine = false;
    } else if (std::exchange(first, false)) {
      Reader read(w, 1);
      fields(read, dated);
      fine = w[0] == "all" && read.whole();
    } else {
      fine = w[0] == "server" ? server_from(w, dated.learned)
             : w[0] == "sent" ? sent_from(w, dated.learned)
                              : w[0] == "object" && object_from(w, dated.learned);
    }
  }
  if (fine && !first) return dated;
  why = "it has figures that cannot be";
  return std::nullopt;
}

}  // namespace anisewick::handover
