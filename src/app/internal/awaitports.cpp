#include "app/internal/awaitports.h"

#include "framework/logging.h"
#include "framework/processsignal.h"

namespace lagoon::app {

framework::Result<PortsOutcome> awaitPorts(
    const std::function<framework::Result<void>()>& start, const AwaitedPortReport& report)
{
    std::string cause;
    while (true) {
        const auto started = start();
        if (started)
            return PortsOutcome::Started;
        if (!started.error().retryAfter)
            return started.error();
        if (report && describe(started.error()) != cause)
            report(started.error());
        cause = describe(started.error());
        if (framework::waitForProcessSignal(*started.error().retryAfter) == framework::ProcessSignal::Terminate)
            return PortsOutcome::Terminated;
    }
}

void logAwaitedPort(const framework::Error& error)
{
    framework::logWarning("ports", "waiting for a port: " + describe(error));
}

} // namespace lagoon::app
