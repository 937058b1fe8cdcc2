#pragma once

#include <cstddef>
#include <string>
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
    std::size_t openDescriptors = 0;
};

ProcessUsage usageOf(pid_t);

/// What the kernel holds for the connections that were accepted at `address:port`: bytes that the process hasn't read,
/// and those that its peers haven't.
double socketQueuesMib(const std::string& endpoint);

} // namespace lagoon::testsupport
