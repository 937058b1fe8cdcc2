#include "framework/descriptors.h"

#include <sys/resource.h>

namespace lagoon::framework {

std::size_t maxDescriptors()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace lagoon::framework
