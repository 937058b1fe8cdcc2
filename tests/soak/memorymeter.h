#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>

namespace lagoon::soak {

/// The memory, in bytes, that counts toward the limit of a process's machine.
struct MemoryUse {
    std::uint64_t peakResident = 0;
    /// Received on TCP connections over IPv4, and not yet read.
    std::uint64_t unread = 0;

    std::uint64_t total() const { return peakResident + unread; }
};

/// Measures the memory of processes, as reported by the kernel.
class MemoryMeter {
public:
    /// Reads the unread bytes of all connections of the machine. `useOf` refers to the last time that it was called.
    void sampleConnections();
    MemoryUse useOf(pid_t) const;

private:
    std::uint64_t unreadOf(pid_t) const;

    /// Only connections with unread bytes, by the text that a descriptor of the connection links to.
    std::map<std::string, std::uint64_t> unread_;
};

} // namespace lagoon::soak
