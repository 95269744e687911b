#include "fleet/work/choose.hpp"

#include <algorithm>
#include <set>

#include "work.pb.h"

namespace anisewick::work {

std::vector<Wrong> choose(wire::Work& f, std::vector<Known> known) {
  std::vector<Wrong> wrong;
  std::sort(known.begin(), known.end(), [](const Known& a, const Known& b) { return a.id < b.id; });
  std::set<std::string> there;
  for (const auto& m : f.machines()) there.insert(m.id());
  for (const auto& m : f.others()) there.insert(m.id());
  const auto take = [&](const char* field, const wire::WorkSelect& s, int index, bool wanted) {
    const auto& like = s.like();
    if (!like.id().empty()) {
      wrong.push_back(
          {field, index, "like has the id " + like.id() + ": write it among the machines instead"});
      return;
    }
    bool any = false;
    for (const Known& k : known) {
      const auto before = static_cast<std::int64_t>(s.started_before()) * 1000;
      if (k.kind != static_cast<Kind>(like.kind()) || (!like.zone().empty() && k.zone != like.zone()) ||
          (s.started_before() != 0 && k.started_ms >= before)) {
        continue;
      }
      any = true;
      if (!there.insert(k.id).second) continue;
      auto& m = wanted ? *f.add_machines() : *f.add_others();
      m = like;
      m.set_id(k.id);
      m.set_zone(k.zone);
    }
    // Of the rest there may be none; a job for nobody is a mistake in the file.
    if (!any && wanted) {
      wrong.push_back({field, index,
                       "nobody here is of this kind" +
                           (like.zone().empty() ? "" : " in zone " + like.zone()) +
                           (s.started_before() == 0 ? "" : " and that old") +
                           ": write a zone, a kind or a time that somebody has"});
    }
  };
  const auto select = f.select(), rest = f.rest();
  for (int i = 0; i < select.size(); ++i) take("select", select.Get(i), i, true);
  for (int i = 0; i < rest.size(); ++i) take("rest", rest.Get(i), i, false);
  f.clear_select();
  f.clear_rest();
  return wrong;
}

}  // namespace anisewick::work
