// The state file of one member (docs/design/fleet-state.md): written whole, read once at the start. Calls
// block; `write` may come from another thread than the rest, one at a time.
#ifndef ANISEWICK_FLEET_STORE_STORE_HPP_
#define ANISEWICK_FLEET_STORE_STORE_HPP_

#include <memory>
#include <optional>
#include <string>

#include "disk/files.hpp"
#include "fleet/talk/talk.hpp"

namespace anisewick::store {

class Store {
 public:
  // `files`: the folder. `who`: the fleet's name and the member's.
  Store(std::unique_ptr<disk::Files> files, const std::string& fleet, const std::string& member);

  // 0, or a negative errno: the folder is another process's, or cannot be used.
  int lock();
  // Nothing: there is none that can be used; `why` says what was set aside, and is empty where there was no
  // file. `error`: it could not be read, or not be set aside, and must not be written over.
  std::optional<talk::Saved> load(std::string& why, int& error);
  // On disk when it returns 0; else a negative errno, and the old file stands.
  int write(const talk::Saved& saved);

 private:
  int set_aside();

  const std::unique_ptr<disk::Files> files_;
  const std::string who_;
};

}  // namespace anisewick::store

#endif  // ANISEWICK_FLEET_STORE_STORE_HPP_
