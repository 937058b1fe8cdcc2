#include "app/internal/bundlestatuscommand.h"

#include "app/internal/platformoptions.h"
#include "app/internal/processstatus.h"
#include "bundle/bundlehead.h"
#include "bundle/replicaobject.h"
#include "objectstore/objectread.h"

#include <algorithm>
#include <iostream>

namespace lagoon::app {

namespace {

namespace options = boost::program_options;
using bundle::HolderState;
using bundle::ReplicaObject;
using framework::BundleVersion;
using framework::Deadline;
using framework::Endpoint;
using framework::Result;
using framework::success;

/// Prints the bundle and replicas that the platform has, and the bundle versions that processes report.
class StatusReport {
public:
    StatusReport(objectstore::IObjectStore& store, Deadline deadline)
        : store_(store)
        , deadline_(deadline)
    {
    }

    Result<void> printHead()
    {
        BOOST_OUTCOME_TRY(object, objectstore::readObject(store_, bundle::bundleHeadKey(), deadline_));
        if (!object) {
            std::cout << "bundle: none was rolled out\n";
            return success();
        }
        BOOST_OUTCOME_TRY(head, bundle::parseBundleHead(object->value));
        version_ = head.version;
        std::cout << "bundle: version " << head.version << ", rolled out by " << head.operatorName << " at "
                  << head.rolledOutAt << "\n";
        return success();
    }

    Result<void> printReplicas()
    {
        BOOST_OUTCOME_TRY(listed, store_.list("replicas/", deadline_));
        for (const objectstore::ListedObject& entry : listed) {
            BOOST_OUTCOME_TRY(object, objectstore::readObject(store_, entry.key, deadline_));
            if (!object)
                continue;
            BOOST_OUTCOME_TRY(replicas, bundle::parseReplicaObject(object->value, entry.key));
            printReplicaObject(entry.key, replicas);
        }
        return success();
    }

    /// Prints the process's version. Returns whether the process answered and this version is the bundle head's.
    bool printProcess(const Endpoint& endpoint) const
    {
        const auto status = readProcessStatus(endpoint, deadline_);
        std::cout << "process " << endpoint << ": ";
        if (!status) {
            std::cout << describe(status.error()) << "\n";
            return false;
        }
        const bool isCurrent = status.value().bundleVersion == version_;
        std::cout << status.value().role << " " << status.value().vm << ", version " << status.value().bundleVersion
                  << (isCurrent ? "" : " (not the one rolled out)") << "\n";
        return isCurrent;
    }

private:
    static std::string stateText(HolderState state)
    {
        switch (state) {
        case HolderState::Loading:
            return "loading";
        case HolderState::Loaded:
            return "loaded";
        case HolderState::Unloading:
            return "unloading";
        }
        return "loading";
    }

    void printReplicaObject(const objectstore::ObjectKey& key, const ReplicaObject& object) const
    {
        const auto loaded = std::count_if(object.holders.begin(), object.holders.end(),
            [](const auto& holder) { return holder.state == HolderState::Loaded; });
        std::cout << key << ": decided " << object.decided << " (version " << object.bundleVersion << "), loaded "
                  << loaded << ", claimed " << object.holders.size() << "\n";
        if (object.lowered && object.lowered->bundleVersion > object.bundleVersion)
            std::cout << "  lowered to " << object.lowered->decided << " by version " << object.lowered->bundleVersion
                      << (object.lowered->bundleVersion > version_ ? ", which is not in force" : "") << "\n";
        for (const bundle::ReplicaHolder& holder : object.holders)
            std::cout << "  " << holder.vm << " " << stateText(holder.state) << "\n";
        for (const bundle::ReplicaRelease& release : object.releases)
            std::cout << "  " << release.vm << " released by " << release.operatorName << " at " << release.releasedAt
                      << ": " << release.reason << "\n";
    }

    objectstore::IObjectStore& store_;
    const Deadline deadline_;
    BundleVersion version_;
};

class BundleStatusCommand final : public ICommand {
public:
    std::string name() const override { return "status"; }
    std::string summary() const override { return "show what is in force, claimed and loaded"; }

    int run(const std::vector<std::string>& arguments) override
    {
        CommandLine line("bundle status", "--platform URL [--process ENDPOINT]...");
        PlatformOptions platform;
        std::vector<std::string> processes;
        addPlatformOptions(line, platform, OperatorOption::None);
        line.options()("process", options::value(&processes)->composing()->value_name("ENDPOINT"),
            "ask the process with this ops endpoint, address:port, for the version that it has in force");
        if (const auto exitCode = line.parse(arguments))
            return *exitCode;
        if (const auto fault = validationError(platform, OperatorOption::None))
            return line.reportUsageError(*fault);
        return print(platform, processes);
    }

private:
    /// Prints the bundle head, the processes and the replicas. If one of them can't be read, the others are still
    /// printed, except that the replicas are only printed if the head could be read.
    static int print(const PlatformOptions& platform, const std::vector<std::string>& processes)
    {
        const auto client = connect(platform);
        StatusReport report(*client.store, deadlineOf(platform));
        int exitCode = ExitSuccess;
        const Result<void> head = report.printHead();
        if (!head)
            exitCode = reportFailure(head.error());
        bool areCurrent = true;
        for (const std::string& process : processes)
            areCurrent &= report.printProcess(Endpoint(process));
        const Result<void> replicas = head ? report.printReplicas() : success();
        if (!replicas)
            exitCode = reportFailure(replicas.error());
        return areCurrent ? exitCode : ExitFailure;
    }
};

} // namespace

std::unique_ptr<ICommand> makeBundleStatusCommand() { return std::make_unique<BundleStatusCommand>(); }

} // namespace lagoon::app
