#include "soak/memorymeter.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace lagoon::soak {

namespace {

constexpr std::uint64_t bytesPerKib = 1024;
constexpr int hexadecimal = 16;
/// A listener's queue holds connections, not bytes.
const std::string listening = "0A";

std::uint64_t peakResidentOf(pid_t pid)
{
    const std::string key = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return std::stoull(line.substr(key.size())) * bytesPerKib;
    }
    return 0;
}

} // namespace

void MemoryMeter::sampleConnections()
{
    unread_.clear();
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string skipped;
        std::string state;
        std::string queues;
        std::string inode;
        fields >> skipped >> skipped >> skipped >> state >> queues >> skipped >> skipped >> skipped >> skipped >> inode;
        const std::size_t separator = queues.find(':');
        if (state == listening || separator == std::string::npos)
            continue;
        const std::uint64_t bytes = std::stoull(queues.substr(separator + 1), nullptr, hexadecimal);
        if (bytes > 0)
            unread_["socket:[" + inode + "]"] = bytes;
    }
}

MemoryUse MemoryMeter::useOf(pid_t pid) const { return { peakResidentOf(pid), unreadOf(pid) }; }

std::uint64_t MemoryMeter::unreadOf(pid_t pid) const
{
    if (unread_.empty())
        return 0;
    std::uint64_t bytes = 0;
    std::error_code error;
    // Descriptors may be closed meanwhile, and the process may end.
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        std::error_code closed;
        const auto found = unread_.find(std::filesystem::read_symlink(entry->path(), closed).string());
        if (found != unread_.end())
            bytes += found->second;
    }
    return bytes;
}

} // namespace lagoon::soak
