// Which keys a configuration must have, key by key: at the start, and in a file that comes after another.
#include "config/config.hpp"

#include <simdjson.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

using namespace anisewick;

namespace {

// The file without the key at the end of a path of the table, in every object of a list.
std::string without(simdjson::dom::element at, std::string_view path) {
  std::ostringstream out;
  simdjson::dom::object object;
  simdjson::dom::array list;
  const char* between = "";
  if (at.get(object) == simdjson::SUCCESS) {
    const std::size_t dot = path.find('.');
    std::string_view name = path.substr(0, dot);
    const std::string_view rest = dot == std::string_view::npos ? "" : path.substr(dot + 1);
    if (name.ends_with("[]")) name.remove_suffix(2);
    out << '{';
    for (const auto field : object) {
      if (field.key == name && rest.empty()) continue;
      out << std::exchange(between, ",") << '"' << field.key << "\":";
      out << without(field.value, field.key == name ? rest : "/");
    }
    out << '}';
  } else if (at.get(list) == simdjson::SUCCESS) {
    out << '[';
    for (const auto one : list) out << std::exchange(between, ",") << without(one, path);
    out << ']';
  } else {
    out << at;
  }
  return out.str();
}

// A file with every key of the pages.
std::string whole_file() {
  const std::string categories =
      R"([{"name":"guide-video","aim":400,"aim_stretch":1.6,"credit":2.0,"deadline":5000,"key_scope":"all",
           "key_ttl":5,"late_worth":0.15,"repeat":"free","stream":false},
          {"name":"pay","aim":600,"aim_stretch":1.0,"credit":3.0,"deadline":3000,"key_scope":"all",
           "key_ttl":5,"late_worth":0.0,"repeat":"guarded","stream":false}])";
  const std::string family =
      R"({"aged_worth":[0.7,0.7],"byte_fee":0.02,"can_join":true,"class_fresh":[0,0],"client_kb_per_s":10.0,
          "grace_for":[0,0],"in_parts":[false,false],"mid_kind":1,"never_kept":[false,true],
          "notes_given":"all",
          "origin_over_for":3,"origin_stops_at":0.0,"parent_fall_multiple":2.0,"pass_through_ok":false,
          "purge_grace":1,"purge_settles":6,"report_x0":"hits","report_x1":"link","seats_by_zone":[0,1],
          "sideways":"silent","store_kind":2,"upper_cold":22,"upper_cold_from":0.061,"zone_hub":[0,0],
          "zone_link_kb_per_s":[0.0,1.0]})";
  const std::string limits =
      R"({"cancel":true,"conn_idle":3,"connect_timeout":4,"cpu_us_per_request":0.0,"cpu_us_per_s":4,
          "max_attempts":8,"max_open":20,"max_retry_after":1,"max_streams":100,"peers":false,"probes":true,
          "retry_after":true,"second_copies":false})";
  const std::string prices =
      R"({"connection":0.0,"cross_zone":0.0,"discovery":0.0,"fleet":0.0,"handshake":0.0,"late_fail":0.0,
          "moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.0})";
  const std::string rules =
      R"({"ask_every":1,"cold_from":0.2,"drain_grace":2,"fall":1,"fall_multiple":3.0,"grace_to_answer":8,
          "ramp_time":16})";
  const std::string known =
      R"({"offset":2,"batch":[{"offset":1,"topology":{"seq":1,"whole":true,"hosts":[
          {"host":"s-00000001","dial":"127.0.0.1:1","site":"east","class":"box","block":0,"health":"Ready",
           "share":4,"born_ms":0}]}},{"offset":2,"ban":{"tag":1,"ts":1}}]})";
  return R"({"name":"n0","listen":"127.0.0.1:1","ops":"127.0.0.1:2","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":"127.0.0.1:3","flow_bytes_per_s":3,
    "link_bytes_per_s":4,"known":)" +
         known + R"(,"settings":{"accounts":[],"categories":)" + categories +
         R"(,"clients":{"marks_retry":false},"discovery":"push","domain_type":"edge","family_info":)" +
         family +
         R"(,"goal":{"whole":0.5,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.2},
    "index":0,"limits":)" +
         limits + R"(,"machine_types":["box","parent"],"my_zone":1,"n_instances":1,"over_share_worth":0.1,
    "prices":)" +
         prices + R"(,"rules":)" + rules +
         R"(,"stages":["a"],"stats":{"how":"silent","names":[]},"tick":2,"tier":0,"value_by":"request",
    "weight_source":"nominal","zones":["hub","east"]}})";
}

// What is said against the file without this key, at the start or after the file that has it.
std::string objection(const std::string& file, std::string_view path) {
  simdjson::dom::parser parser;
  const simdjson::dom::element whole = parser.parse(file.data(), file.size());
  try {
    config::need_kept_keys(config::parse(file), config::parse(without(whole, path)));
  } catch (const config::Bad& bad) {
    return bad.what();
  }
  return "";
}

}  // namespace

// Guards against a sound file that is turned down, and one that is cut and taken (review/7).
TEST_CASE("Each key of the configuration, absent at the start and at a reload") {
  const std::string file = whole_file();
  CHECK(config::parse(file).remarks.empty());
  simdjson::dom::parser parser;
  const simdjson::dom::element whole = parser.parse(file.data(), file.size());
  for (const config::Key& key : config::known_keys()) {
    INFO(key.path);
    REQUIRE(without(whole, key.path) != without(whole, "/"));  // the file has it
    const std::string said = objection(file, key.path);
    const bool may_be_absent = key.presence == config::Presence::kOptional;
    CHECK(said.empty() == may_be_absent);
    if (!may_be_absent) CHECK(said.find("'" + std::string(key.path) + "'") != std::string::npos);
    const bool starts_without = may_be_absent || key.presence == config::Presence::kKept;
    if (starts_without) CHECK_NOTHROW(config::parse(without(whole, key.path)));
    if (!starts_without) CHECK_THROWS_AS(config::parse(without(whole, key.path)), config::Bad);
  }
}

TEST_CASE("Classes that come and go bind nobody to keys that a class may lack") {
  const std::string file = whole_file(), first = R"([{"name":"guide-video")";
  const auto after = [&](const std::string& from, const std::string& to) {
    std::string text = file;
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
      text.replace(at, from.size(), to);
    return config::parse(text);
  };
  const config::Config in_force = config::parse(file);
  // A class more, with what every class must have and no more.
  const config::Config more = after(
      first,
      R"([{"name":"new","aim":1,"credit":1,"deadline":1,"repeat":"single_shot"},{"name":"guide-video")");
  CHECK_NOTHROW(config::need_kept_keys(in_force, more));
  REQUIRE(more.classes.size() == 3);
  // Nobody can tell whose the two values of each list are: what may not be repeated counts as a write.
  REQUIRE(more.remarks.size() == 5);
  CHECK(more.remarks[0] ==
        "'settings.family_info.class_fresh' is passed over: it has 2 values for 3 classes");
  CHECK((more.settings.classes[0].never_kept && !more.settings.classes[1].never_kept));
  CHECK(more.settings.classes[2].never_kept);
  CHECK_NOTHROW(config::need_kept_keys(more, in_force));  // and it goes again
  // A class of that name has lost a key that only it must keep.
  CHECK_THROWS_AS(config::need_kept_keys(in_force, after(R"("late_worth":0.15,)", "")), config::Bad);
  CHECK_NOTHROW(config::need_kept_keys(in_force, after(R"("aim_stretch":1.6,)", "")));
  // The key of a repeat is asked of who may repeat by it.
  CHECK_NOTHROW(after(R"("key_scope":"all",
           "key_ttl":5,"late_worth":0.15)",
                      R"("late_worth":0.15)"));
  CHECK_THROWS_AS(after(R"("key_ttl":5,"late_worth":0.0)", R"("late_worth":0.0)"), config::Bad);
}
