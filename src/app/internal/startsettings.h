#pragma once

#include "framework/types/error.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoon::app {

/// Receives why the settings can't be used yet.
using AwaitedReport = std::function<void(const framework::Error&)>;

/// Waits until the settings file can be read and holds complete JSON: whoever starts the process may still be writing
/// the file. Standard input is read only once. Calls `report` whenever the cause has changed.
///
/// Returns the text, std::nullopt if the process was asked to terminate meanwhile, or an Error if the `deadline` has
/// passed. Call after `blockProcessSignals`.
framework::Result<std::optional<std::string>> awaitSettingsText(
    const std::string& file, std::optional<framework::Deadline> deadline, const AwaitedReport& report);

} // namespace lagoon::app
