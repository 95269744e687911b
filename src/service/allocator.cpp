#include "service/allocator.hpp"

#include <malloc.h>

namespace anisewick::service {

// The system's allocator raises both thresholds by itself, up to 32 MB, as soon as one large buffer is freed:
// from then on large buffers come from the heap, where small ones behind them keep their room from going
// back.
void bound_allocator() {
#ifdef __GLIBC__
  ::mallopt(M_MMAP_THRESHOLD, static_cast<int>(kMappedBytes));
  ::mallopt(M_TRIM_THRESHOLD, static_cast<int>(kSpareBytes));
#endif
}

void trim_allocator() {
#ifdef __GLIBC__
  if (::mallinfo2().fordblks > kFreeBytes) ::malloc_trim(0);
#endif
}

}  // namespace anisewick::service
