#pragma once

#include "support/childprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// Programs of the build that tests start as processes.
enum class Program : std::uint8_t {
    Lagoonrouter,
    PlatformStandin,
    EngineStandin,
    ServiceStandin,
    WeightStandin,
    FaultProxy
};

std::string pathOf(Program);
/// Starts the program and waits for its ready line. `name` must be unique in the folder.
std::unique_ptr<ChildProcess> startProgram(Program, const std::string& name, const std::vector<std::string>& arguments,
    const TemporaryFolder&, const ProcessOptions& options = {});

} // namespace lagoon::testsupport
