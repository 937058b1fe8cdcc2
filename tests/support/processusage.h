#pragma once

#include <sys/types.h>

namespace lagoon::testsupport {

/// What the kernel says of a process.
struct ProcessUsage {
    /// Of all its threads, user and system, in the kernel's ticks of 10 ms.
    double cpuSeconds = 0;
    double residentMib = 0;
};

ProcessUsage usageOf(pid_t);

} // namespace lagoon::testsupport
