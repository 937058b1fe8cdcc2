#pragma once

#include "app/icommand.h"
#include "app/internal/processcommand.h"
#include "app/internal/settingsoption.h"
#include "framework/decisionlog.h"
#include "framework/processsettings.h"
#include "framework/processsignal.h"
#include "framework/types/error.h"

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace lagoon::app {

/// The settings file may change without a signal; reading a few hundred bytes this often costs nothing.
inline constexpr framework::Milliseconds settingsPollInterval { 2000 };

/// For the last lines of the log, at a process's end. Writing takes under a millisecond a line; a reader that doesn't
/// read may not keep the process from ending in time.
inline constexpr framework::Milliseconds logFlushTimeout { 150 };

/// What the commands of direct processes have in common: `--settings FILE`, structured logs, checked settings, which
/// are taken up anew on SIGHUP and when the file has changed.
template <typename Settings> class DirectProcess {
public:
    using Parse = framework::Result<Settings> (*)(const std::string& text, const std::string& source);
    using Reload = std::function<void(const Settings&)>;

    DirectProcess(std::string role, Parse parse)
        : role_(std::move(role))
        , parse_(parse)
    {
    }

    int run(const std::vector<std::string>& arguments, const std::function<int(DirectProcess&, const Settings&)>& serve)
    {
        const SettingsOption option = parseSettingsOption(role_, arguments);
        if (option.exitCode)
            return *option.exitCode;
        file_ = option.file;
        framework::startDecisionLog(role_);
        framework::blockProcessSignals();
        const auto settings = read();
        if (settings.has_error())
            return reportStartFailure(role_, settings.error(), ExitUsage);
        return serve(*this, settings.value());
    }

    /// Returns when the process is to end. Settings that can't be read are refused, and those in force stay.
    void waitForShutdown(const Reload& reload)
    {
        while (true) {
            const auto signal = framework::waitForProcessSignal(settingsPollInterval);
            reloadSettings(reload, signal == framework::ProcessSignal::Reload);
            if (signal == framework::ProcessSignal::Terminate)
                return;
        }
    }

    /// Ends the process without waiting for its threads, whose work is over: the system closes what they hold.
    [[noreturn]] static void exitProcess()
    {
        framework::finishDecisionLog(logFlushTimeout);
        std::_Exit(ExitSuccess);
    }

private:
    /// Also before the end. Guards against a grace period that was shortened just before: the process would be ended by
    /// force over the requests that it still holds.
    void reloadSettings(const Reload& reload, bool isRequested)
    {
        const std::string before = text_;
        const auto settings = read();
        if (settings.has_error())
            logDecision(framework::LogLine("settings_refused").text("cause", describe(settings.error())));
        else if (isRequested || text_ != before)
            reload(settings.value());
    }

    framework::Result<Settings> read()
    {
        BOOST_OUTCOME_TRY(text, framework::readSettingsText(file_));
        text_ = text;
        return parse_(text_, file_);
    }

    std::string role_;
    Parse parse_;
    std::string file_;
    std::string text_;
};

} // namespace lagoon::app
