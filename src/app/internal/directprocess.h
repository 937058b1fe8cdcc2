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

/// The settings file may change without a signal, so it is read at this interval. It has a few hundred bytes only.
inline constexpr framework::Milliseconds settingsPollInterval { 2000 };

/// Limits the time for writing the last log lines at exit. A line takes less than 1 ms; a reader of standard output
/// that has stopped reading must not prevent the process from exiting in time.
inline constexpr framework::Milliseconds logFlushTimeout { 150 };

/// The common parts of the commands that run a direct process: `--settings FILE`, the structured log, and validated
/// settings, which are reloaded on SIGHUP and when the file has changed.
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
        framework::blockProcessSignals();
        framework::startDecisionLog(role_);
        const auto settings = read();
        if (settings.has_error())
            return reportStartFailure(role_, settings.error(), ExitUsage);
        return serve(*this, settings.value());
    }

    /// Reloads changed settings until SIGTERM or SIGINT arrives, then returns. Invalid settings are refused, and the
    /// current ones stay in force.
    void waitForShutdown(const Reload& reload)
    {
        while (true) {
            const auto signal = framework::waitForProcessSignal(settingsPollInterval);
            reloadSettings(reload, signal == framework::ProcessSignal::Reload);
            if (signal == framework::ProcessSignal::Terminate)
                return;
        }
    }

    /// Exits without waiting for the threads, whose work is finished. The system closes their files and sockets.
    [[noreturn]] static void exitProcess()
    {
        framework::finishDecisionLog(logFlushTimeout);
        std::_Exit(ExitSuccess);
    }

private:
    /// Reads the settings and applies them if they have changed or a reload `isRequested`. Also called before the
    /// process ends: if the grace period was shortened just before, the process would otherwise be killed while it
    /// still has requests.
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
