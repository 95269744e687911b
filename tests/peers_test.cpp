// Sealed messages: what is let through, and why the rest is not.
#include <catch2/catch.hpp>
#include <random>

#include "fleet/peers/datagram.hpp"
#include "fleet/peers/seal.hpp"

using namespace anisewick;
using namespace anisewick::peers;
using Fault = Seal::Fault;

namespace {

constexpr std::int64_t kNow = 1'764'576'000'000;
const Key kOld{1, "0123456789abcdef"}, kNew{2, "fedcba9876543210"};

}  // namespace

TEST_CASE("what a peer sealed is opened once, by any key that is accepted, with clocks two seconds apart") {
  Seal a({kNew, kOld}, 11, {}), b({kOld, kNew}, 12, {});
  Fault fault{};
  for (const std::string& text : {std::string(), std::string("hello"), std::string(1200, '\0')}) {
    const std::string sealed = a.close(text, kNow);
    const auto got = b.open(sealed, kNow + 2000, fault);
    REQUIRE(got);
    CHECK(*got == text);
    CHECK_FALSE(b.open(sealed, kNow + 2001, fault));
    CHECK(fault == Fault::kReplay);
  }
  // Late and out of order is fine; again is not, nor far behind.
  std::vector<std::string> many;
  for (int i = 0; i < 100; ++i) many.push_back(a.close("x", kNow));
  CHECK(b.open(many[99], kNow, fault));
  CHECK(b.open(many[36], kNow, fault));
  CHECK_FALSE(b.open(many[36], kNow, fault));
  CHECK_FALSE(b.open(many[35], kNow, fault));
  CHECK(fault == Fault::kReplay);
}

TEST_CASE(
    "what is changed in any byte, cut off, late, of another key or version is refused, and not remembered") {
  Seal a({kOld}, 11, {}), b({kOld}, 12, {});
  const std::string sealed = a.close("payload", kNow);
  Fault fault{};
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string bad = sealed;
    bad[i] = static_cast<char>(bad[i] ^ 0x40);
    CAPTURE(i);
    CHECK_FALSE(b.open(bad, kNow, fault));
    CHECK(fault == (i == 0 ? Fault::kVersion : i == 1 ? Fault::kKey : Fault::kMac));
    CHECK_FALSE(b.open(std::string_view(sealed).substr(0, i), kNow, fault));
  }
  CHECK_FALSE(b.open(sealed, kNow + 30'001, fault));
  CHECK(fault == Fault::kTime);
  CHECK_FALSE(b.open(sealed, kNow - 30'001, fault));
  CHECK(b.sessions() == 0);
  CHECK(b.open(sealed, kNow + 30'000, fault));
  // The key goes: what it sealed goes with it.
  const std::string more = a.close("more", kNow);
  b.rotate({kNew});
  CHECK_FALSE(b.open(more, kNow, fault));
  CHECK(fault == Fault::kKey);
}

TEST_CASE("sessions are bounded") {
  Seal::Limits limits;
  limits.sessions = 100;
  Seal b({kOld}, 1, limits);
  Fault fault{};
  for (std::uint64_t s = 2; s < 2000; ++s) {
    Seal a({kOld}, s, {});
    CHECK(b.open(a.close("x", kNow + static_cast<std::int64_t>(s)), kNow + static_cast<std::int64_t>(s),
                 fault));
    CHECK(b.sessions() <= 100);
  }
}

TEST_CASE("the membership's messages as datagrams: the same again, bounded, and nothing else is one") {
  using membership::Message;
  std::mt19937_64 random(5);
  const auto name = [&](std::size_t least) { return std::string(least + random() % (33 - least), 'n'); };
  const auto peer = [&] {
    membership::Peer p;
    p.name = name(1);
    p.gossip = {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random())};
    p.snapshots = {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random())};
    p.incarnation = random();
    p.up_s = static_cast<std::uint32_t>(random());
    return p;
  };
  for (int i = 0; i < 300; ++i) {
    Message m;
    m.kind = static_cast<Message::Kind>(1 + random() % 3);
    m.sequence = static_cast<std::uint32_t>(random());
    m.from = peer();
    m.target = peer().gossip;
    m.target_name = name(0);
    for (std::size_t n = random() % 40; n > 0; --n) {
      m.news.push_back({peer(), static_cast<membership::State>(random() % 4), name(0)});
    }
    const std::string bytes = datagram_of(m);
    CHECK(bytes.size() <= kMostDatagram);
    const auto got = message_from(bytes);
    REQUIRE(got);
    CHECK(got->news.size() <= m.news.size());
    CHECK((m.news.size() > 10 || got->news.size() == m.news.size()));
    m.news.resize(got->news.size());
    CHECK(datagram_of(*got) == datagram_of(m));
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
      CHECK_FALSE(message_from(std::string_view(bytes).substr(0, cut)));
    CHECK_FALSE(message_from(bytes + "x"));
    // Whatever noise makes of it, it is read within its bounds.
    for (int n = 0; n < 50; ++n) {
      std::string bad = bytes;
      bad[random() % bad.size()] = static_cast<char>(random());
      if (const auto odd = message_from(bad)) CHECK(datagram_of(*odd).size() == bad.size());
    }
  }
}
