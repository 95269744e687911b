#include "fleet/part/settings.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include "fleet.pb.h"

namespace anisewick::part {
namespace {

using anisewick::settings::Reader;
using membership::Address;
using Tree = Reader::Tree;

constexpr std::size_t kLeastSecret = 16;
constexpr std::size_t kMostMembers = 4096;

std::optional<Address> address_from(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  asio::error_code error;
  const auto ip = asio::ip::make_address_v4(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto r = std::from_chars(text.data() + colon + 1, end, port);
  if (error || r.ec != std::errc{} || r.ptr != end || port == 0) return std::nullopt;
  return Address{ip.to_uint(), port};
}

bool is_word(const std::string& name) {
  return !name.empty() && name.size() <= membership::kMostName &&
         name.find_first_of(" /\t\r\n") == std::string::npos;
}

class Checker {
 public:
  Checker(Reader& reader, const anisewick::settings::Fleet& f)
      : reader_(reader), f_(f), top_(&reader.tree()) {}

  std::optional<Settings> settings() {
    names();
    addresses();
    keys();
    members();
    voters();
    duties();
    times();
    work();
    zones();
    rest();
    if (!reader_.findings().empty()) return std::nullopt;
    return s_;
  }

 private:
  int line(const char* field, int index = -1) const { return Reader::line_of(top_, f_, field, index); }
  void find(const char* field, const std::string& what, int index = -1) {
    reader_.find(line(field, index), what);
  }

  void names() {
    const auto word = [&](const char* field, const std::string& value, const char* example) {
      if (is_word(value)) return;
      find(field, std::string(field) + " is '" + value + "': write a word of up to 32 bytes, as " + example);
    };
    word("fleet", f_.fleet(), "al-waha");
    word("name", f_.name(), "n1");
    if (f_.has_zone()) word("zone", f_.zone(), "centre-1");
    s_.fleet = f_.fleet();
    s_.member.name = f_.name();
    s_.member.zone = f_.zone();
    s_.folder = f_.state_folder();
    if (s_.folder.empty())
      find("state_folder", "there is no state_folder: write a folder that lasts over restarts");
  }

  Address address(const char* field, const std::string& text) {
    const auto a = address_from(text);
    if (!a) {
      find(field,
           std::string(field) + " is '" + text + "': write an IPv4 address and a port, as 127.0.0.1:7801");
    }
    return a.value_or(Address{});
  }
  void addresses() {
    const Address listen = address("listen", f_.listen());
    s_.listen = {asio::ip::address_v4(listen.ip), listen.port};
    s_.member.address = f_.has_advertise() ? address("advertise", f_.advertise()) : listen;
    if (!f_.has_advertise() && listen.ip == 0 && listen.port != 0) {
      find("listen",
           "listen is on every address: write advertise too, by which the others reach this member");
    }
  }

  void keys() {
    if (f_.keys_size() == 0)
      find("keys", "there is no key: write keys { id: 1 secret: \"...\" }, the same for all");
    std::set<std::uint32_t> ids;
    for (int i = 0; i < f_.keys_size(); ++i) {
      const auto& k = f_.keys(i);
      const Tree* in = Reader::within(top_, f_, "keys", i);
      reader_.range(in, k, "id", 0, 255, "");
      if (!ids.insert(k.id()).second) {
        find("keys", "the key " + std::to_string(k.id()) + " is there twice: give each an id of its own", i);
      }
      if (k.secret().size() < kLeastSecret) {
        find("keys",
             "the secret of key " + std::to_string(k.id()) + " has " + std::to_string(k.secret().size()) +
                 " bytes: write at least " + std::to_string(kLeastSecret),
             i);
      }
      s_.keys.push_back({static_cast<std::uint8_t>(k.id()), k.secret()});
    }
  }

  void members() {
    if (f_.members_size() == 0)
      find("members", "there are no members: write those that are known beforehand");
    if (f_.members_size() > static_cast<int>(kMostMembers)) find("members", "there are over 4096 members");
    std::map<Address, std::string> taken;
    for (int i = 0; i < f_.members_size(); ++i) {
      const auto& m = f_.members(i);
      if (!is_word(m.name())) find("members", "a member's name is '" + m.name() + "': write a word", i);
      const auto a = address_from(m.address());
      if (!a) {
        find("members",
             "the address of " + m.name() + " is '" + m.address() + "': write it as 127.0.0.1:7801", i);
        continue;
      }
      if (!by_name_.emplace(m.name(), *a).second) {
        find("members", "the member " + m.name() + " is there twice: write it once", i);
      }
      const auto [it, fresh] = taken.emplace(*a, m.name());
      if (!fresh && it->second != m.name()) {
        find("members", m.name() + " has the address of " + it->second + ": give each one of its own", i);
      }
      if (m.name() == f_.name() && *a != s_.member.address) {
        find("members",
             "this member's address here is " + m.address() +
                 ", and by listen or advertise another: write the same",
             i);
      }
      if (m.name() != f_.name()) s_.member.seeds.push_back(*a);
    }
  }

  void voters() {
    const int n = f_.voters_size();
    if (n != 3 && n != 5 && n != 7) {
      find("voters",
           "there are " + std::to_string(n) + " voters: write 3, 5 or 7 of the members' names, so that " +
               "one more than half of them is clear",
           n > 0 ? 0 : -1);
    }
    std::set<std::string> seen;
    for (int i = 0; i < n; ++i) {
      const std::string& name = f_.voters(i);
      if (!seen.insert(name).second)
        find("voters", "the voter " + name + " is there twice: write it once", i);
      const auto it = by_name_.find(name);
      if (it == by_name_.end()) {
        find("voters", "the voter " + name + " is not among the members: write it there with its address", i);
        continue;
      }
      s_.member.voters.emplace_back(name, it->second);
    }
  }

  void duties() {
    s_.member.duties = {{member::kHolds, {}}};
    std::set<std::string> seen;
    for (int i = 0; i < f_.duties_size(); ++i) {
      const auto& d = f_.duties(i);
      if (!is_word(d.name()) || d.name().size() > 24) {
        find("duties", "a duty's name is '" + d.name() + "': write a word of up to 24 bytes", i);
      }
      if (!seen.insert(d.name()).second) find("duties", "the duty " + d.name() + " is there twice", i);
      if (d.name() == member::kHolds) {
        s_.member.duties.front().zone = d.zone();
      } else {
        s_.member.duties.push_back({d.name(), d.zone()});
      }
    }
    if (f_.duties_size() > 16) find("duties", "there are over 16 duties");
  }

  void times() {
    reader_.range(top_, f_, "lease_ms", 500, 600'000, "milliseconds");
    reader_.range(top_, f_, "drift_ppm", 1000, 200'000, "millionths");
    reader_.range(top_, f_, "probe_ms", 50, 60'000, "milliseconds");
    reader_.range(top_, f_, "gossip_ms", 20, 60'000, "milliseconds");
    reader_.range(top_, f_, "young_ms", 0, 600'000, "milliseconds");
    reader_.range(top_, f_, "window_ms", 1000, 600'000, "milliseconds");
    s_.window_ms = f_.window_ms();
    auto& m = s_.member;
    m.lease.lease_ms = f_.lease_ms();
    m.lease.drift_ppm = f_.drift_ppm();
    m.proposer.give_up_ms = f_.lease_ms() * 3 / 4;
    // A renewal begins after a third of the lease; a round and its repetition must fit into what is left.
    if (f_.lease_ms() >= 500 && f_.lease_ms() * 2 / 3 < m.proposer.round_ms) {
      find("lease_ms", "lease_ms is " + std::to_string(f_.lease_ms()) +
                           ", too short to be renewed: write at least " +
                           std::to_string(m.proposer.round_ms * 3 / 2));
    }
    m.swim.period_ms = f_.probe_ms();
    m.swim.ack_ms = f_.probe_ms() * 3 / 10;
    m.swim.revive_ms = std::int64_t{5} * f_.probe_ms();
    m.gossip_ms = f_.gossip_ms();
    m.young_ms = f_.young_ms();
  }

  void work() {
    const auto& w = f_.work();
    const Tree* in = Reader::within(top_, f_, "work");
    reader_.range(in, w, "permit_ms", 300, 60'000, "milliseconds");
    reader_.range(in, w, "longest_ms", 100, 600'000, "milliseconds");
    reader_.range(in, w, "calm_ms", 0, 3'600'000, "milliseconds");
    s_.work_file = w.file();
    s_.member.work = {w.permit_ms(), f_.drift_ppm(), w.longest_ms(), w.calm_ms()};
    need_duty(f_.has_work(), anisewick::work::kDuty);
  }
  void need_duty(bool settings, const std::string& name) {
    const auto& duties = s_.member.duties;
    if (!settings || std::any_of(duties.begin(), duties.end(), [&](const auto& d) { return d.name == name; }))
      return;
    find(name.c_str(), "there are settings of " + name + ", and no such duty: write duties { name: \"" +
                           name + "\" } in all files");
  }

  void zones() {
    const auto& z = f_.zones();
    const Tree* in = Reader::within(top_, f_, "zones");
    reader_.range(in, z, "ahead_ms", 0, 2'000, "milliseconds");
    reader_.range(in, z, "step_ms", 50, 60'000, "milliseconds");
    reader_.range(in, z, "hold_ms", 100, 600'000, "milliseconds");
    reader_.range(in, z, "most_hold_ms", 100, 3'600'000, "milliseconds");
    reader_.range(in, z, "part_ms", 500, 60'000, "milliseconds");
    reader_.range(in, z, "keep_ms", 1'000, 3'600'000, "milliseconds");
    auto& t = s_.member.zones;
    t.ahead_ms = z.ahead_ms();
    t.step_ms = z.step_ms();
    t.hold_ms = z.hold_ms();
    t.most_hold_ms = z.most_hold_ms();
    t.part_ms = z.part_ms();
    t.keep_ms = z.keep_ms();
    t.drift_ppm = f_.drift_ppm();
    if (z.most_hold_ms() < z.hold_ms()) {
      reader_.find(Reader::line_of(in, z, "most_hold_ms"),
                   "most_hold_ms is less than hold_ms: write at least that");
    }
    std::set<std::string> in_region, borne;
    for (int i = 0; i < z.regions_size(); ++i) {
      const auto& r = z.regions(i);
      anisewick::zones::Region region{r.name(), {}};
      for (const std::string& zone : r.zones()) {
        if (zone.empty() || zone.size() > anisewick::zones::kMostName) {
          reader_.find(Reader::line_of(in, z, "regions", i),
                       "the zone '" + zone + "' is no name: write 1 to 24 bytes, as RELAY_CONFIG calls it");
        }
        if (!in_region.insert(zone).second) {
          reader_.find(Reader::line_of(in, z, "regions", i),
                       "the zone " + zone + " is in two regions: write it once");
        }
        region.zones.push_back(zone);
      }
      if (region.zones.size() < 2) {
        reader_.find(Reader::line_of(in, z, "regions", i),
                     "the region '" + r.name() + "' has fewer than two zones: a zone alone needs none");
      }
      t.regions.push_back(std::move(region));
    }
    for (int i = 0; i < z.bears_size(); ++i) {
      const auto& b = z.bears(i);
      const auto amount = [](double v) { return v >= 0.0 && v <= 1e9; };
      if (!borne.insert(b.zone()).second) {
        reader_.find(Reader::line_of(in, z, "bears", i),
                     "the zone " + b.zone() + " is there twice: write it once");
      }
      if (b.zone().empty() || !amount(b.requests()) || !amount(b.fills())) {
        reader_.find(Reader::line_of(in, z, "bears", i),
                     "bears needs a zone, and requests and fills of 0 to 1e9 a second");
      }
      t.bears[b.zone()] = {b.requests(), b.fills()};
    }
    need_duty(f_.has_zones(), anisewick::zones::kDuty);
  }

  void rest() {
    const auto& d = f_.doorman();
    s_.config = d.config();
    s_.relay = d.listen();
    s_.door = d.door();
    s_.log_level = static_cast<logs::Level>(f_.log_level());
    s_.clock_ahead_ms = f_.faults().clock_ahead_ms();
    s_.clock_rate = 1.0 + static_cast<double>(f_.faults().clock_rate_ppm()) / 1e6;
    s_.member.careless = f_.faults().careless();
    s_.evidence_late_ms = f_.faults().evidence_late_ms();
  }

  Reader& reader_;
  const anisewick::settings::Fleet& f_;
  const Tree* top_;
  std::map<std::string, Address> by_name_;
  Settings s_;
};

}  // namespace

std::optional<Settings> load(const std::string& path, std::vector<settings::Finding>& findings) {
  Reader reader(path);
  anisewick::settings::Fleet f;
  std::optional<Settings> s;
  if (reader.load(f)) s = Checker(reader, f).settings();
  findings = reader.findings();
  return s;
}

std::optional<Settings> parse(const std::string& name, const std::string& text,
                              std::vector<settings::Finding>& findings) {
  Reader reader(name);
  anisewick::settings::Fleet f;
  std::optional<Settings> s;
  if (reader.parse(text, f)) s = Checker(reader, f).settings();
  findings = reader.findings();
  return s;
}

}  // namespace anisewick::part
