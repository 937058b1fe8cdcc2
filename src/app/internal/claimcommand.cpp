#include "app/internal/claimcommand.h"

#include "app/internal/commandgroup.h"
#include "app/internal/platformoptions.h"
#include "bundle/claimrelease.h"

#include <iostream>

namespace lagoon::app {

namespace {

namespace options = boost::program_options;

constexpr std::size_t minReasonLength = 8;
constexpr std::size_t maxReasonLength = 500;

struct ReleaseArguments {
    std::string site;
    std::string model;
    std::string adapter;
    std::string vm;
    std::string reason;
};

class ReleaseCommand final : public ICommand {
public:
    std::string name() const override { return "release"; }
    std::string summary() const override { return "release the claim of a VM that will never release it itself"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("claim release",
            "--site SITE --model MODEL [--adapter ADAPTER] --vm VM --reason TEXT --operator NAME --platform URL");
        ReleaseArguments parsed;
        PlatformOptions platform;
        addReleaseOptions(line, parsed);
        addPlatformOptions(line, platform, OperatorOption::Required);
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        if (const auto fault = validationError(platform, OperatorOption::Required))
            return line.reportUsageError(*fault);
        const bundle::ClaimRelease claim = claimOf(parsed);
        if (!objectstore::isObjectKey(claim.key))
            return line.reportUsageError("--site, --model, --adapter: expected names as in the bundle");
        if (claim.reason.size() < minReasonLength || claim.reason.size() > maxReasonLength)
            return line.reportUsageError("--reason: expected " + std::to_string(minReasonLength) + " to "
                + std::to_string(maxReasonLength) + " characters");
        return release(claim, platform);
    }

private:
    static void addReleaseOptions(CommandLine& line, ReleaseArguments& parsed)
    {
        auto add = line.options();
        add("site", options::value(&parsed.site)->required(), "site of the claim");
        add("model", options::value(&parsed.model)->required(), "model that is claimed");
        add("adapter", options::value(&parsed.adapter), "adapter, if the claim is for an adapter");
        add("vm", options::value(&parsed.vm)->required(), "VM that holds the claim");
        add("reason", options::value(&parsed.reason)->required(),
            "why the VM certainly doesn't have the model any more: its engine isn't queried, and another VM "
            "may load the model at once");
    }

    static bundle::ClaimRelease claimOf(const ReleaseArguments& parsed)
    {
        const auto key = bundle::replicaKey(framework::SiteName(parsed.site), framework::ModelName(parsed.model),
            framework::AdapterName(parsed.adapter));
        return { key, framework::VmName(parsed.vm), parsed.reason };
    }

    static int release(const bundle::ClaimRelease& claim, const PlatformOptions& platform)
    {
        const auto object
            = bundle::releaseClaim(*connect(platform).store, claim, operatorAction(platform), deadlineOf(platform));
        if (!object)
            return reportFailure(object.error());
        std::cout << claim.key << ": " << claim.vm << " released, " << object.value().holders.size()
                  << " claims left\n";
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeClaimCommand()
{
    Commands commands;
    commands.push_back(std::make_unique<ReleaseCommand>());
    return makeCommandGroup("claim", "release claims that their VMs can't release", std::move(commands));
}

} // namespace lagoon::app
