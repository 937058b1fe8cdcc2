#include "app/internal/agentcommand.h"

#include "agent/agent.h"
#include "app/internal/processcommand.h"
#include "app/internal/readyline.h"

namespace lagoon::app {

namespace {

int serve(const agent::AgentSettings& settings)
{
    agent::Agent agent(settings);
    const auto endpoints = agent.start();
    if (endpoints.has_error())
        return reportStartFailure("agent", endpoints.error(), ExitFailure);
    printReadyLine(
        "agent", settings.identity.vm, { { "link", endpoints.value().link }, { "ops", endpoints.value().ops } });
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
