#include "app/internal/directagentcommand.h"

#include "app/internal/awaitports.h"
#include "app/internal/directprocess.h"
#include "direct/directagent.h"
#include "platform/agentsources.h"
#include "platform/engineclient.h"
#include "platform/storeclient.h"

namespace lagoon::app {

namespace {

using Process = DirectProcess<direct::DirectAgentSettings>;

int serve(Process& process, const direct::DirectAgentSettings& settings)
{
    framework::SystemClock clock;
    framework::ControlThread control;
    framework::EventThread traffic;
    platform::StoreClient store(traffic, control, settings.objectStore);
    platform::StoreFencingTokenSource fencingTokens(store, settings.identity.vm);
    platform::StoreProfileSource profiles(store);
    platform::EngineClient engine(traffic, control, settings.engine);
    direct::DirectAgent agent(
        { control, traffic, clock, std::make_shared<framework::Metrics>(), engine, fencingTokens, profiles }, settings);
    const auto start = awaitPorts([&]() -> framework::Result<void> {
        BOOST_OUTCOME_TRYV(agent.start());
        return framework::success();
    });
    if (start.has_error())
        return reportStartFailure("direct-agent", start.error(), ExitFailure);
    if (start.value() == PortsOutcome::Terminated)
        Process::exitProcess();
    // None of the agent's settings can change while it runs, so a reload is only logged.
    process.waitForShutdown([](const direct::DirectAgentSettings&) { logDecision(framework::LogLine("reloaded")); });
    logDecision(framework::LogLine("stopped"));
    // No request passes through the agent: its engine keeps running, and the next agent takes control of it.
    Process::exitProcess();
}

class DirectAgentCommand final : public ICommand {
public:
    std::string name() const override { return "direct-agent"; }
    std::string summary() const override { return "load and unload models of the local engine as routers demand"; }
    bool handlesSignals() const override { return true; }
    int run(const std::vector<std::string>& arguments) override
    {
        return Process(name(), direct::parseDirectAgentSettings).run(arguments, serve);
    }
};

} // namespace

std::unique_ptr<ICommand> makeDirectAgentCommand() { return std::make_unique<DirectAgentCommand>(); }

} // namespace lagoon::app
