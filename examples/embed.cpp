// The smallest use of the library: one front, one cache, one origin, one request.
#include <iostream>

#include "anisewick/control.hpp"

int main() {
  anisewick::Settings settings;
  settings.seed = 1;
  settings.classes.emplace_back().max_attempts = 3;
  settings.origin_kind = 1;
  anisewick::Control control(settings);

  anisewick::Actions actions;
  anisewick::Member cache, origin;
  cache.id = "cache-1";
  origin.id = "origin";
  origin.kind = 1;
  control.members(0, anisewick::ListKind::kSaved, {cache, origin}, actions);

  anisewick::Request request;
  request.id = 1;
  request.object = 42;
  request.give_up_at = 2'000'000'000;
  control.request(1'000'000, request, actions);

  for (const auto& action : actions) {
    if (const auto* attempt = std::get_if<anisewick::Attempt>(&action)) {
      std::cout << "ask " << attempt->server << ", fill from " << attempt->source << '\n';
      return 0;
    }
  }
  return 1;
}
