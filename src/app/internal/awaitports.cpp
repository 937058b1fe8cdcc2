#include "app/internal/awaitports.h"

#include "framework/processsignal.h"

namespace lagoon::app {

framework::Result<PortsOutcome> awaitPorts(const std::function<framework::Result<void>()>& start)
{
    while (true) {
        const auto started = start();
        if (started)
            return PortsOutcome::Started;
        if (!started.error().retryAfter)
            return started.error();
        if (framework::waitForProcessSignal(*started.error().retryAfter) == framework::ProcessSignal::Terminate)
            return PortsOutcome::Terminated;
    }
}

} // namespace lagoon::app
