#include "support/programs.h"

namespace lagoon::testsupport {

std::string pathOf(Program program)
{
    switch (program) {
    case Program::Lagoonrouter:
        return LAGOONROUTER_PROGRAM;
    case Program::PlatformStandin:
        return STANDIN_PLATFORM_PROGRAM;
    case Program::EngineStandin:
        return STANDIN_ENGINE_PROGRAM;
    case Program::ServiceStandin:
        return STANDIN_SERVICE_PROGRAM;
    case Program::WeightStandin:
        return STANDIN_WEIGHTS_PROGRAM;
    case Program::FaultProxy:
        return FAULT_PROXY_PROGRAM;
    }
    return "";
}

std::unique_ptr<ChildProcess> startProgram(Program program, const std::string& name,
    const std::vector<std::string>& arguments, const TemporaryFolder& folder, const ProcessOptions& options)
{
    auto process = std::make_unique<ChildProcess>(name, pathOf(program), arguments, folder, options);
    process->waitUntilReady();
    return process;
}

} // namespace lagoon::testsupport
