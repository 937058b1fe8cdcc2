#pragma once

#include <sys/types.h>

namespace lagoon::testsupport {

/// Resource usage of a process, as reported by the kernel.
struct ProcessUsage {
    /// User and system time of all threads, in steps of the kernel's clock tick of 10 ms.
    double cpuSeconds = 0;
    double residentMib = 0;
    double peakResidentMib = 0;
    /// The most address space that the process had reserved at any time.
    double peakAddressSpaceMib = 0;
};

ProcessUsage usageOf(pid_t);

} // namespace lagoon::testsupport
