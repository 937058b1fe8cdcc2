#include "support/processusage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>
#include <unistd.h>

namespace lagoon::testsupport {

namespace {

constexpr int fieldsBeforeUserTime = 11;
constexpr double bytesPerMib = 1024.0 * 1024;

double cpuSeconds(const std::string& folder)
{
    std::ifstream file(folder + "/stat");
    std::string line;
    std::getline(file, line);
    // The second field is the program's name in parentheses, which may contain spaces.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeUserTime; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMib(const std::string& folder)
{
    std::ifstream file(folder + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMib;
}

double peakMib(const std::string& folder, const std::string& key)
{
    std::ifstream file(folder + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return std::stod(line.substr(key.size())) / 1024;
    }
    return 0;
}

std::size_t openDescriptors(const std::string& folder)
{
    std::error_code error;
    const std::filesystem::directory_iterator files(folder + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace

double socketQueuesMib(const std::string& endpoint)
{
    const unsigned long port = std::stoul(endpoint.substr(endpoint.rfind(':') + 1));
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    double bytes = 0;
    while (std::getline(file, line)) {
        // sl, local_address, rem_address, st and tx_queue:rx_queue, in hexadecimal digits
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr int hexadecimal = 16;
        if (std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal) != port)
            continue;
        bytes += static_cast<double>(std::stoul(queues, nullptr, hexadecimal));
        bytes += static_cast<double>(std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal));
    }
    return bytes / bytesPerMib;
}

ProcessUsage usageOf(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    return { cpuSeconds(folder), residentMib(folder), peakMib(folder, "VmHWM:"), peakMib(folder, "VmPeak:"),
        openDescriptors(folder) };
}

} // namespace lagoon::testsupport
