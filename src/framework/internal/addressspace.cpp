#include "framework/addressspace.h"

#include <cstddef>
#include <malloc.h>
#include <pthread.h>

namespace lagoon::framework {

namespace {

/// Nested JSON, the deepest recursion, takes less than a tenth of it at the depth that parsers accept.
constexpr std::size_t threadStackBytes = 1024 * 1024;
constexpr int maxArenas = 1;

} // namespace

void limitReservedAddressSpace()
{
    mallopt(M_ARENA_MAX, maxArenas);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, threadStackBytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
}

} // namespace lagoon::framework
