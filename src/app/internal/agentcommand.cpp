#include "app/internal/agentcommand.h"

#include "agent/agent.h"
#include "app/internal/readyline.h"
#include "app/internal/settingsoption.h"
#include "framework/logging.h"
#include "framework/processsettings.h"
#include "framework/terminationsignal.h"

#include <iostream>

namespace lagoon::app {

namespace {

framework::Result<agent::AgentSettings> readSettings(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, framework::readSettingsText(file));
    return agent::parseAgentSettings(text, file);
}

class AgentCommand final : public ICommand {
public:
    std::string name() const override { return "agent"; }
    std::string summary() const override { return "be the gate to one upstream"; }

    int run(const std::vector<std::string>& words) override
    {
        const SettingsOption option = parseSettingsOption(name(), words);
        if (option.exitCode)
            return *option.exitCode;
        framework::startLogging(name());
        framework::holdTerminationSignals();
        const auto settings = readSettings(option.file);
        if (settings.has_error()) {
            std::cerr << "lagoonrouter agent: " << describe(settings.error()) << "\n";
            return ExitUsage;
        }
        return serve(settings.value());
    }

private:
    int serve(const agent::AgentSettings& settings)
    {
        agent::Agent agent(settings);
        const auto endpoints = agent.start();
        if (endpoints.has_error()) {
            std::cerr << "lagoonrouter agent: " << describe(endpoints.error()) << "\n";
            return ExitFailure;
        }
        printReadyLine(
            "agent", settings.identity.vm, { { "link", endpoints.value().link }, { "ops", endpoints.value().ops } });
        framework::waitForTerminationSignal();
        agent.shutDown();
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeAgentCommand() { return std::make_unique<AgentCommand>(); }

} // namespace lagoon::app
