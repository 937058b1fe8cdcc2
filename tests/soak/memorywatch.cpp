#include "soak/memorywatch.h"

#include "support/processusage.h"

#include <algorithm>
#include <sys/resource.h>

namespace lagoon::soak {

namespace {

constexpr double mbPerMib = 1024.0 * 1024 / (1000 * 1000);
constexpr double routerMb = 260;
constexpr double agentMb = 192;
constexpr rlim_t maxDescriptors = 4100;

} // namespace

MemoryWatch::MemoryWatch(fleet::Fleet& fleet, RunLog& runLog, std::size_t routers)
    : fleet_(fleet)
    , runLog_(runLog)
    , routers_(routers)
{
}

void MemoryWatch::limitProcesses(fleet::Fleet& fleet)
{
    fleet.setProcessOptions({ .limits = { { RLIMIT_NOFILE, maxDescriptors } } });
}

void MemoryWatch::poll()
{
    for (std::size_t index = 0; index < routers_; ++index)
        record(fleet_.router(index), routerMb);
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        record(fleet_.agent(index), agentMb);
}

void MemoryWatch::record(testsupport::ChildProcess& process, double machineMb)
{
    // Until its program runs, a process has the memory of the one that started it.
    if (!process.isRunning() || !process.isReady())
        return;
    Peak& peak = peaks_[process.name()];
    peak.machineMb = machineMb;
    peak.mb = std::max(peak.mb, testsupport::usageOf(process.pid()).peakResidentMib * mbPerMib);
}

void MemoryWatch::check() const
{
    for (const auto& [name, peak] : peaks_) {
        const std::string text = name + " had " + std::to_string(peak.mb) + " MB of " + std::to_string(peak.machineMb);
        runLog_.note(text);
        if (peak.mb >= peak.machineMb)
            runLog_.fail("more memory than the machine has: " + text);
    }
}

} // namespace lagoon::soak
