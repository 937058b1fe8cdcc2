#include "app/internal/bundlecommands.h"

#include "app/internal/bundlestatuscommand.h"
#include "app/internal/commandgroup.h"
#include "app/internal/platformoptions.h"
#include "bundle/bundletext.h"
#include "bundle/decidedcounts.h"
#include "bundle/rollout.h"
#include "framework/processsettings.h"

#include <iostream>

namespace lagoon::app {

namespace {

namespace options = boost::program_options;
using bundle::Bundle;
using framework::Result;

Result<Bundle> readBundle(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, framework::readSettingsText(file));
    return bundle::parseBundle(text, file);
}

void printSummary(const Bundle& bundle)
{
    std::size_t adapters = 0;
    for (const auto& [model, modelAdapters] : bundle.adapters)
        adapters += modelAdapters.size();
    std::uint64_t replicas = 0;
    for (const auto& [key, count] : bundle::decidedCounts(bundle))
        replicas += count;
    std::cout << "version " << bundle.version << ": " << bundle.models.size() << " models, " << adapters
              << " adapters, " << bundle.services.size() << " services, " << bundle.pools.size() << " pools, "
              << replicas << " replicas\n";
}

class CheckCommand final : public ICommand {
public:
    std::string name() const override { return "check"; }
    std::string summary() const override { return "check a bundle's file"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("bundle check", "FILE");
        std::string file;
        line.options()("file", options::value(&file)->required(), "the bundle in JSON; - is standard input");
        line.addPositional("file");
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        const auto bundle = readBundle(file);
        if (!bundle)
            return reportFailure(bundle.error());
        printSummary(bundle.value());
        return ExitSuccess;
    }
};

class SignOffCommand final : public ICommand {
public:
    std::string name() const override { return "sign-off"; }
    std::string summary() const override { return "store a bundle permanently for all sites"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("bundle sign-off", "FILE --platform URL --operator NAME");
        std::string file;
        PlatformOptions platform;
        line.options()("file", options::value(&file)->required(), "the bundle in JSON; - is standard input");
        line.addPositional("file");
        addPlatformOptions(line, platform, OperatorOption::Required);
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        if (const auto fault = validationError(platform, OperatorOption::Required))
            return line.reportUsageError(*fault);
        return signOff(file, platform);
    }

private:
    static int signOff(const std::string& file, const PlatformOptions& platform)
    {
        const auto bundle = readBundle(file);
        if (!bundle)
            return reportFailure(bundle.error());
        const auto manifest
            = bundle::signOff(*connect(platform).store, bundle.value(), operatorAction(platform), deadlineOf(platform));
        if (!manifest)
            return reportFailure(manifest.error());
        printSummary(bundle.value());
        std::cout << "signed off by " << manifest.value().signedOffBy << " at " << manifest.value().signedOffAt
                  << "; not in force before it is rolled out\n";
        return ExitSuccess;
    }
};

class RollOutCommand final : public ICommand {
public:
    std::string name() const override { return "roll-out"; }
    std::string summary() const override { return "bring a signed-off bundle into force everywhere"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("bundle roll-out", "VERSION --platform URL --operator NAME");
        std::uint64_t version = 0;
        PlatformOptions platform;
        line.options()("version", options::value(&version)->required(), "version of a signed-off bundle");
        line.addPositional("version");
        addPlatformOptions(line, platform, OperatorOption::Required);
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        if (const auto fault = validationError(platform, OperatorOption::Required))
            return line.reportUsageError(*fault);
        const auto result = bundle::rollOut(*connect(platform).store, framework::BundleVersion(version),
            operatorAction(platform), deadlineOf(platform));
        if (!result)
            return reportFailure(result.error());
        std::cout << "version " << version << " is in force, before it " << result.value().previous << "; "
                  << result.value().lowered << " replica counts lowered\n";
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeBundleCommand()
{
    Commands commands;
    commands.push_back(std::make_unique<CheckCommand>());
    commands.push_back(std::make_unique<SignOffCommand>());
    commands.push_back(std::make_unique<RollOutCommand>());
    commands.push_back(makeBundleStatusCommand());
    return makeCommandGroup("bundle", "check, sign off and roll out what is served", std::move(commands));
}

} // namespace lagoon::app
