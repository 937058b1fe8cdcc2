#include "soak/soakrun.h"

#include "soak/standins.h"
#include "support/waitfor.h"

#include <thread>

namespace lagoon::soak {

namespace {

using fleet::CallerRequest;
using framework::Deadline;
using framework::Milliseconds;

constexpr Milliseconds lookEach { 10 };
/// Between two pieces of planned work, and between two strikes.
constexpr std::uint64_t leastWorkPauseMs = 200;
constexpr std::uint64_t workPauseSpreadMs = 1300;
constexpr std::uint64_t leastStrikePauseMs = 20;
constexpr std::uint64_t strikePauseSpreadMs = 200;
/// Far longer than an answer takes after all has healed.
constexpr Milliseconds probeTime { 22000 };

} // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings_(settings)
    , terms_(termsOf(settings))
    , fleet_(fleet::Fleet::make())
    , journal_(settings.seed, settings.isLoud)
    , rotation_(settings.routers)
    , processes_({ fleet_, agenda_, journal_, rotation_ }, terms_)
{
}

void SoakRun::prepareFleet()
{
    fleet_.setGrace(terms_.grace);
    fleet_.setModels(terms_.models);
    if (terms_.loadTime.count() > 0)
        fleet_.setLoadTime(terms_.loadTime);
    fleet_.configure(routesOf(terms_, false));
    while (fleet_.engines() < settings_.engines)
        fleet_.list(fleet_.addEngine(), "engines");
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        prepare(fleet_.engine(index), terms_);
    if (settings_.kind == RunKind::Mixed)
        strikes_.emplace(fleet_, agenda_, journal_);
    fleet_.start();
    processes_.adopt(settings_.routers, fleet_.engines());
}

SoakReport SoakRun::run()
{
    prepareFleet();
    Clients clients(settings_, terms_, rotation_);
    disturb();
    waitUntilBack();
    if (strikes_)
        strikes_->heal();
    waitUntilServed();
    Promises promises(fleet_, journal_, report_);
    for (const Sent& sent : clients.stop())
        promises.check(sent);
    promises.checkEngines();
    fleet_.stop();
    report_.broken = journal_.broken();
    return report_;
}

void SoakRun::attend(Milliseconds time)
{
    const Deadline end = Deadline::after(std::chrono::steady_clock::now(), time);
    while (!end.hasPassed(std::chrono::steady_clock::now())) {
        processes_.look();
        agenda_.look();
        std::this_thread::sleep_for(lookEach);
    }
}

void SoakRun::disturb()
{
    PlannedWork work(fleet_, agenda_, journal_, processes_, terms_);
    const Deadline end = Deadline::after(std::chrono::steady_clock::now(), settings_.duration);
    while (!end.hasPassed(std::chrono::steady_clock::now())) {
        ++report_.faults;
        if (strikes_) {
            strikes_->strike(processes_, work);
            attend(journal_.drawTime(leastStrikePauseMs, strikePauseSpreadMs));
        } else {
            work.step();
            attend(journal_.drawTime(leastWorkPauseMs, workPauseSpreadMs));
        }
    }
    waitUntilBack();
    if (!strikes_)
        work.checkLeft();
}

/// Ends only by an exception if a process doesn't come back: `Processes` kills those that don't end.
void SoakRun::waitUntilBack()
{
    while (!agenda_.isEmpty() || !processes_.areAllBack())
        attend(lookEach);
}

/// Each kind of request, at each router.
void SoakRun::waitUntilServed()
{
    int probe = 0;
    for (std::size_t router = 0; router < settings_.routers; ++router) {
        for (const std::string& kind : requestKinds) {
            if (!testsupport::isReached([&] { return isServed(kind, router, ++probe); }))
                journal_.fail(kind + " isn't served again at router " + std::to_string(router));
        }
    }
}

bool SoakRun::isServed(const std::string& kind, std::size_t router, int probe)
{
    CallerRequest made;
    made.method = kind == "/get/" ? "GET" : "POST";
    made.target = kind + "probe";
    made.attempt = "probe" + std::to_string(probe);
    made.model = isStream(kind) ? "cold" : "";
    Caller caller(probeTime);
    return caller.connect(fleet_.callers(router)) && caller.ask(made.text()).status == 200;
}

} // namespace lagoon::soak
