#include "app/internal/agentcommand.h"

#include "agent/agent.h"
#include "app/internal/awaitports.h"
#include "app/internal/processcommand.h"
#include "app/internal/readyline.h"

namespace lagoon::app {

namespace {

int serve(const agent::AgentSettings& settings)
{
    agent::Agent agent(settings);
    agent::AgentEndpoints endpoints;
    const auto start = awaitPorts(
        [&]() -> framework::Result<void> {
            BOOST_OUTCOME_TRY(started, agent.start());
            endpoints = started;
            return framework::success();
        },
        logAwaitedPort);
    if (start.has_error())
        return reportStartFailure("agent", start.error(), ExitFailure);
    if (start.value() == PortsOutcome::Terminated)
        return ExitSuccess;
    printReadyLine("agent", settings.identity.vm, { { "link", endpoints.link }, { "ops", endpoints.ops } });
    framework::waitForTermination();
    agent.shutDown();
    return ExitSuccess;
}

class AgentCommand final : public ICommand {
public:
    std::string name() const override { return "agent"; }
    std::string summary() const override { return "admit requests and forward them to one upstream"; }
    bool handlesSignals() const override { return true; }
    int run(const std::vector<std::string>& arguments) override
    {
        return runProcess<agent::AgentSettings>(name(), arguments, agent::parseAgentSettings, serve);
    }
};

} // namespace

std::unique_ptr<ICommand> makeAgentCommand() { return std::make_unique<AgentCommand>(); }

} // namespace lagoon::app
