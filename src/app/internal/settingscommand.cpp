#include "app/internal/settingscommand.h"

#include "agent/agentsettings.h"
#include "app/internal/commandgroup.h"
#include "app/internal/platformoptions.h"
#include "framework/checkedjson.h"
#include "framework/processsettings.h"
#include "router/routersettings.h"

#include <iostream>

namespace lagoon::app {

namespace {

namespace options = boost::program_options;
using framework::ErrorCode;
using framework::Result;

/// Validates a settings file. Returns the role of the process that it is for.
Result<std::string> checkSettings(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, framework::readSettingsText(file));
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, file, ErrorCode::BadSettings));
    framework::CheckedObject object(json, file, "", ErrorCode::BadSettings);
    const std::string role = object.text("role");
    if (role == "router") {
        BOOST_OUTCOME_TRYV(router::parseRouterSettings(text, file));
        return role;
    }
    if (role == "agent") {
        BOOST_OUTCOME_TRYV(agent::parseAgentSettings(text, file));
        return role;
    }
    object.fail("role", "\"router\" or \"agent\"");
    BOOST_OUTCOME_TRYV(object.finish());
    return role;
}

class CheckSettingsCommand final : public ICommand {
public:
    std::string name() const override { return "check"; }
    std::string summary() const override { return "check a settings file of a router or agent"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("settings check", "FILE");
        std::string file;
        line.options()("file", options::value(&file)->required(), "the settings in JSON; - is standard input");
        line.addPositional("file");
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        const auto role = checkSettings(file);
        if (!role)
            return reportFailure(role.error());
        std::cout << file << ": good settings of a " << role.value() << "\n";
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeSettingsCommand()
{
    Commands commands;
    commands.push_back(std::make_unique<CheckSettingsCommand>());
    return makeCommandGroup("settings", "check settings files", std::move(commands));
}

} // namespace lagoon::app
