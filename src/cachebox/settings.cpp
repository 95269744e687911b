#include "cachebox/settings.hpp"

#include <charconv>
#include <set>

#include "depot.pb.h"

namespace anisewick::cachebox {
namespace {

using anisewick::settings::Reader;
using Tree = Reader::Tree;

std::optional<links::Tcp::endpoint> endpoint_from(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  links::Error error;
  const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto r = std::from_chars(text.data() + colon + 1, end, port);
  if (error || r.ec != std::errc{} || r.ptr != end) return std::nullopt;
  return links::Tcp::endpoint(address, port);
}

links::Tcp::endpoint address(Reader& reader, const anisewick::settings::Depot& d, const char* field,
                             const std::string& text) {
  const auto endpoint = endpoint_from(text);
  if (!endpoint) {
    reader.find(
        Reader::line_of(&reader.tree(), d, field),
        std::string(field) + " is '" + text + "': write an IPv4 address and a port, as 127.0.0.1:7101");
  }
  return endpoint.value_or(links::Tcp::endpoint{});
}

void classes(Reader& reader, const anisewick::settings::Depot& d, Settings& s) {
  const Tree* top = &reader.tree();
  if (d.classes_size() == 0)
    reader.find(0, "names no class: write at least one, as classes { name: \"page\" }");
  std::set<std::string> names;
  for (int i = 0; i < d.classes_size(); ++i) {
    const auto& c = d.classes(i);
    const Tree* in = Reader::within(top, d, "classes", i);
    const int line = Reader::line_of(top, d, "classes", i);
    if (c.name().empty() || c.name().find_first_of(" ,=\r\n") != std::string::npos) {
      reader.find(line, "a class has no name that can stand in a request: write a word, as page");
    } else if (!names.insert(c.name()).second) {
      reader.find(line, "the class " + c.name() + " is named twice: write it once");
    }
    constexpr std::uint64_t kDay = 86'400'000;
    reader.range(in, c, "fresh_ms", 0, 365 * kDay, "milliseconds");
    reader.range(in, c, "grace_ms", 0, 365 * kDay, "milliseconds");
    if (c.grace_ms() > 0 && c.fresh_ms() == 0) {
      reader.find(line, "the class " + c.name() +
                            " has a grace and no fresh time: write fresh_ms, or leave grace_ms out");
    }
    if (c.write() && (c.fresh_ms() > 0 || c.grace_ms() > 0)) {
      reader.find(line,
                  "the class " + c.name() + " is a write and never kept: leave fresh_ms and grace_ms out");
    }
    s.classes.push_back({c.name(), c.fresh_ms(), c.grace_ms(), c.write()});
  }
}

void disk_of(Reader& reader, const anisewick::settings::Depot& d, Settings& s) {
  if (!d.has_disk()) return;
  const auto& k = d.disk();
  const Tree* in = Reader::within(&reader.tree(), d, "disk");
  const int line = Reader::line_of(&reader.tree(), d, "disk");
  if (k.folder().empty()) reader.find(line, "the disk has no folder: write folder, or leave disk out");
  reader.range(in, k, "space_mb", 8, 1 << 24, "MB");
  reader.range(in, k, "segment_mb", 1, 4096, "MB");
  if (k.space_mb() < 4 * k.segment_mb()) {
    reader.find(Reader::line_of(in, k, "segment_mb"),
                "segment_mb is over a quarter of space_mb: write " +
                    std::to_string(std::max<std::uint64_t>(1, k.space_mb() / 4)) +
                    " at the most, so that one segment can go while the others serve");
  }
  reader.range(in, k, "most_parts", 1024, 1u << 28, "parts");
  reader.range(in, k, "write_kb_per_s", 0, 1 << 24, "KB a second");
  reader.range(in, k, "write_burst_mb", 1, 1 << 16, "MB");
  reader.range(in, k, "readers", 1, 64, "threads");
  reader.range(in, k, "read_limit_ms", 1, 60'000, "milliseconds");
  reader.range(in, k, "checkpoint_s", 0, 86'400, "seconds");
  reader.range(in, k, "retry_s", 1, 3600, "seconds");
  reader.range(in, k, "ghosts", 0, 1 << 24, "parts");
  Settings::Disk disk;
  disk.folder = k.folder();
  disk.limits.space_bytes = k.space_mb() << 20;
  disk.limits.segment_bytes = k.segment_mb() << 20;
  disk.limits.most_parts = k.most_parts();
  disk.limits.retry_ms = std::int64_t{1000} * k.retry_s();
  disk.limits.checkpoint_ms = std::int64_t{1000} * k.checkpoint_s();
  disk.limits.slow_ms = k.read_limit_ms();
  disk.admission = static_cast<Settings::Disk::Admission>(k.admission());
  disk.ranked.write_bytes_per_s = k.write_kb_per_s() << 10;
  disk.ranked.write_burst_bytes = k.write_burst_mb() << 20;
  disk.ranked.ghosts = k.ghosts();
  disk.readers = static_cast<int>(k.readers());
  disk.read_limit_ms = k.read_limit_ms();
  s.disk = disk;
}

std::optional<Settings> settings_of(Reader& reader, const anisewick::settings::Depot& d) {
  Settings s;
  const Tree* top = &reader.tree();
  const auto id = depot::id_from(d.id());
  if (!id) {
    reader.find(Reader::line_of(top, d, "id"),
                "id is '" + d.id() + "': write the box's id on the list of depots, s- and 8 hex digits");
  }
  s.id = id.value_or(0);
  s.listen = address(reader, d, "listen", d.listen());
  s.bus = address(reader, d, "bus", d.bus());
  s.parent = d.role() == anisewick::settings::Depot::PARENT;
  reader.range(top, d, "parent_kind", 0, 255, "");
  reader.range(top, d, "origin_kind", 0, 255, "");
  if (d.parent_kind() == d.origin_kind()) {
    reader.find(Reader::line_of(top, d, "origin_kind"),
                "parent_kind and origin_kind are the same: write two kinds");
  }
  s.parent_kind = static_cast<int>(d.parent_kind());
  s.origin_kind = static_cast<int>(d.origin_kind());
  classes(reader, d, s);
  reader.range(top, d, "memory_mb", 1, 1 << 20, "MB");
  s.memory_bytes = d.memory_mb() << 20;
  disk_of(reader, d, s);

  const auto& f = d.fills();
  const Tree* in = Reader::within(top, d, "fills");
  reader.range(in, f, "places", 1, 65'536, "fills");
  reader.range(in, f, "timeout_ms", 10, 60'000, "milliseconds");
  reader.range(in, f, "tries", 1, 8, "tries");
  reader.range(in, f, "pause_ms", 1, 10'000, "milliseconds");
  reader.range(in, f, "connect_ms", 1, 10'000, "milliseconds");
  reader.range(in, f, "connections", 1, 65'536, "connections");
  s.fills = {f.places(), f.timeout_ms(), static_cast<int>(f.tries()), f.pause_ms()};
  s.pool.connect_timeout = std::chrono::milliseconds(f.connect_ms());
  s.pool.links = f.connections();

  const auto& l = d.limits();
  in = Reader::within(top, d, "limits");
  reader.range(in, l, "connections", 1, 65'536, "connections");
  reader.range(in, l, "streams", 1, 65'536, "requests");
  reader.range(in, l, "requests", 1, 1 << 20, "requests");
  reader.range(in, l, "unread_kb", 256, 1 << 20, "KB");
  reader.range(in, l, "unread_ms", 100, 600'000, "milliseconds");
  reader.range(in, l, "idle_ms", 100, 3'600'000, "milliseconds");
  reader.range(in, l, "partial_ms", 100, 600'000, "milliseconds");
  s.connections = l.connections();
  s.streams = l.streams();
  s.requests = l.requests();
  s.unread_bytes = std::size_t{l.unread_kb()} << 10;
  s.unread_ms = l.unread_ms();
  s.idle_ms = l.idle_ms();
  s.partial_ms = l.partial_ms();
  s.pool.streams = static_cast<int>(l.streams());
  s.pool.idle = std::chrono::milliseconds(l.idle_ms());

  s.link_bytes_per_s = d.link_bytes_per_s();
  s.flow_bytes_per_s = d.flow_bytes_per_s();
  reader.range(top, d, "bus_away_ms", 0, 600'000, "milliseconds");
  reader.range(top, d, "clock_skew_ms", 0, 60'000, "milliseconds");
  s.bus_away_ms = d.bus_away_ms();
  s.clock_skew_ms = d.clock_skew_ms();
  s.log_level = static_cast<logs::Level>(d.log_level());
  if (!reader.findings().empty()) return std::nullopt;
  return s;
}

}  // namespace

std::optional<Settings> load(const std::string& path, std::vector<settings::Finding>& findings) {
  Reader reader(path);
  anisewick::settings::Depot d;
  std::optional<Settings> s;
  if (reader.load(d)) s = settings_of(reader, d);
  findings = reader.findings();
  return s;
}

std::optional<Settings> parse(const std::string& name, const std::string& text,
                              std::vector<settings::Finding>& findings) {
  Reader reader(name);
  anisewick::settings::Depot d;
  std::optional<Settings> s;
  if (reader.parse(text, d)) s = settings_of(reader, d);
  findings = reader.findings();
  return s;
}

}  // namespace anisewick::cachebox
