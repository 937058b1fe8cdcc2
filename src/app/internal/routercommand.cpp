#include "app/internal/routercommand.h"

#include "app/internal/awaitports.h"
#include "app/internal/processcommand.h"
#include "app/internal/readyline.h"
#include "router/router.h"

#include <cstdlib>

namespace lagoon::app {

namespace {

int serve(const router::RouterSettings& settings)
{
    router::Router router(settings);
    router::RouterEndpoints endpoints;
    const auto start = awaitPorts(
        [&]() -> framework::Result<void> {
            BOOST_OUTCOME_TRY(started, router.start());
            endpoints = started;
            return framework::success();
        },
        logAwaitedPort);
    if (start.has_error())
        return reportStartFailure("router", start.error(), ExitFailure);
    if (start.value() == PortsOutcome::Terminated)
        std::_Exit(ExitSuccess);
    printReadyLine("router", settings.identity.vm,
        { { "callers", endpoints.callers }, { "link", endpoints.link }, { "ops", endpoints.ops } });
    framework::waitForTermination();
    router.drain();
    // All replies have been sent or have timed out, and the system closes the connections at exit.
    std::cout.flush();
    std::_Exit(ExitSuccess);
}

class RouterCommand final : public ICommand {
public:
    std::string name() const override { return "router"; }
    std::string summary() const override { return "serve callers and decide which upstream loads which model"; }
    bool handlesSignals() const override { return true; }
    int run(const std::vector<std::string>& arguments) override
    {
        return runProcess<router::RouterSettings>(name(), arguments, router::parseRouterSettings, serve);
    }
};

} // namespace

std::unique_ptr<ICommand> makeRouterCommand() { return std::make_unique<RouterCommand>(); }

} // namespace lagoon::app
