#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lagoon::app {

/// What the words of a command that takes only `--settings FILE` ask for.
struct SettingsOption {
    /// Set when there is nothing to run: help was printed, or the words were bad.
    std::optional<int> exitCode;
    std::string file;
};

/// Parses the words; prints help or what is wrong with them.
SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& arguments);

} // namespace lagoon::app
