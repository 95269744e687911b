#include "benchlink/benchlink.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "anisewick/control.hpp"

namespace anisewick::benchlink {
namespace {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <typename T>
T number(std::string_view text, std::string_view name, int base = 10) {
  T value{};
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>) {
    r = std::from_chars(text.data(), text.data() + text.size(), value);
  } else {
    r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size()) {
    throw Malformed("bad value for '" + std::string(name) + "': '" + std::string(text) + "'");
  }
  return value;
}

// One line: a message name and its fields.
struct Line {
  std::string_view name;
  std::map<std::string_view, std::string_view> fields;

  explicit Line(std::string_view text) {
    std::size_t at = text.find('\t');
    name = text.substr(0, at);
    if (name.empty()) throw Malformed("no message name");
    while (at != std::string_view::npos) {
      const std::size_t next = text.find('\t', at + 1);
      const std::string_view field =
          text.substr(at + 1, next == std::string_view::npos ? next : next - at - 1);
      const std::size_t eq = field.find('=');
      if (eq == std::string_view::npos) {
        if (!field.empty()) throw Malformed("a field without '=': '" + std::string(field) + "'");
      } else {
        fields[field.substr(0, eq)] = field.substr(eq + 1);
      }
      at = next;
    }
  }
  std::string_view text(std::string_view key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? std::string_view{} : it->second;
  }
  std::string_view need(std::string_view key) const {
    const std::string_view v = text(key);
    if (v.empty()) throw Malformed("'" + std::string(key) + "' is missing");
    return v;
  }
  template <typename T>
  T get(std::string_view key, T otherwise, int base = 10) const {
    const std::string_view v = text(key);
    return v.empty() ? otherwise : number<T>(v, key, base);
  }
  template <typename T>
  T need(std::string_view key, int base = 10) const {
    return number<T>(need(key), key, base);
  }
  bool flag(std::string_view key, bool otherwise = false) const {
    const std::string_view v = text(key);
    return v.empty() ? otherwise : v == "1" || v == "true";
  }
  std::vector<std::string_view> list(std::string_view key) const {
    std::vector<std::string_view> all;
    std::string_view v = text(key);
    while (!v.empty()) {
      const std::size_t comma = v.find(',');
      all.push_back(v.substr(0, comma));
      v = comma == std::string_view::npos ? std::string_view{} : v.substr(comma + 1);
    }
    return all;
  }
  template <typename T>
  std::vector<T> numbers(std::string_view key) const {
    std::vector<T> all;
    for (const auto v : list(key)) all.push_back(number<T>(v, key));
    return all;
  }
};

template <typename T, std::size_t N>
T word(const Line& line, std::string_view key, const std::array<std::pair<std::string_view, T>, N>& words) {
  const std::string_view v = line.text(key);
  for (const auto& [w, value] : words) {
    if (w == v) return value;
  }
  if (v.empty()) return words[0].second;
  throw Malformed("unknown " + std::string(key) + ": '" + std::string(v) + "'");
}

constexpr std::array<std::pair<std::string_view, Status>, 9> kStatus{
    {{"ok", Status::kOk},
     {"error", Status::kError},
     {"full", Status::kFull},
     {"timeout", Status::kTimeout},
     {"connect_failed", Status::kConnectFailed},
     {"reset", Status::kReset},
     {"cancelled", Status::kCancelled},
     {"moot", Status::kMoot},
     {"miss", Status::kMiss}}};

Settings settings_from(const Line& line) {
  Settings s;
  s.seed = line.get<std::uint64_t>("nonce64", 0);
  s.index = line.get<int>("index", 0);
  s.fronts = line.get<int>("n_instances", 1);
  s.zone = line.get<int>("my_zone", 0);
  const std::string info = "family_info.";
  const auto fresh = line.numbers<Time>(info + "class_fresh");
  const auto grace = line.numbers<Time>(info + "grace_for");
  const auto aged = line.numbers<double>(info + "aged_worth");
  const auto parts = line.list(info + "in_parts");
  const auto never = line.list(info + "never_kept");
  const std::array<std::pair<std::string_view, Repeat>, 3> repeats{
      {{"free", Repeat::kSafe}, {"guarded", Repeat::kKeyed}, {"single_shot", Repeat::kUnsafe}}};
  const std::array<std::pair<std::string_view, KeyScope>, 3> scopes{
      {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}}};
  const auto count = line.get<std::size_t>("categories.count", 0);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string at = "categories." + std::to_string(i) + ".";
    ClassSettings c;
    c.aim = line.get<Time>(at + "aim", 0);
    c.aim_stretch = line.get<double>(at + "aim_stretch", 0.0);
    c.deadline = line.get<Time>(at + "deadline", 0);
    c.worth = line.get<double>(at + "credit", 1.0);
    c.late_worth = line.get<double>(at + "late_worth", 0.0);
    c.repeat = word(line, at + "repeat", repeats);
    c.key_scope = word(line, at + "key_scope", scopes);
    c.key_ttl = line.get<Time>(at + "key_ttl", 0);
    if (i < fresh.size()) c.fresh = fresh[i];
    if (i < grace.size()) c.grace = grace[i];
    if (i < aged.size()) c.stale_worth = aged[i];
    if (i < parts.size()) c.in_parts = parts[i] == "true" || parts[i] == "1";
    if (i < never.size()) c.never_kept = never[i] == "true" || never[i] == "1";
    s.classes.push_back(c);
  }
  s.zone_hub = line.numbers<int>(info + "zone_hub");
  s.zone_fronts = line.numbers<int>(info + "seats_by_zone");
  s.parent_kind = line.get<int>(info + "mid_kind", -1);
  s.origin_kind = line.get<int>(info + "store_kind", -1);
  s.client_kb_per_s = line.get<double>(info + "client_kb_per_s", 0.0);
  s.direct = line.flag(info + "pass_through_ok");
  s.joins = line.flag(info + "can_join");
  s.push = line.text("discovery") != "ask";
  s.second_copies = line.flag("limits.second_copies");
  s.cancel = line.flag("limits.cancel");
  s.probes = line.flag("limits.probes");
  s.peers = line.flag("limits.peers");
  s.siblings =
      word(line, info + "sideways",
           std::array<std::pair<std::string_view, Siblings>, 3>{
               {{"silent", Siblings::kNone}, {"location", Siblings::kLocation}, {"any", Siblings::kAny}}});
  s.notes = word(line, info + "notes_given",
                 std::array<std::pair<std::string_view, Notes>, 3>{
                     {{"silent", Notes::kNone}, {"hit", Notes::kHit}, {"all", Notes::kAll}}});
  s.scales = word(line, "weight_source",
                  std::array<std::pair<std::string_view, Scales>, 4>{{{"silent", Scales::kNone},
                                                                      {"nominal", Scales::kNominal},
                                                                      {"rough", Scales::kRough},
                                                                      {"live", Scales::kLive}}});
  s.cold_from = line.get<double>("rules.cold_from", 1.0);
  s.ramp = line.get<Time>("rules.ramp_time", 0);
  s.fall_multiple = line.get<double>("rules.fall_multiple", 0.0);
  s.fall_window = line.get<Time>("rules.fall", 0);
  s.parent_cold_from = line.get<double>(info + "upper_cold_from", 1.0);
  s.parent_ramp = line.get<Time>(info + "upper_cold", 0);
  s.parent_fall_multiple = line.get<double>(info + "parent_fall_multiple", 0.0);
  s.drain_grace = line.get<Time>("rules.drain_grace", 0);
  s.purge_grace = line.get<Time>(info + "purge_grace", 0);
  s.purge_settle = line.get<Time>(info + "purge_settles", 0);
  s.ask_every = line.get<Time>("rules.ask_every", 0);
  for (ClassSettings& c : s.classes) c.max_attempts = line.get<int>("limits.max_attempts", 1);
  s.max_retry_after = line.get<Time>("limits.max_retry_after", 0);
  s.tick = line.get<Time>("tick", 0);
  return s;
}

LoadReport report_from(const Line& line) {
  LoadReport report;
  for (const auto pair : line.list("telemetry")) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) throw Malformed("bad load report");
    report[std::string(pair.substr(0, colon))] = number<double>(pair.substr(colon + 1), "telemetry");
  }
  return report;
}

class Link {
 public:
  Link(std::ostream& out, std::ostream& err) : out_(out), err_(err) {}

  void take(std::string_view text) {
    const Line line(text);
    if (pending_ > 0 && line.name != "ENTRY") throw Malformed("an ENTRY line is missing");
    if (line.name == "BEGIN_BATCH") {
      now_ = line.need<Time>("time");
      round_ = line.need("round");
    } else if (line.name == "COMMIT") {
      out_ << "READY\tround=" << round_ << '\n' << std::flush;
    } else if (line.name == "CATALOG") {
      slot_ = line.need<int>("slot");
      pending_ = line.get<int>("rows", 0);
      catalogs_[slot_].clear();
    } else if (line.name == "ENTRY") {
      if (pending_-- <= 0) throw Malformed("an ENTRY outside a CATALOG");
      catalogs_[slot_].push_back(member(line));
    } else {
      event(line);
    }
  }

 private:
  static Member member(const Line& line) {
    Member m;
    m.id = std::string(line.need("cache"));
    m.kind = line.get<int>("sku", 0);
    m.zone = line.get<int>("zone", 0);
    m.cell = line.get<int>("cluster", 0);
    m.scale = line.get<double>("scale", 1.0);
    m.started_at = line.get<Time>("started_at", 0);
    m.state = word(line, "condition",
                   std::array<std::pair<std::string_view, State>, 3>{
                       {{"U", State::kUp}, {"L", State::kDraining}, {"D", State::kGone}}});
    return m;
  }

  void event(const Line& line) {
    static constexpr std::array<std::string_view, 11> kKnown{"ENLIST",      "KILLED",   "VIEW",      "ACCEPT",
                                                             "UNDER_WAY",   "RESPONSE", "ABANDONED", "FIRED",
                                                             "STATUS_BACK", "WHISPER",  "STRUCK_OUT"};
    if (std::find(kKnown.begin(), kKnown.end(), line.name) == kKnown.end()) {
      if (unknown_.insert(std::string(line.name)).second) {
        err_ << "benchlink: skipped unknown message '" << line.name << "'" << std::endl;
      }
      return;
    }
    const int front = line.need<int>("front_id");
    if (line.name == "ENLIST") {
      fronts_.insert_or_assign(front, Control(settings_from(line)));
      return;
    }
    if (line.name == "KILLED") {
      fronts_.erase(front);
      return;
    }
    const auto it = fronts_.find(front);
    if (it == fronts_.end()) throw Malformed("front " + std::to_string(front) + " was not started");
    Actions actions;
    dispatch(line, it->second, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& a) { print(front, a); }, action);
    }
  }

  void dispatch(const Line& line, Control& control, Actions& out) {
    if (line.name == "VIEW") {
      const ListKind kind =
          word(line, "form",
               std::array<std::pair<std::string_view, ListKind>, 4>{{{"INCREMENTAL", ListKind::kChanges},
                                                                     {"FULL", ListKind::kFull},
                                                                     {"SAVED", ListKind::kSaved},
                                                                     {"FAILED", ListKind::kFailed}}});
      const auto slot = catalogs_.find(line.get<int>("slot", 0));
      const bool none = kind == ListKind::kFailed;
      if (!none && slot == catalogs_.end()) throw Malformed("VIEW of a CATALOG that was not sent");
      static const std::vector<Member> kNone;
      control.members(now_, kind, none ? kNone : slot->second, out);
    } else if (line.name == "ACCEPT") {
      Request r;
      r.id = line.need<std::uint64_t>("job");
      r.object = line.get<std::uint64_t>("asset", 0, 16);
      r.part = line.get<int>("slice", 0);
      r.size_kb = line.get<double>("bytes_k", 0.0);
      r.cls = line.get<int>("kind", 0);
      r.group = line.get<int>("purge_group", 0);
      r.write = (line.get<int>("state_bits", 0) & 4) != 0;
      r.give_up_at = line.need<Time>("give_up_at");
      control.request(now_, r, out);
    } else if (line.name == "UNDER_WAY") {
      control.started(now_, line.need<std::uint64_t>("job"), line.get<int>("seq_no", 0), out);
    } else if (line.name == "RESPONSE") {
      Outcome o;
      o.id = line.need<std::uint64_t>("job");
      o.attempt = line.get<int>("seq_no", 0);
      o.server = std::string(line.text("cache"));
      o.closed = line.flag("closed");
      line.need("status");
      o.status = word(line, "status", kStatus);
      const int note = line.get<int>("remark", 0);
      o.note = note >= 0 && note <= 10 ? static_cast<Note>(note) : Note::kNone;
      o.elapsed = line.get<Time>("elapsed", 0);
      o.first_byte = line.get<Time>("ttfb", 0);
      o.report = report_from(line);
      control.outcome(now_, o, out);
    } else if (line.name == "ABANDONED") {
      control.abandoned(now_, line.need<std::uint64_t>("job"), out);
    } else if (line.name == "FIRED") {
      control.alarm(now_, line.need<std::uint64_t>("nonce"), out);
    } else if (line.name == "STATUS_BACK") {
      const Status status = word(line, "status", kStatus);
      control.probed(now_, std::string(line.text("cache")), status, report_from(line), out);
    } else if (line.name == "WHISPER") {
      control.told(now_, line.get<int>("sender", 0), bytes_from(line.text("blob")), out);
    } else {  // STRUCK_OUT
      Purge p;
      p.whole_group = line.text("asset").empty();
      p.object = line.get<std::uint64_t>("asset", 0, 16);
      p.group = line.get<int>("batch_id", 0);
      p.age = line.get<Time>("age", 0);
      control.purged(now_, p, out);
    }
  }

  static std::string bytes_from(std::string_view hex) {
    std::string bytes;
    if (hex == "-") return bytes;
    if (hex.size() % 2 != 0) throw Malformed("odd number of hex digits");
    for (std::size_t i = 0; i < hex.size(); i += 2) {
      bytes.push_back(static_cast<char>(number<unsigned>(hex.substr(i, 2), "blob", 16)));
    }
    return bytes;
  }

  void print(int front, const Attempt& a) {
    const int mode = (a.join ? 1 : 0) | (a.held_only ? 2 : 0);
    out_ << "SERVE_OR_FILL\tfront_id=" << front << "\tjob=" << a.id << "\tmode=" << mode
         << "\tadmit=" << a.rank << "\ttry_until=" << a.until << "\tfeeder=" << a.source
         << "\tage=" << a.max_age << "\tcache=" << a.server << '\n';
  }
  void print(int front, const Abort& a) {
    out_ << "ABORT_ATTEMPT\tfront_id=" << front << "\tjob=" << a.id << "\tseq_no=" << a.attempt << '\n';
  }
  void print(int front, const Refuse& a) {
    out_ << "REJECT\tfront_id=" << front << "\tjob=" << a.id << "\thold_off=" << a.hold_off << '\n';
  }
  void print(int front, const Fail& a) {
    out_ << "SURRENDER\tfront_id=" << front << "\tjob=" << a.id << '\n';
  }
  void print(int front, const Alarm& a) {
    out_ << "SET_ALARM\tfront_id=" << front << "\tsleep_for=" << a.in << "\tnonce=" << a.token << '\n';
  }
  void print(int front, const Subscribe&) { out_ << "OBSERVE\tfront_id=" << front << "\tenable=1\n"; }

  std::ostream& out_;
  std::ostream& err_;
  Time now_ = 0;
  std::string round_ = "0";
  int slot_ = 0;
  int pending_ = 0;
  std::map<int, std::vector<Member>> catalogs_;
  std::map<int, Control> fronts_;
  std::set<std::string> unknown_;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Link link(out, err);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) continue;
    try {
      link.take(line);
    } catch (const Malformed& e) {
      err << "benchlink: malformed line: " << e.what() << ": " << line << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace anisewick::benchlink
