#include "fleet/zones/zones.hpp"

#include <algorithm>
#include <cmath>

#include "zones.pb.h"

namespace anisewick::zones {

using What = agreement::Proposer::Result::What;

namespace {

constexpr std::int64_t kSaidMs = 400;      // between two reads of staff's word, by the owner
constexpr std::int64_t kWordMs = 1'000;    // between two words in calm
constexpr std::int64_t kWordSoonMs = 150;  // and while something is wrong, or changes
constexpr std::int64_t kTellAgainMs = 60;  // to one who is behind
constexpr std::int64_t kTellMs = 500;      // to all, while a zone is not in
constexpr std::size_t kTellsAtOnce = 64;

Picture saved_picture(const std::string& saved) {
  wire::ZonesSaved w;
  if (!w.ParseFromString(saved)) return {};
  return picture_from(w.picture().SerializeAsString()).value_or(Picture{});
}
const char* phrase(Mode what) {
  return what == Mode::kLeave ? "is left" : what == Mode::kReturn ? "returns" : "is left to the fleet";
}

}  // namespace

Zones::Zones(const Terms& terms, std::string name, std::string home, std::uint64_t session,
             const std::string& saved, std::int64_t now_ms)
    : terms_(terms),
      name_(name),
      session_(session),
      follower_(terms, std::move(name), std::move(home)),
      judge_(terms) {
  wire::ZonesSaved w;
  if (!w.ParseFromString(saved)) return;
  for (const auto& in : w.wishes()) {
    if (in.what() > static_cast<std::uint32_t>(Mode::kReturn) || wishes_.size() == kMostWishes) continue;
    wishes_.push_back({static_cast<Mode>(in.what()), in.zone()});
  }
  // What was in force before holds until the fleet says otherwise, or for keep_ms.
  if (const Picture before = saved_picture(saved); before.number > 0) {
    follower_.told({before, 0, std::nullopt, 0}, false, now_ms);
  }
}

void Zones::own(std::uint64_t term, std::int64_t now_ms) {
  if (term == term_) return;
  term_ = term;
  fenced_ = read_said_ = false;
  asked_.erase(kNowKey);
  told_at_.clear();
  if (term != 0) judge_.took(now_ms);
}

std::vector<Ask> Zones::next(std::int64_t now_ms, std::int64_t unix_ms) {
  std::vector<Ask> out;
  const auto add = [&](const std::string& key, agreement::Proposer::Change change, bool read = false) {
    if (asked_.try_emplace(key, term_).second) out.push_back({key, std::move(change), read});
  };
  const auto leave = [](const std::string&) -> std::optional<std::string> { return std::nullopt; };
  // Staff's calls, one after another, once they are on disk.
  if (!wishes_.empty() && wished_ <= durable_) {
    add(kSaidKey, [w = wishes_.front()](const std::string& value) -> std::optional<std::string> {
      auto said = said_from(value);
      if (!said || said->of(w.zone) == w.what) return std::nullopt;
      said->leave.erase(w.zone);
      said->back.erase(w.zone);
      if (w.what == Mode::kLeave) said->leave.insert(w.zone);
      if (w.what == Mode::kReturn) said->back.insert(w.zone);
      ++said->version;
      std::string bytes = encode(*said);
      return bytes.size() > agreement::kMostValue ? std::nullopt : std::optional(std::move(bytes));
    });
  }
  if (term_ == 0) return out;
  if (!fenced_) {
    add(kNowKey, [term = term_](const std::string& value) -> std::optional<std::string> {
      auto now = picture_from(value);
      if (!now || now->term >= term) return std::nullopt;
      now->term = term;
      return encode(*now);
    });
    return out;
  }
  if (now_ms >= said_ms_ + kSaidMs && !asked_.contains(kSaidKey)) {
    said_ms_ = now_ms;
    add(kSaidKey, leave, true);
  }
  if (asked_.contains(kNowKey) || !read_said_) return out;
  auto to = judge_.next(now_, said_, now_ms, unix_ms);
  if (!to) return out;
  to->term = term_;
  add(kNowKey,
      [term = term_, number = now_.number,
       bytes = encode(*to)](const std::string& value) -> std::optional<std::string> {
        const auto stands = picture_from(value);
        if (!stands || stands->number != number || stands->term > term) return std::nullopt;
        return bytes;
      });
  return out;
}

bool Zones::settled(const agreement::Proposer::Result& r, std::int64_t now_ms, std::uint64_t& higher) {
  const auto it = asked_.find(r.key);
  if (it == asked_.end()) return true;
  const std::uint64_t of = it->second;
  asked_.erase(it);
  if (r.what == What::kUnknown) return true;
  if (r.key == kSaidKey) {
    const auto said = said_from(r.value);
    if (!said) return true;
    if (said->version >= said_.version) said_ = *said;
    read_said_ = true;
    if (!wishes_.empty() && said->of(wishes_.front().zone) == wishes_.front().what) {
      changes_.push_back({wishes_.front().zone, phrase(wishes_.front().what), "staff's call"});
      wishes_.pop_front();
      ++changed_;
    }
    return true;
  }
  const auto now = picture_from(r.value);
  if (!now || of != term_ || term_ == 0) return true;
  if (now->term > term_) {
    higher = now->term;
    return false;
  }
  if (now->term < term_) return true;
  if (!fenced_) {
    fenced_ = true;
    now_ = *now;
    judge_.found(now_, now_ms);
    stood_ms_ = now_ms;
    return true;
  }
  for (const Entry& e : now->entries) {
    const Entry* was = now_.of(e.zone);
    if (was == nullptr ? e.share != kWhole || e.mode != Mode::kAuto : *was != e)
      changes_.push_back(
          {e.zone, std::string(word(e.phase)) + " " + std::to_string(e.share / 100) + "%", e.why});
  }
  if (now->number != now_.number) stood_ms_ = now_ms;
  now_ = *now;
  judge_.stands(now_, now_ms);
  // Its own doorman changes with the others.
  told(tell(name_, now_ms), true, now_ms);
  return true;
}

std::optional<std::string> Zones::word_due(std::uint64_t term, std::int64_t now_ms) {
  // A new owner knows nothing: what is well shows it where to go as much as what fails.
  const bool other = std::exchange(said_term_, std::max(said_term_, term)) < term;
  if (other) last_word_ms_ = next_word_ms_ = -1'000'000;
  if (now_ms < next_word_ms_) return std::nullopt;
  const std::uint64_t number = follower_.number(now_ms);
  Sight sight = sight_(now_ms);
  follower_.saw(sight.seen, sight.demand, now_ms);
  const bool ill = std::any_of(sight.seen.begin(), sight.seen.end(),
                               [](const evidence::Seen& s) { return s.failing > 0; });
  next_word_ms_ = now_ms + kWordSoonMs;
  // In calm it is said seldom, and looked at often.
  if (!ill && follower_.picture().plain() && said_number_ == number && now_ms < last_word_ms_ + kWordMs)
    return std::nullopt;
  last_word_ms_ = now_ms;
  said_number_ = number;
  Word w;
  w.session = session_;
  w.serial = ++serial_;
  w.number = number;
  w.weight = sight.weight;
  w.ill = sight.ill;
  w.home = follower_.home();
  w.demand = sight.demand;
  w.part = follower_.part(now_ms);
  w.part_serial = follower_.part_serial();
  w.felt = follower_.felt(now_ms);
  w.seen = std::move(sight.seen);
  follower_.said(w.serial, now_ms);
  return encode(w);
}

void Zones::heard(const std::string& name, const std::string& bytes, std::int64_t now_ms) {
  if (term_ == 0) return;
  if (const auto word = word_from(bytes)) judge_.heard(name, *word, now_ms);
}

std::string Zones::tell(const std::string& to, std::int64_t now_ms) {
  Tell t;
  t.picture = picture();
  if (fenced()) {
    t.in_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, stood_ms_ + terms_.ahead_ms - now_ms));
    if (!to.empty()) {
      t.part = judge_.part(to, now_, now_ms);
      t.serial = judge_.serial_of(to);
    }
  }
  return encode(t);
}

void Zones::told(const std::string& bytes, bool by_owner, std::int64_t now_ms) {
  const auto t = tell_from(bytes);
  if (!t) return;
  const std::uint64_t before = follower_.picture().number;
  follower_.told(*t, by_owner, now_ms);
  if (t->picture.number > before || follower_.picture().number != before) {
    ++changed_;
    next_word_ms_ = std::min(next_word_ms_, now_ms + 30);
  }
}

std::vector<std::string> Zones::to_tell(const std::vector<std::string>& alive, std::int64_t now_ms) {
  std::vector<std::string> out;
  if (!fenced() || now_.number == 0) return out;
  const bool plain = now_.plain();
  for (const std::string& name : alive) {
    const bool behind = judge_.number_of(name) < now_.number;
    auto [it, fresh] = told_at_.try_emplace(name, -1'000'000);
    if (plain && !behind) continue;
    // At once when it stands; then again and again, and with its part while there is one.
    const bool first = it->second < stood_ms_;
    if (!first && now_ms < it->second + (behind ? kTellAgainMs : kTellMs)) continue;
    if (!first && out.size() >= kTellsAtOnce) continue;
    it->second = now_ms;
    out.push_back(name);
  }
  return out;
}

std::string Zones::call(Wish wish) {
  if (wish.zone.empty() || wish.zone.size() > kMostName) return "there is no such zone";
  if (wishes_.size() >= kMostWishes) return "too many calls of here wait: ask again";
  wishes_.push_back(std::move(wish));
  wished_ = ++changed_;
  return {};
}

std::string Zones::saved() const {
  wire::ZonesSaved w;
  w.mutable_picture()->ParseFromString(encode(follower_.picture()));
  for (const Wish& wish : wishes_) {
    auto& out = *w.add_wishes();
    out.set_what(static_cast<std::uint32_t>(wish.what));
    out.set_zone(wish.zone);
  }
  return w.SerializeAsString();
}

std::string Zones::text(std::int64_t now_ms, std::int64_t unix_ms) const {
  const Picture& p = picture();
  std::string out = "picture " + std::to_string(p.number) + " of term " + std::to_string(p.term) + "\n";
  std::set<std::string> zones;
  for (const std::string& z : judge_.zones()) zones.insert(z);
  for (const Entry& e : p.entries) zones.insert(e.zone);
  for (const std::string& zone : zones) {
    const Entry* e = p.of(zone);
    out += zone + " ";
    if (e == nullptr) {
      out += "in 100%";
    } else {
      out += std::string(word(e->phase)) + " " + std::to_string(e->share / 100) + "%, " + word(e->mode) +
             ", picture " + std::to_string(e->version) + ", since " +
             std::to_string(std::max<std::int64_t>(0, unix_ms - e->since_ms) / 1000) + " s";
      if (!e->why.empty()) out += ", " + e->why;
      if (e->relapses > 1) out += ", " + std::to_string(e->relapses - 1) + " relapses";
      for (std::size_t i = 0; i < e->hosts.size(); ++i) {
        out += (i == 0 ? ", goes to " : " and ") + e->hosts[i].first + " (" +
               std::to_string(e->hosts[i].second / 100) + "%)";
      }
      if (e->borne < kWhole) out += ", of which " + std::to_string(e->borne / 100) + "% is borne";
    }
    if (fenced()) out += "; " + judge_.evidence(zone, now_ms);
    out += "\n";
  }
  if (fenced()) {
    const Judge::Counters& c = judge_.counters();
    out += "since this owner took it: " + std::to_string(c.left) + " left, " + std::to_string(c.steps) +
           " steps, " + std::to_string(c.returned) + " returned, " + std::to_string(c.relapses) +
           " relapses, " + std::to_string(c.all_bad) + " looks at which no zone was well\n";
  }
  for (const Wish& w : wishes_) out += "call: " + w.zone + " " + phrase(w.what) + ", not the fleet's yet\n";
  return out;
}

}  // namespace anisewick::zones
