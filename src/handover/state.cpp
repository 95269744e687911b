#include "handover/state.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "depot/fields.hpp"
#include "handover/sealed.hpp"

namespace anisewick::handover {
namespace {

using depot::number;

constexpr std::string_view kWhat = "anisewick-state";
constexpr int kVersion = 1;
constexpr std::size_t kMostRunners = 16;

bool flag(std::string_view text, bool& value) {
  value = text == "1";
  return value || text == "0";
}

bool line_into(State& state, const std::vector<std::string_view>& w) {
  if (w.size() == 3 && w[0] == "drain") {
    return flag(w[1], state.drain.on) && number(w[2], state.drain.at_ms);
  }
  if (w.size() == 4 && w[0] == "mark") {
    holds::Mark mark;
    const auto id = depot::id_from(w[1]);
    if (!id || !flag(w[2], mark.held) || !number(w[3], mark.at_ms)) return false;
    mark.depot = *id;
    state.marks.push_back(mark);
    return true;
  }
  if (w.size() == 4 && w[0] == "runner") {
    Runner runner;
    if (!number(w[1], runner.incarnation, 16) || !number(w[2], runner.started_ms) ||
        !flag(w[3], runner.ready))
      return false;
    state.runners.push_back(runner);
    return state.runners.size() <= kMostRunners;
  }
  return false;
}

bool later(const Runner& a, const Runner& b) {
  return std::tie(a.started_ms, a.incarnation) > std::tie(b.started_ms, b.incarnation);
}

}  // namespace

std::string encode(const State& state) {
  std::string body =
      "drain " + std::to_string(state.drain.on) + " " + std::to_string(state.drain.at_ms) + "\n";
  for (const holds::Mark& m : state.marks) {
    body += "mark " + depot::text_of(m.depot) + " " + std::to_string(m.held) + " " + std::to_string(m.at_ms) +
            "\n";
  }
  for (const Runner& r : state.runners) {
    body += "runner " + hex(r.incarnation) + " " + std::to_string(r.started_ms) + " " +
            std::to_string(r.ready) + "\n";
  }
  return sealed(kWhat, kVersion, state.name, body);
}

std::optional<State> decode(std::string_view bytes, std::string_view name, std::string& why) {
  const auto body = opened(bytes, kWhat, kVersion, name, why);
  if (!body) return std::nullopt;
  bytes = *body;
  State state;
  state.name = name;
  while (!bytes.empty()) {
    if (!line_into(state, words_of(next_line(bytes)))) {
      why = "it has a line that cannot be read";
      return std::nullopt;
    }
  }
  return state;
}

State merged(const State& a, const State& b) {
  State all;
  all.name = a.name;
  const auto word = [](const Drain& d) { return std::tuple(d.at_ms, d.on); };
  all.drain = word(b.drain) > word(a.drain) ? b.drain : a.drain;
  std::map<depot::Id, holds::Mark> marks;
  std::map<std::uint64_t, Runner> runners;
  for (const State* s : {&a, &b}) {
    for (const holds::Mark& m : s->marks) {
      const auto [it, fresh] = marks.emplace(m.depot, m);
      if (!fresh && std::tie(m.at_ms, m.held) > std::tie(it->second.at_ms, it->second.held)) it->second = m;
    }
    for (const Runner& r : s->runners) {
      const auto [it, fresh] = runners.emplace(r.incarnation, r);
      if (!fresh) it->second.ready = it->second.ready || r.ready;
    }
  }
  for (const auto& [id, m] : marks) all.marks.push_back(m);
  for (const auto& [id, r] : runners) all.runners.push_back(r);
  return all;
}

Others others(const State& state, std::uint64_t incarnation) {
  Others others;
  const auto self = std::find_if(state.runners.begin(), state.runners.end(),
                                 [&](const Runner& r) { return r.incarnation == incarnation; });
  if (self == state.runners.end()) return others;
  for (const Runner& r : state.runners) {
    if (r.incarnation == incarnation) continue;
    if (later(r, *self)) {
      (r.ready ? others.after : others.starting) = true;
    } else {
      others.before = others.before || r.ready;
    }
  }
  return others;
}

}  // namespace anisewick::handover
