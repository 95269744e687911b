#include "shelf/shelf.hpp"

#include <algorithm>
#include <utility>

namespace anisewick::shelf {

const Held* Shelf::find(const copies::Key& key) const {
  const auto it = index_.find(key);
  return it == index_.end() ? nullptr : &*it->second;
}

bool Shelf::put(Held held) {
  const copies::Key key = held.copy.about.key;
  const int rank = std::clamp(held.copy.about.rank, 0, 3);
  if (rank == 0) return false;
  held.copy.about.rank = rank;
  const std::size_t need = cost(held);
  remove(key);
  std::size_t lower = 0;  // what may go
  for (int r = 1; r <= rank; ++r) lower += rank_bytes_[static_cast<std::size_t>(r)];
  if (need > room_ || bytes_ - lower + need > room_) return false;
  for (int r = 1; r <= rank && bytes_ + need > room_; ++r) {
    const List& list = ranks_[static_cast<std::size_t>(r)];
    while (!list.empty() && bytes_ + need > room_) remove(list.back().copy.about.key);
  }
  auto& list = ranks_[static_cast<std::size_t>(rank)];
  list.push_front(std::move(held));
  index_[key] = list.begin();
  bytes_ += need;
  rank_bytes_[static_cast<std::size_t>(rank)] += need;
  return true;
}

void Shelf::use(const copies::Key& key, int rank) {
  const auto it = index_.find(key);
  if (it == index_.end()) return;
  const auto from = static_cast<std::size_t>(it->second->copy.about.rank);
  const auto to = rank <= 0 ? from : static_cast<std::size_t>(std::min(rank, 3));
  const std::size_t size = cost(*it->second);
  it->second->copy.about.rank = static_cast<int>(to);
  rank_bytes_[from] -= size;
  rank_bytes_[to] += size;
  ranks_[to].splice(ranks_[to].begin(), ranks_[from], it->second);
}

void Shelf::confirm(const copies::Key& key, std::int64_t born_ms, std::uint64_t sequence) {
  const auto it = index_.find(key);
  if (it == index_.end()) return;
  it->second->copy.about.born_ms = std::max(it->second->copy.about.born_ms, born_ms);
  it->second->sequence = std::max(it->second->sequence, sequence);
}

void Shelf::remove(const copies::Key& key) {
  const auto it = index_.find(key);
  if (it == index_.end()) return;
  const auto rank = static_cast<std::size_t>(it->second->copy.about.rank);
  const std::size_t size = cost(*it->second);
  bytes_ -= size;
  rank_bytes_[rank] -= size;
  ranks_[rank].erase(it->second);
  index_.erase(it);
}

}  // namespace anisewick::shelf
