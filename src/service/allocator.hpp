// How the program's allocator gives memory back to the system. The platform's limit is on what the process
// holds, not on what it uses.
#ifndef ANISEWICK_SERVICE_ALLOCATOR_HPP_
#define ANISEWICK_SERVICE_ALLOCATOR_HPP_

#include <cstddef>

namespace anisewick::service {

// At least so many bytes, a buffer is a mapping of its own and goes back to the system when it is freed. Half
// of the largest object.
constexpr std::size_t kMappedBytes = 120'000;
// So much free memory at the end of the heap is kept at most.
constexpr std::size_t kSpareBytes = 256u << 10;

// Once, before anything large is allocated. Without effect on allocators other than glibc's.
void bound_allocator();

// So much that is free within the heap is left there.
constexpr std::size_t kFreeBytes = 3u << 20;

// Returns free pages from within the heap to the system where there are many; takes up to some milliseconds
// then.
void trim_allocator();

}  // namespace anisewick::service

#endif  // ANISEWICK_SERVICE_ALLOCATOR_HPP_
