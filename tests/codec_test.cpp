// Tables of cases for everything that reads bytes.
#include <catch2/catch.hpp>

#include "bus/bus.hpp"
#include "config/config.hpp"
#include "depot/depot.hpp"
#include "fastcgi/fastcgi.hpp"
#include "peers.hpp"

using namespace anisewick;
using peers::begin;
using peers::param;
using peers::record;

namespace {

// What a session makes of bytes, in words.
std::string read_session(const std::string& bytes, std::size_t step, fastcgi::Limits limits = {}) {
  fastcgi::Session session(limits);
  std::string out, replies;
  std::vector<fastcgi::Event> events;
  for (std::size_t at = 0; at < bytes.size() && out.empty(); at += step) {
    session.add(std::string_view(bytes).substr(at, step));
    fastcgi::Event event;
    auto next = session.next(event, replies);
    for (; next == fastcgi::Session::Next::kEvent; next = session.next(event, replies))
      events.push_back(std::move(event));
    if (next == fastcgi::Session::Next::kMalformed) out = "malformed ";
  }
  for (const auto& e : events) {
    const bool asked = e.kind == fastcgi::Event::Kind::kRequest;
    out += (asked ? "request " : "aborted ") + std::to_string(e.request.id);
    if (e.request.too_large) out += " too-large";
    for (const auto& [name, value] : e.request.params) out += " " + name + "=" + value;
    if (!e.request.body.empty()) out += " body=" + e.request.body;
    out += ";";
  }
  for (std::size_t at = 0; at + 8 <= replies.size();) {
    const auto type = static_cast<int>(replies[at + 1]);
    const auto n = static_cast<std::size_t>(static_cast<unsigned char>(replies[at + 5]));
    out += "reply " + std::to_string(type) + " to " + std::to_string(replies[at + 3]) + ":";
    for (const char c : replies.substr(at + 8, n)) {
      const bool plain = c > ' ';
      out += plain ? std::string(1, c) : std::to_string(static_cast<int>(c));
    }
    out += ";";
    at += 8 + n;
  }
  return out;
}

std::string padded(std::string rec, std::size_t n) {
  rec[6] = static_cast<char>(n);
  return rec + std::string(n, 'x');
}

}  // namespace

TEST_CASE("FastCGI records, split anywhere") {
  const std::string long_name(200, 'n'), long_value(300, 'v');
  const std::string tail = record(4, 1, "") + record(5, 1, "");
  struct Case {
    std::string what, bytes, want;
  };
  const std::vector<Case> cases{
      {"plain", begin(1) + record(4, 1, param("A", "b")) + tail, "request 1 A=b;"},
      {"body", begin(1) + record(4, 1, "") + record(5, 1, "xy") + record(5, 1, "z") + record(5, 1, ""),
       "request 1 body=xyz;"},
      {"long lengths", begin(1) + record(4, 1, param(long_name, long_value)) + tail,
       "request 1 " + long_name + "=" + long_value + ";"},
      {"a pair over two records",
       begin(1) + record(4, 1, param("A", "bcd").substr(0, 3)) + record(4, 1, param("A", "bcd").substr(3)) +
           tail,
       "request 1 A=bcd;"},
      {"padding",
       begin(1) + padded(record(4, 1, param("A", "b")), 7) + padded(record(4, 1, ""), 255) + record(5, 1, ""),
       "request 1 A=b;"},
      {"two interleaved",
       begin(1) + begin(2) + record(4, 2, param("B", "2")) + record(4, 1, param("A", "1")) +
           record(4, 2, "") + record(5, 2, "b") + record(4, 1, "") + record(5, 1, "a") + record(5, 2, "") +
           record(5, 1, ""),
       "request 2 B=2 body=b;request 1 A=1 body=a;"},
      {"abort of a whole one", begin(1) + tail + record(2, 1, ""),
       "request 1;aborted 1;reply 3 to 1:00000000;"},
      {"abort of a part", begin(1) + record(4, 1, param("A", "b")) + record(2, 1, "") + tail,
       "reply 3 to 1:00000000;"},
      {"abort of none", record(2, 9, ""), ""},
      {"an id again after abort", begin(1) + tail + record(2, 1, "") + begin(1) + tail,
       "request 1;aborted 1;request 1;reply 3 to 1:00000000;"},
      {"unknown role", begin(1, 3) + tail, "reply 3 to 1:00003000;"},
      {"get values", record(9, 0, param("FCGI_MPXS_CONNS", "") + param("OTHER", "")),
       "reply 10 to 0:151FCGI_MPXS_CONNS1;"},
      {"limits", begin(1) + record(9, 0, param("FCGI_MAX_CONNS", "") + param("FCGI_MAX_REQS", "")),
       "reply 10 to 0:141FCGI_MAX_CONNS1132FCGI_MAX_REQS32;"},
      {"unknown management type", record(99, 0, "abc"), "reply 11 to 0:c0000000;"},
      {"unknown type within a request", begin(1) + record(77, 1, "abc") + tail, "request 1;"},
      {"records of no request", record(4, 5, "zz") + record(5, 5, "zz"), ""},
      {"parameters too large",
       begin(1) + record(4, 1, std::string(60, 'p')) + record(4, 1, std::string(60, 'p')) + tail,
       "request 1 too-large;"},
      {"too large and without an end",
       begin(1) + record(4, 1, std::string(60, 'p')) + record(4, 1, std::string(60, 'p')),
       "request 1 too-large;"},
      {"an id again before the end",
       begin(1) + record(4, 1, std::string(60, 'p')) + record(4, 1, std::string(60, 'p')) + begin(1),
       "malformed request 1 too-large;"},
      {"body too large", begin(1) + record(4, 1, "") + record(5, 1, std::string(60, 'b')) + record(5, 1, ""),
       "request 1 too-large;"},
      {"one too many", begin(1) + begin(2) + begin(3), "reply 3 to 3:00002000;"},
      {"other version", "\x02" + begin(1).substr(1), "malformed "},
      {"another protocol", "GET / HTTP/1.1\r\n\r\n", "malformed "},
      {"short begin", record(1, 1, "abc"), "malformed "},
      {"begin of id 0", begin(0), "malformed "},
      {"begin of an open id", begin(1) + begin(1), "malformed "},
      {"a length past the end", begin(1) + record(4, 1, std::string("\x01\x09", 2) + "Ab") + tail,
       "malformed "},
      {"a cut long length", begin(1) + record(4, 1, "\x81") + tail, "malformed "},
      {"body ends before the parameters", begin(1) + record(5, 1, ""), "malformed "},
  };
  for (const Case& c : cases) {
    fastcgi::Limits limits;
    if (c.bytes.find("pppp") != std::string::npos) limits.params = 100;
    if (c.what == "body too large") limits.body = 50;
    if (c.what == "one too many") limits.open = 2;
    for (const std::size_t step : {1, 3, 7, 8, 100'000}) {
      INFO(c.what << ", " << step << " bytes at a time");
      CHECK(read_session(c.bytes, step, limits) == c.want);
    }
  }
}

TEST_CASE("An answer over 64 KiB takes several records, and its bytes stay whole") {
  std::string body;
  for (int i = 0; i < 200'000; ++i) body.push_back(static_cast<char>(i * 7));
  std::string out;
  fastcgi::append_stdout(out, 5, body);
  std::string joined;
  for (std::size_t at = 0; at < out.size();) {
    const auto b = [&](std::size_t i) {
      return static_cast<std::size_t>(static_cast<unsigned char>(out[at + i]));
    };
    REQUIRE(b(1) == 6);
    joined += out.substr(at + 8, b(4) << 8 | b(5));
    at += 8 + (b(4) << 8 | b(5)) + b(6);
  }
  CHECK(joined == body);
}

TEST_CASE("Requests to depots") {
  depot::Fetch f;
  f.id = "9b1f03aa5c7e2d41";
  f.profile = "slot-page";
  f.thing = "7f3a9c21e0b4d655";
  f.nth = "03";
  f.max_ms = 900;
  const std::string start = "fetch 9b1f03aa5c7e2d41 profile=slot-page,thing=7f3a9c21e0b4d655,nth=03,max=900";
  CHECK(depot::fetch_bytes(f) == start + " 0\r\n\r\n");
  f.from = 0x00c41f7a;
  f.rank = 2;
  f.oldest_ms = 70;
  f.collapse = true;
  f.body = "a\r\nb";
  CHECK(depot::fetch_bytes(f) == start + ",from=s-00c41f7a,rank=2,oldest=70,mode=collapse 4\r\na\r\nb\r\n");
  f.only_if_cached = true;
  f.seen = "4be0";
  f.body = "";
  CHECK(depot::fetch_bytes(f) ==
        start + ",from=s-00c41f7a,rank=2,oldest=70,mode=collapse+only-if-cached,seen=4be0 0\r\n\r\n");
  CHECK(depot::abort_bytes("x1") == "abort x1\r\n");
  CHECK(depot::id_from("s-00c41f7a") == 0x00c41f7au);
  for (const char* bad : {"", "s-", "s-00c41f7", "s-00c41f7ag", "x-00c41f7a", "s-00c41f7g"}) {
    CHECK_FALSE(depot::id_from(bad).has_value());
  }
}

TEST_CASE("Answers of depots, split anywhere") {
  struct Case {
    std::string bytes, want;
  };
  const std::vector<Case> cases{
      {"x DONE ver=1,born=2,remark=hit 5\r\nab\r\nc\r\n", "x 0 r1 w0 'ab\r\nc';"},
      {"x KEEP remark=stale 0\r\n\r\n", "x 1 r5 w0 '';"},
      {"x LACK remark=joined,waited=12.5 0\r\n\r\ny WAIT - 0\r\n\r\n", "x 2 r4 w12.5 '';y 3 r0 w0 '';"},
      {"x BROKE remark=origin_failed 0\r\n\r\n", "x 4 r10 w0 '';"},
      {"x PAST remark=new_word,more=1 0\r\n\r\n", "x 5 r0 w0 '';"},
      {"x NEWER a=b 3\r\nabc\r\n", "malformed"},
      {"x DONE\r\n", "malformed"},
      {"x DONE  0\r\n\r\n", "malformed"},
      {"x DONE ver=1,bo\x01rn 0\r\n\r\n", "malformed"},
      {"x DONE ver=1,,born=2 0\r\n\r\n", "malformed"},
      {"x DONE - 240001\r\n", "malformed"},
      {"x DONE - 3221225472\r\n", "malformed"},
      {"x DONE - 2\r\nabc\r\n", "malformed"},
      {"x DONE - no\r\n", "malformed"},
      {"x DONE - -1\r\n", "malformed"},
      {"x DONE - 99999999\r\n", "malformed"},
      {"x DONE waited=soon 0\r\n", "malformed"},
      {"x DONE waited=nan 0\r\n", "malformed"},
      {"x DONE waited=inf 0\r\n", "malformed"},
      {"x DONE waited=-1 0\r\n", "malformed"},
      {"x DONE - 0\n\r\n", "malformed"},
      {" DONE - 0\r\n", "malformed"},
      {"word\r\n", "malformed"},
      {std::string(5000, 'x'), "malformed"},
  };
  for (const Case& c : cases) {
    for (const std::size_t step : {1, 2, 5, 10'000}) {
      depot::AnswerReader reader;
      std::vector<depot::Answer> answers;
      bool fine = true;
      for (std::size_t at = 0; at < c.bytes.size() && fine; at += step) {
        fine = reader.feed(std::string_view(c.bytes).substr(at, step), answers);
      }
      std::ostringstream got;
      for (const auto& a : answers) {
        got << a.id << ' ' << static_cast<int>(a.word) << " r" << a.remark << " w" << a.waited_ms << " '"
            << a.body << "';";
      }
      INFO(c.bytes.substr(0, 80) << ", " << step << " bytes at a time");
      CHECK((fine ? got.str() : "malformed") == c.want);
    }
  }
}

TEST_CASE("Frames of the event bus, split anywhere") {
  const auto hex = [](const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
      out.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
    }
    return out;
  };
  const std::string head = "000000000000002a";  // event 42
  const std::string depot =
      "00c41f7a"
      "7f000105"
      "1b59"
      "01"
      "02"
      "00"
      "0102"
      "000009c4"
      "0000000000000539";
  struct Case {
    std::string frame, want;
  };
  const std::vector<Case> cases{
      {"00000009" + head + "00", "42 0"},
      {"00000024" + head + "01" + depot, "42 1 [c41f7a 7f000105:7001 s1 z2 k0 c258 w2.5 t1337]"},
      {"00000024" + head + "02" + depot, "42 2 [c41f7a 7f000105:7001 s1 z2 k0 c258 w2.5 t1337]"},
      {"00000009" + head + "01", "42 1"},
      {"00000019" + head + "03" + "7f3a9c21e0b4d655" + "0000000000000007", "42 3 7f3a9c21e0b4d655 at 7"},
      {"00000013" + head + "04" + "0011" + "0000000000000007", "42 4 group 17 at 7"},
      {"0000000b" + head + "09" + "ffff", "42 0"},
      {"00000008" + head, "malformed"},
      {"ffffffff" + head, "malformed"},
      {"0000000a" + head + "01" + "00", "malformed"},
      {"00000012" + head + "03" + "7f3a9c21e0b4d655" + "00", "malformed"},
      {"0000000a" + head + "04" + "00", "malformed"},
      {"00000024" + head + "01" + "00c41f7a7f0001051b5907" + depot.substr(22), "malformed"},
  };
  for (const Case& c : cases) {
    const std::string bytes = hex(c.frame);
    for (const std::size_t step : {1, 4, 1000}) {
      bus::FrameReader reader;
      std::vector<bus::Event> events;
      bool fine = true;
      for (std::size_t at = 0; at < bytes.size() && fine; at += step) {
        fine = reader.feed(std::string_view(bytes).substr(at, step), events);
      }
      std::ostringstream got;
      for (const auto& e : events) {
        got << e.number << ' ' << static_cast<int>(e.kind);
        for (const auto& d : e.depots) {
          got << " [" << std::hex << d.id << ' ' << d.address << std::dec << ':' << d.port << " s"
              << static_cast<int>(d.state) << " z" << d.zone << " k" << d.kind << " c" << d.cell << " w"
              << d.weight << " t" << d.started_ms << ']';
        }
        if (e.kind == bus::Event::Kind::kObjectPurge) got << ' ' << std::hex << e.object << std::dec;
        if (e.kind == bus::Event::Kind::kGroupPurge) got << " group " << e.group;
        if (e.purged_ms != 0) got << " at " << e.purged_ms;
      }
      INFO(c.frame << ", " << step << " bytes at a time");
      CHECK((fine ? got.str() : "malformed") == c.want);
    }
  }
  CHECK(bus::hello_bytes(0x0102) == std::string("\0\0\0\0\0\0\x01\x02", 8));
}

TEST_CASE("The configuration") {
  const std::string good = R"({"name":"n3","listen":"127.0.0.4:7001","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":"127.2.0.1:7070",
    "known":{"offset":43,"batch":[
      {"offset":41,"topology":{"seq":7,"whole":true,"hosts":[{"host":"s-00c41f7a","dial":"127.1.0.9:7002",
        "site":"east","class":"parent","block":2,"health":"Terminating","share":4,"born_ms":5}]}},
      {"offset":42,"ban":{"url":"7f3a9c21e0b4d655","ts":11}},{"offset":43,"ban":{"tag":17,"ts":12}}]},
    "settings":{"my_zone":1,"n_instances":1,"index":0,"tick":2000000,
      "zones":["hub","east"],"machine_types":["box","parent"],"weight_source":"nominal",
      "categories":[{"name":"book-slot","aim":600000000,"credit":3.0,"late_worth":0.1,"deadline":3e9,
                     "repeat":"single_shot"},
                    {"name":"slot-page","aim":4e8,"aim_stretch":2.0,"credit":1.0,"deadline":2500000000,
                     "repeat":"free"}],
      "family_info":{"class_fresh":[0,8000000000],"grace_for":[0,0],"never_kept":[true,false],"mid_kind":1,
        "store_kind":2,"client_kb_per_s":10500.0,"can_join":true,"notes_given":"all","zone_hub":[0,0],
        "seats_by_zone":[0,1],"purge_settles":6000000000,"purge_grace":1000000000,"upper_cold_from":0.061,
        "upper_cold":22000000000,"parent_fall_multiple":2.0,"sideways":"silent"},
      "rules":{"cold_from":0.2,"ramp_time":16000000000,"fall_multiple":3.0,"fall":1000000000},
      "prices":{"handshake":0.1,"fleet":0.1},
      "limits":{"max_attempts":8,"max_retry_after":1000000000,"max_streams":100,"connect_timeout":400000000,
        "conn_idle":30000000000}}})";
  const auto c = config::parse(good);
  CHECK((c.listen.address == 0x7f000004 && c.listen.port == 7001 && c.bus.port == 7070));
  CHECK((c.memory_mb == 192 && c.sockets == 1024 && c.streams == 100 && c.connect_timeout == 400'000'000));
  CHECK((c.settings.seed == 0x8c1f30d27a5be964 && c.settings.zone == 1));
  CHECK((c.settings.classes[1].max_attempts == 8));
  CHECK(c.classes == std::vector<std::string>{"book-slot", "slot-page"});
  CHECK((c.settings.classes[0].repeat == Repeat::kUnsafe && c.settings.classes[0].never_kept));
  CHECK((c.settings.classes[1].aim == 400'000'000 && c.settings.classes[1].fresh == 8'000'000'000));
  CHECK((c.settings.parent_kind == 1 && c.settings.cold_from == 0.2));
  REQUIRE((c.known_number == 43 && c.known.size() == 3));
  const bus::Depot& d = c.known[0].depots.at(0);
  CHECK((d.id == 0xc41f7a && d.address == 0x7f010009 && d.port == 7002 && d.zone == 1 && d.kind == 1));
  CHECK((d.state == bus::State::kDraining && d.weight == 4.0 && d.started_ms == 5));
  CHECK((c.known[1].object == 0x7f3a9c21e0b4d655 && c.known[1].purged_ms == 11));
  CHECK((c.known[2].kind == bus::Event::Kind::kGroupPurge && c.known[2].group == 17));

  const std::vector<std::pair<std::string, std::string>> spoiled{
      {"\"listen\":\"127.0.0.4:7001\"", "\"listen\":\"here\""},
      {"\"listen\":\"127.0.0.4:7001\"", "\"listen\":\"127.0.0.400:7001\""},
      {"127.2.0.1:7070", "127.2.0.1:70700"},
      {"\"bus\"", "\"omnibus\""},
      {"8c1f30d27a5be964", "zz"},
      {"\"repeat\":\"free\"", "\"repeat\":\"maybe\""},
      {"\"repeat\":\"free\"", "\"other\":1"},
      {"\"my_zone\":1", "\"my_zone\":\"east\""},
      {"\"site\":\"east\"", "\"site\":\"west\""},
      {"s-00c41f7a", "c41f7a"},
      {"\"family_info\":{", "\"family\":{"},
      {"\"name\":\"n3\"", "\"name\":"},
      {"\"deadline\":3e9", "\"deadline\":0"},
      {"\"deadline\":3e9", "\"deadline\":-5"},
      {"\"deadline\":3e9", "\"deadline\":0.4"},
      {"\"deadline\":3e9", "\"deadline\":\"3000\""},
      {"\"deadline\":3e9", "\"deadline\":null"},
      {"\"deadline\":3e9", "\"deadline\":true"},
      {"\"deadline\":3e9", "\"deadline\":1e999"},
      {"\"deadline\":3e9,", ""},
      {"\"max_attempts\":8", "\"max_attempts\":0"},
      {"\"max_attempts\":8", "\"max_attempts\":-1"},
      {"\"max_attempts\":8", "\"max_attempts\":\"8\""},
      {"\"max_attempts\":8", "\"max_attempts\":[8]"},
      {"\"max_attempts\":8,", ""},
      {"\"name\":\"slot-page\"", "\"name\":\"book-slot\""},
      {"\"name\":\"slot-page\",", ""},
  };
  for (const auto& [from, to] : spoiled) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    INFO(from << " as " << to);
    CHECK_THROWS_AS(config::parse(bad), config::Bad);
  }
  // Cut short anywhere it is no file at all.
  for (std::size_t n = 0; n < good.size(); n += 13)
    CHECK_THROWS_AS(config::parse(good.substr(0, n)), config::Bad);

  // Another file after it: more and other values are fine, and so is another class.
  const std::vector<std::pair<std::string, std::string>> changed{
      {"\"cores\":1.0,", "\"cores\":0.5,\"more\":1,"},
      {"\"ban\":{\"tag\":17,\"ts\":12}", "\"ban\":{\"tag\":18,\"ts\":13}"},
      {"{\"name\":\"slot-page\"",
       "{\"name\":\"more\",\"aim\":1,\"credit\":1,\"deadline\":5,\"repeat\":\"free\"},{\"name\":\"slot-"
       "page\""},
  };
  for (const auto& [from, to] : changed) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    INFO(from << " as " << to);
    CHECK_NOTHROW(config::need_kept_keys(c, config::parse(text)));
  }
  CHECK_THROWS_AS(config::load("/nowhere/config.json"), config::Bad);

  const auto example = config::load(ANISEWICK_EXAMPLE);
  CHECK((example.classes.size() == 3 && example.known.at(0).depots.size() == 4 && example.bus.port == 7070));
}
