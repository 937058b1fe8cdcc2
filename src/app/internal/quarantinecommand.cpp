#include "app/internal/quarantinecommand.h"

#include "app/internal/commandgroup.h"
#include "app/internal/commandline.h"
#include "app/internal/platformoptions.h"
#include "framework/iclock.h"
#include "http/blockingcalls.h"
#include "quarantine/suspectreport.h"

#include <iostream>

namespace lagoon::app {

namespace {

namespace options = boost::program_options;
using framework::Error;
using framework::ErrorCode;
using framework::Result;

constexpr framework::Milliseconds callTimeout { 5000 };
constexpr http::AnswerLimits answerLimits { std::size_t(64) * 1024 * 1024, std::size_t(64) * 1024 * 1024 };
constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;

/// Calls a router's ops endpoint and returns the answer's body.
Result<std::string> callRouter(const std::string& method, const std::string& router, const std::string& target)
{
    const std::string step = "call router";
    const auto deadline = framework::Deadline::after(framework::SystemClock().now(), callTimeout);
    http::BlockingCalls calls(framework::Endpoint(router), answerLimits, http::CallClient::Connections::OnePerCall);
    auto response = calls.call({ method, target, {}, {} }, deadline);
    if (response.has_error())
        return Error { ErrorCode::LinkLost, step, router, response.error().detail };
    const unsigned status = response.value().head.status;
    if (status == notFound)
        return Error { ErrorCode::NotFound, step, router, "no such request is suspected" };
    if (status != ok)
        return Error { ErrorCode::LinkLost, step, router, "status " + std::to_string(status) };
    return std::move(response.value().body);
}

void addRouterOption(CommandLine& line, std::string& router)
{
    line.options()("router", options::value(&router)->required(), "ops endpoint of any router, address:port");
}

class ListCommand final : public ICommand {
public:
    std::string name() const override { return "list"; }
    std::string summary() const override { return "show suspected and quarantined requests as JSON"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("quarantine list", "--router ADDRESS:PORT");
        std::string router;
        addRouterOption(line, router);
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        const auto list = callRouter("GET", router, std::string(quarantine::quarantinePath));
        if (list.has_error())
            return reportFailure(list.error());
        std::cout << list.value() << "\n";
        return ExitSuccess;
    }
};

class ReleaseCommand final : public ICommand {
public:
    std::string name() const override { return "release"; }
    std::string summary() const override { return "serve a request again whose servers have been repaired"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("quarantine release", "FINGERPRINT --router ADDRESS:PORT --operator NAME");
        std::string router;
        std::string fingerprint;
        std::string operatorName;
        addRouterOption(line, router);
        line.options()("operator", options::value(&operatorName)->required(), "who releases it; for the log")(
            "fingerprint", options::value(&fingerprint)->required(), "the request, as in the routers' logs");
        line.addPositional("fingerprint");
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        const auto request = quarantine::RequestFingerprint::parse(fingerprint);
        if (!request)
            return line.reportUsageError("FINGERPRINT: expected 32 hexadecimal digits");
        if (operatorName.empty())
            return line.reportUsageError("--operator: expected a name");
        const auto released = callRouter("DELETE", router, quarantine::releaseTarget({ *request, operatorName }));
        if (released.has_error())
            return reportFailure(released.error());
        std::cout << fingerprint << " released\n";
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeQuarantineCommand()
{
    Commands commands;
    commands.push_back(std::make_unique<ListCommand>());
    commands.push_back(std::make_unique<ReleaseCommand>());
    return makeCommandGroup("quarantine", "requests that crashed their servers", std::move(commands));
}

} // namespace lagoon::app
