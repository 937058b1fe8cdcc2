#include "app/internal/routercommand.h"

#include "app/internal/readyline.h"
#include "app/internal/settingsoption.h"
#include "framework/logging.h"
#include "framework/processsettings.h"
#include "framework/terminationsignal.h"
#include "router/router.h"

#include <cstdlib>
#include <iostream>

namespace lagoon::app {

namespace {

framework::Result<router::RouterSettings> readSettings(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, framework::readSettingsText(file));
    return router::parseRouterSettings(text, file);
}

class RouterCommand final : public ICommand {
public:
    std::string name() const override { return "router"; }
    std::string summary() const override { return "serve callers and decide who loads what"; }

    int run(const std::vector<std::string>& words) override
    {
        const SettingsOption option = parseSettingsOption(name(), words);
        if (option.exitCode)
            return *option.exitCode;
        framework::startLogging(name());
        framework::holdTerminationSignals();
        const auto settings = readSettings(option.file);
        if (settings.has_error()) {
            std::cerr << "lagoonrouter router: " << describe(settings.error()) << "\n";
            return ExitUsage;
        }
        return serve(settings.value());
    }

private:
    int serve(const router::RouterSettings& settings)
    {
        router::Router router(settings);
        const auto endpoints = router.start();
        if (endpoints.has_error()) {
            std::cerr << "lagoonrouter router: " << describe(endpoints.error()) << "\n";
            return ExitFailure;
        }
        printReadyLine("router", settings.identity.vm,
            { { "callers", endpoints.value().callers }, { "link", endpoints.value().link },
                { "ops", endpoints.value().ops } });
        framework::waitForTerminationSignal();
        router.drain();
        framework::logInfo("router", "drained");
        // Every reply has left. Closing cpprest's listener while callers keep connections open may crash the process,
        // and the system closes all of it anyway.
        std::cout.flush();
        std::_Exit(ExitSuccess);
    }
};

} // namespace

std::unique_ptr<ICommand> makeRouterCommand() { return std::make_unique<RouterCommand>(); }

} // namespace lagoon::app
