#include "support/processusage.h"

#include <fstream>
#include <sstream>
#include <string>
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

} // namespace

ProcessUsage usageOf(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    return { cpuSeconds(folder), residentMib(folder), peakMib(folder, "VmHWM:"), peakMib(folder, "VmPeak:") };
}

} // namespace lagoon::testsupport
