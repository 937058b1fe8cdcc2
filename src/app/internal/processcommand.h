#pragma once

#include "app/icommand.h"
#include "app/internal/settingsoption.h"
#include "framework/logging.h"
#include "framework/processsettings.h"
#include "framework/processsignal.h"

#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace lagoon::app {

/// Prints why the process of this role can't start. Returns `exitCode`.
inline int reportStartFailure(const std::string& role, const framework::Error& error, ExitCode exitCode)
{
    std::cerr << "lagoonrouter " << role << ": " << describe(error) << "\n";
    return exitCode;
}

/// The common parts of the commands that run a process: `--settings FILE`, logging, signals and validated settings.
/// `serve` runs the process until it ends and returns the exit code.
template <typename Settings>
int runProcess(const std::string& role, const std::vector<std::string>& arguments,
    framework::Result<Settings> (*parse)(const std::string& text, const std::string& source),
    const std::function<int(const Settings&)>& serve)
{
    const SettingsOption option = parseSettingsOption(role, arguments);
    if (option.exitCode)
        return *option.exitCode;
    framework::blockProcessSignals();
    framework::startLogging(role);
    const auto text = framework::readSettingsText(option.file);
    if (text.has_error())
        return reportStartFailure(role, text.error(), ExitUsage);
    const auto settings = parse(text.value(), option.file);
    if (settings.has_error())
        return reportStartFailure(role, settings.error(), ExitUsage);
    return serve(settings.value());
}

} // namespace lagoon::app
