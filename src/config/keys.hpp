// Which keys a configuration has: one table after the pages, by which a file is checked at the start and at a
// reload alike. A key that is not in the table is passed over.
// Source: the platform's deployment page (the file), wire page (`settings`), protocol page (`known`).
#ifndef ANISEWICK_CONFIG_KEYS_HPP_
#define ANISEWICK_CONFIG_KEYS_HPP_

#include <simdjson.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anisewick::config {

enum class Presence {
  kRequired,           // without it the file is not whole
  kRequiredIfGuarded,  // of a class: only where `repeat` is "guarded"
  kOptional,           // the pages say that it may be absent
  // The pages have it and no decision needs it: a platform may leave it out altogether, but a file that has
  // lost it since the one in force was cut on its way.
  kKept,
};

struct Key {
  std::string_view path;  // names from the top, separated by dots; "[]" after a list: in each of its objects
  Presence presence;
};

// Objects come before what is in them.
std::span<const Key> known_keys();

// A key of kind kKept that a file has.
struct KeptKey {
  std::string class_name;  // of a key in `settings.categories`; else empty
  std::string_view path;   // as in the table
};

// What is to be said of the first required key that is missing; empty: none is.
std::string missing_key(simdjson::dom::element file);
std::vector<KeptKey> kept_keys(simdjson::dom::element file);

}  // namespace anisewick::config

#endif  // ANISEWICK_CONFIG_KEYS_HPP_
