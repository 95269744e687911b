#include "fleet/work/crew.hpp"

#include <algorithm>

#include "fleet/agreement/mistakes.hpp"
#include "work.pb.h"

namespace anisewick::work {

using agreement::Mistake;
using agreement::mistaken;
using What = agreement::Proposer::Result::What;

namespace {

constexpr std::int64_t kEnrolMs = 200;  // between two tries to be on the list

wire::WorkSaved parsed(const std::string& saved) {
  wire::WorkSaved w;
  if (!w.ParseFromString(saved)) w.Clear();
  return w;
}
Now now_in(const std::string& saved) {
  if (mistaken(Mistake::kPictureForgotten)) return {};
  return now_from(parsed(saved).now().SerializeAsString()).value_or(Now{});
}
std::vector<Wish> wishes_in(const std::string& saved) {
  std::vector<Wish> out;
  const wire::WorkSaved all = parsed(saved);
  for (const auto& w : all.wishes()) {
    if (w.what() < 1 || w.what() > static_cast<std::uint32_t>(Wish::What::kChange)) continue;
    if (out.size() == Staff::kMostWishes) break;
    out.push_back({static_cast<Wish::What>(w.what()), w.job(), w.machine(), w.id(), w.file(), w.digest()});
  }
  return out;
}

}  // namespace

Crew::Crew(std::string name, std::uint64_t session, const Times& times, const std::string& saved,
           std::function<std::pair<bool, std::uint64_t>(const std::string&)> staff,
           std::function<std::uint64_t()> orders)
    : name_(std::move(name)),
      session_(session),
      permit_(times, now_in(saved)),
      steps_(times, library_,
             {[this](const std::string& depot) { return doorman_.ready(depot); }, std::move(staff),
              std::move(orders), [this] { return unrest_(); }}),
      staff_(library_, wishes_in(saved)) {
  durable_number_ = permit_.now().number;
}

void Crew::own(std::uint64_t term, std::int64_t now_ms) {
  if (term == steps_.term()) return;
  std::erase_if(asked_, [](const auto& kv) { return kv.second == Whose::kSteps; });
  term == 0 ? steps_.lost() : steps_.took(term, now_ms);
}

std::vector<Ask> Crew::next(std::int64_t now_ms, std::int64_t unix_ms) {
  std::vector<Ask> out;
  const auto add = [&](Ask ask, Whose whose) {
    if (asked_.try_emplace(ask.key, whose).second) return out.push_back(std::move(ask));
    // Something else is asked of it just now.
    if (whose == Whose::kSteps) steps_.again(ask.key);
    if (whose == Whose::kStaff) staff_.again(ask.key);
    if (whose == Whose::kLibrary) library_.again(ask.key);
  };
  const auto leave = [](const std::string&) -> std::optional<std::string> { return std::nullopt; };
  if (!enrolled_) {
    // First on the list, then the picture: whoever calls a machine out reads them the other way round.
    if (now_ms >= enrol_ms_ + kEnrolMs && !asked_.contains(roll_key(name_))) {
      enrol_ms_ = now_ms;
      add({roll_key(name_),
           [name = name_](const std::string& value) -> std::optional<std::string> {
             auto roll = roll_from(value);
             if (!roll || !roll->insert(name).second) return std::nullopt;
             std::string bytes = encode(*roll);
             return bytes.size() > agreement::kMostValue ? std::nullopt : std::optional(std::move(bytes));
           }},
          Whose::kRoll);
    }
  } else if (permit_.due(now_ms) && !asked_.contains(kNowKey)) {
    permit_.asked(now_ms);
    add({kNowKey, leave, true}, Whose::kPermit);
  }
  for (Ask& ask : steps_.next(now_ms, unix_ms)) add(std::move(ask), Whose::kSteps);
  // A call that is not on disk yet is not begun: it could be forgotten half-way.
  if (wished_ <= durable_) {
    const std::size_t before = staff_.wishes().size();
    for (Ask& ask : staff_.next(permit_.now(), now_ms, unix_ms)) add(std::move(ask), Whose::kStaff);
    if (staff_.wishes().size() != before) ++changed_;
  }
  for (const std::string& key : library_.due(now_ms)) {
    if (!asked_.contains(key)) add({key, leave, true}, Whose::kLibrary);
  }
  return out;
}

void Crew::again(const std::string& key) {
  const auto it = asked_.find(key);
  if (it == asked_.end()) return;
  if (it->second == Whose::kSteps) steps_.again(key);
  if (it->second == Whose::kStaff) staff_.again(key);
  if (it->second == Whose::kLibrary) library_.again(key);
  asked_.erase(it);
}

bool Crew::settled(const agreement::Proposer::Result& r, std::int64_t now_ms, std::uint64_t& higher) {
  const auto it = asked_.find(r.key);
  if (it == asked_.end()) return true;
  const Whose whose = it->second;
  asked_.erase(it);
  if (r.what != What::kUnknown) {
    if (r.key == kNowKey) {
      const auto now = now_from(r.value);
      // Whoever is not on the list yet must not take what it found for the whole.
      if (now && enrolled_ && permit_.read(*now, r.asked_ms, now_ms)) numbers_[++changed_] = now->number;
    } else {
      library_.took(r.key, r.value, r.asked_ms);
    }
    if (whose == Whose::kRoll) {
      const auto roll = roll_from(r.value);
      enrolled_ = roll && roll->contains(name_);
    }
  }
  if (whose == Whose::kStaff) {
    const std::size_t before = staff_.wishes().size();
    staff_.settled(r);
    if (staff_.wishes().size() != before) ++changed_;
  }
  return whose != Whose::kSteps || steps_.settled(r, now_ms, higher);
}

std::string Crew::saved() const {
  wire::WorkSaved w;
  w.mutable_now()->ParseFromString(encode(permit_.now()));
  for (const Wish& wish : staff_.wishes()) {
    auto& out = *w.add_wishes();
    out.set_what(static_cast<std::uint32_t>(wish.what));
    out.set_job(wish.job);
    out.set_machine(wish.machine);
    out.set_id(wish.id);
    out.set_file(wish.file);
    out.set_digest(wish.digest);
  }
  return w.SerializeAsString();
}

void Crew::durable(std::uint64_t changed) {
  durable_ = std::max(durable_, changed);
  while (!numbers_.empty() && numbers_.begin()->first <= changed) {
    durable_number_ = numbers_.begin()->second;
    numbers_.erase(numbers_.begin());
  }
}

bool Crew::asked_out() const {
  for (const Active& a : permit_.now().active) {
    if (a.kind == Kind::kDoorman && a.machine == name_ && left_alone(a.state) && a.session == session_)
      return true;
  }
  return false;
}

std::optional<Word> Crew::word_now() const {
  const Now& now = permit_.now();
  if (now.active.empty()) return std::nullopt;
  Word w;
  w.number = mistaken(Mistake::kWordBeforeDisk) ? now.number : durable_number_;
  w.session = session_;
  w.up = doorman_.up() && permit_.ever();
  w.idle = doorman_.idle();
  // Of a picture that is on disk and not read yet, it can say nothing but the number.
  if (!permit_.ever()) w.number = 0;
  for (const Active& a : now.active) {
    if (a.kind != Kind::kDoorman) w.lines.push_back(doorman_.look(a.machine));
  }
  w.ill = doorman_.ill();
  if (w.ill.size() > kMostIll) w.ill.resize(kMostIll);
  return w;
}

std::string Crew::call(Wish wish) {
  if (!staff_.wish(std::move(wish))) return "too many calls of here wait: ask again";
  wished_ = ++changed_;
  return {};
}

}  // namespace anisewick::work
