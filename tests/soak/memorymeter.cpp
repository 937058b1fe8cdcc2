#include "soak/memorymeter.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lagoon::soak {

namespace {

constexpr std::uint64_t bytesPerKib = 1024;
constexpr std::size_t bufferSize = 65536;
constexpr std::uint32_t statesWithBytes
    = (1U << TCP_ESTABLISHED) | (1U << TCP_FIN_WAIT1) | (1U << TCP_FIN_WAIT2) | (1U << TCP_CLOSE_WAIT);

/// A socket for the kernel's diagnostics of sockets.
class DiagnosticsSocket {
public:
    DiagnosticsSocket()
        : descriptor_(::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
    {
        if (descriptor_ < 0)
            throw std::runtime_error("failed to open a socket for diagnostics");
    }
    ~DiagnosticsSocket() { ::close(descriptor_); }
    DiagnosticsSocket(const DiagnosticsSocket&) = delete;
    DiagnosticsSocket& operator=(const DiagnosticsSocket&) = delete;

    void askForConnections() const
    {
        struct {
            nlmsghdr header;
            inet_diag_req_v2 request;
        } message {};
        message.header.nlmsg_len = sizeof(message);
        message.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
        message.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
        message.request.sdiag_family = AF_INET;
        message.request.sdiag_protocol = IPPROTO_TCP;
        message.request.idiag_states = statesWithBytes;
        if (::send(descriptor_, &message, sizeof(message), 0) != sizeof(message))
            throw std::runtime_error("failed to ask for the connections");
    }

    /// Returns the number of bytes.
    std::size_t receive(std::array<char, bufferSize>& buffer) const
    {
        const ssize_t received = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (received <= 0)
            throw std::runtime_error("failed to receive the connections");
        return static_cast<std::size_t>(received);
    }

private:
    int descriptor_;
};

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

// Asks the kernel for the connections that may have unread bytes: `/proc/net/tcp` also lists the many that are closed.
void MemoryMeter::sampleConnections()
{
    unread_.clear();
    const DiagnosticsSocket netlink;
    netlink.askForConnections();
    alignas(nlmsghdr) std::array<char, bufferSize> buffer {};
    while (true) {
        std::size_t left = netlink.receive(buffer);
        for (const auto* message = reinterpret_cast<const nlmsghdr*>(buffer.data()); NLMSG_OK(message, left);
             message = NLMSG_NEXT(message, left)) {
            if (message->nlmsg_type == NLMSG_DONE)
                return;
            if (message->nlmsg_type == NLMSG_ERROR)
                throw std::runtime_error("failed to list the connections");
            const auto* connection = static_cast<const inet_diag_msg*>(NLMSG_DATA(message));
            if (connection->idiag_rqueue > 0)
                unread_["socket:[" + std::to_string(connection->idiag_inode) + "]"] = connection->idiag_rqueue;
        }
    }
}

MemoryUse MemoryMeter::useOf(pid_t pid) const { return { peakResidentOf(pid), unreadOf(pid) }; }

std::uint64_t MemoryMeter::unreadOf(pid_t pid) const
{
    if (unread_.empty())
        return 0;
    std::uint64_t bytes = 0;
    std::error_code error;
    // Connections may be closed meanwhile, and the process may end.
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
