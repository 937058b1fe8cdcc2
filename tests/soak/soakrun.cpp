#include "soak/soakrun.h"

#include "soak/standins.h"
#include "support/waitfor.h"

#include <thread>

namespace lagoon::soak {

namespace {

using fleet::CallerRequest;
using framework::Deadline;
using framework::Milliseconds;

constexpr Milliseconds pollInterval { 10 };
/// The pauses between two planned operations and between two faults.
constexpr std::uint64_t minOperationPauseMs = 200;
constexpr std::uint64_t operationPauseRangeMs = 1300;
constexpr std::uint64_t minFaultPauseMs = 20;
constexpr std::uint64_t faultPauseRangeMs = 200;
/// One in this many steps replaces an engine.
constexpr std::uint64_t stepsPerReplacement = 3;
/// One in this many steps kills all routers at once.
constexpr std::uint64_t stepsPerKillOfAllRouters = 12;
/// Much longer than an answer takes once all faults have ended.
constexpr Milliseconds probeTimeout { 22000 };

} // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings_(settings)
    , parameters_(parametersOf(settings))
    , fleet_(fleet::Fleet::make())
    , runLog_(settings.seed, settings.isVerbose)
    , balancer_(settings.routers)
    , supervisor_({ fleet_, scheduler_, runLog_, balancer_ }, parameters_)
{
}

void SoakRun::prepareFleet()
{
    fleet_.setGrace(parameters_.grace);
    fleet_.setModels(parameters_.models);
    if (parameters_.loadTime.count() > 0)
        fleet_.setLoadTime(parameters_.loadTime);
    fleet_.configure(routesOf(parameters_, false));
    while (fleet_.engines() < settings_.engines)
        fleet_.list(fleet_.addEngine(), "engines");
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        prepare(fleet_.engine(index), parameters_);
    if (settings_.kind == RunKind::Customers)
        CustomerCallers::configure(fleet_);
    if (settings_.kind == RunKind::Mixed || settings_.kind == RunKind::Versions || settings_.kind == RunKind::Customers)
        faultInjector_.emplace(fleet_, scheduler_, runLog_);
    if (settings_.kind == RunKind::Starts) {
        for (std::size_t router = 0; router < settings_.routers; ++router)
            fleet_.fixPorts(router);
        startDisturber_.emplace(fleet_, scheduler_, runLog_, supervisor_);
    }
    if (settings_.kind == RunKind::Hostile || settings_.kind == RunKind::Crowd)
        ProcessSupervisor::limitDescriptors(fleet_);
    else
        ProcessSupervisor::limitProcesses(fleet_);
    fleet_.start();
    supervisor_.adopt(settings_.routers, fleet_.engines());
    waitForProcesses();
}

SoakReport SoakRun::run()
{
    prepareFleet();
    LoadGenerator generator(settings_, parameters_, balancer_);
    if (settings_.kind == RunKind::Poison)
        poisonSender_.emplace(fleet_, balancer_, settings_);
    if (settings_.kind == RunKind::Limits)
        limitNamer_.emplace(fleet_, runLog_);
    if (settings_.kind == RunKind::Versions)
        resumingCallers_.emplace(settings_, parameters_, balancer_);
    if (settings_.kind == RunKind::Customers)
        customerCallers_.emplace(fleet_, balancer_, settings_, runLog_);
    if (settings_.kind == RunKind::Hostile)
        hostilePeers_.emplace(fleet_, scheduler_, runLog_);
    if (settings_.kind == RunKind::Crowd)
        crowdCallers_.emplace(fleet_, scheduler_, runLog_, supervisor_, settings_.routers);
    runOperationsAndFaults();
    waitForProcesses();
    if (poisonSender_)
        poisonSender_->stop();
    if (limitNamer_)
        limitNamer_->stop();
    if (resumingCallers_)
        resumingCallers_->stop();
    if (customerCallers_)
        customerCallers_->stop();
    if (faultInjector_)
        faultInjector_->clearFaults();
    waitUntilServed();
    InvariantChecker checker(fleet_, runLog_, report_);
    for (const SentRequest& sent : generator.stop())
        checker.check(sent);
    if (customerCallers_)
        customerCallers_->check(checker);
    checker.checkEngines();
    if (poisonSender_)
        poisonSender_->check(runLog_);
    if (limitNamer_)
        limitNamer_->check();
    if (hostilePeers_)
        hostilePeers_->check();
    if (crowdCallers_)
        crowdCallers_->check();
    if (resumingCallers_)
        resumingCallers_->check(fleet_, runLog_);
    fleet_.stop();
    report_.peakRouterMemory = supervisor_.peakMemory(Role::Router);
    report_.peakAgentMemory = supervisor_.peakMemory(Role::Agent);
    report_.violations = runLog_.violations();
    return report_;
}

void SoakRun::pollFor(Milliseconds time)
{
    const Deadline end = Deadline::after(std::chrono::steady_clock::now(), time);
    while (!end.hasPassed(std::chrono::steady_clock::now())) {
        supervisor_.poll();
        scheduler_.runDue();
        std::this_thread::sleep_for(pollInterval);
    }
}

void SoakRun::runOperationsAndFaults()
{
    PlannedOperations operations(fleet_, scheduler_, runLog_, supervisor_, parameters_);
    const Deadline end = Deadline::after(std::chrono::steady_clock::now(), settings_.duration);
    while (!end.hasPassed(std::chrono::steady_clock::now())) {
        ++report_.steps;
        if (limitNamer_)
            limitNamer_->perform();
        if (hostilePeers_)
            hostilePeers_->perform();
        if (crowdCallers_)
            crowdCallers_->perform();
        if (customerCallers_)
            customerCallers_->changeKeys();
        if (settings_.kind == RunKind::Versions && runLog_.draw(stepsPerReplacement) == 0)
            operations.replaceEngine();
        if (settings_.kind == RunKind::Versions && runLog_.draw(stepsPerKillOfAllRouters) == 0)
            supervisor_.killAll(Role::Router);
        if (startDisturber_) {
            startDisturber_->disturbOne();
            pollFor(runLog_.drawDuration(minFaultPauseMs, faultPauseRangeMs));
        } else if (faultInjector_) {
            faultInjector_->inject(supervisor_, operations);
            pollFor(runLog_.drawDuration(minFaultPauseMs, faultPauseRangeMs));
        } else {
            operations.performOne();
            pollFor(runLog_.drawDuration(minOperationPauseMs, operationPauseRangeMs));
        }
    }
    waitForProcesses();
    if (settings_.kind == RunKind::Planned)
        operations.checkRemovedEngines();
}

/// Has no timeout of its own: `ProcessSupervisor` kills processes that do not end or start in time, and gives up those
/// whose starts fail again and again.
void SoakRun::waitForProcesses()
{
    while (!scheduler_.isEmpty() || !supervisor_.areAllServing())
        pollFor(pollInterval);
}

/// Waits until each kind of request is served at each router.
void SoakRun::waitUntilServed()
{
    int probe = 0;
    for (std::size_t router = 0; router < settings_.routers; ++router) {
        if (!supervisor_.isServing(Role::Router, router)) {
            runLog_.fail("router " + std::to_string(router) + " does not serve");
            continue;
        }
        for (const std::string& kind : requestKinds) {
            if (!testsupport::isReached([&] { return isServed(kind, router, ++probe); }))
                runLog_.fail(kind + " is not served again at router " + std::to_string(router));
        }
    }
}

bool SoakRun::isServed(const std::string& kind, std::size_t router, int probe)
{
    CallerRequest request;
    request.method = kind == "/get/" ? "GET" : "POST";
    request.target = kind + "probe";
    request.attempt = "probe" + std::to_string(probe);
    request.model = isStream(kind) ? "cold" : "";
    request.headers = parameters_.headers;
    Caller caller(probeTimeout);
    return caller.connect(fleet_.callers(router)) && caller.call(request.text()).status == 200;
}

} // namespace lagoon::soak
