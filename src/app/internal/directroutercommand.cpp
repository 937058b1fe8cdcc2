#include "app/internal/directroutercommand.h"

#include "app/internal/awaitports.h"
#include "app/internal/directprocess.h"
#include "direct/directrouter.h"
#include "platform/catalogreader.h"
#include "platform/kindfeed.h"
#include "platform/requestdialect.h"
#include "platform/storeclient.h"

namespace lagoon::app {

namespace {

using Process = DirectProcess<direct::DirectRouterSettings>;

int serve(Process& process, const direct::DirectRouterSettings& settings)
{
    framework::SystemClock clock;
    framework::ControlThread control;
    framework::EventThread traffic;
    platform::StoreClient store(traffic, control, settings.objectStore);
    platform::KindFeed configurations(store, "config");
    platform::KindFeed servers(store, "servers");
    const platform::CatalogDecoder decoder;
    const platform::RequestDialect dialect;
    direct::DirectRouter router(
        { control, traffic, clock, std::make_shared<framework::Metrics>(), configurations, servers, decoder, dialect },
        settings);
    const auto start = awaitPorts([&]() -> framework::Result<void> {
        BOOST_OUTCOME_TRYV(router.start());
        return framework::success();
    });
    if (start.has_error())
        return reportStartFailure("direct-router", start.error(), ExitFailure);
    if (start.value() == PortsOutcome::Terminated)
        Process::exitProcess();
    process.waitForShutdown([&](const direct::DirectRouterSettings& changed) { router.reload(changed); });
    router.drain();
    Process::exitProcess();
}

class DirectRouterCommand final : public ICommand {
public:
    std::string name() const override { return "direct-router"; }
    std::string summary() const override { return "serve callers, sending requests directly to servers"; }
    bool handlesSignals() const override { return true; }
    int run(const std::vector<std::string>& arguments) override
    {
        return Process(name(), direct::parseDirectRouterSettings).run(arguments, serve);
    }
};

} // namespace

std::unique_ptr<ICommand> makeDirectRouterCommand() { return std::make_unique<DirectRouterCommand>(); }

} // namespace lagoon::app
