#include "soak/faultinjector.h"

#include "soak/standins.h"

namespace lagoon::soak {

namespace {

using framework::Endpoint;
using web::json::value;

standins::FaultProxy* makeProxy(const std::string& endpoint)
{
    // Never destroyed, because the proxies' threads still run while static objects are destroyed at exit.
    static auto& kept = *new std::vector<std::unique_ptr<standins::FaultProxy>>;
    return kept.emplace_back(std::make_unique<standins::FaultProxy>(Endpoint(endpoint), standins::Framing::None)).get();
}

std::string startProxy(standins::FaultProxy& proxy, const std::string& address)
{
    return proxy.start(Endpoint(address + ":0")).value().value();
}

} // namespace

FaultInjector::FaultInjector(fleet::Fleet& fleet, ActionScheduler& scheduler, RunLog& runLog)
    : fleet_(fleet)
    , scheduler_(scheduler)
    , runLog_(runLog)
    , proxies_ { makeProxy(fleet.store.endpoint()), makeProxy(fleet.plain1.endpoint()),
        makeProxy(fleet.engine2.endpoint()) }
{
    fleet_.setStoreEndpoint(startProxy(*proxies_[0], "127.0.0.1"));
    const std::string plain = startProxy(*proxies_[1], "127.0.0.1");
    const std::string engine = startProxy(*proxies_[2], "127.0.0.2");
    scopes_ = { FaultScope::store(), FaultScope::link(plain), FaultScope::link(engine) };
    fleet_.listAt(fleet_.plain1, "plain", plain);
    fleet_.listAt(fleet_.engine2, "engines", engine);
}

void FaultInjector::inject(ProcessSupervisor& supervisor, PlannedOperations& operations)
{
    switch (runLog_.draw(6)) {
    case 0:
        return injectProcessFault(supervisor);
    case 1:
        return injectNetworkFault();
    case 2:
        return injectServerFault();
    case 3:
        return injectStoreOutage();
    case 4:
        return restartEngine(operations);
    default:
        return operations.performOne();
    }
}

void FaultInjector::injectProcessFault(ProcessSupervisor& supervisor)
{
    const Role role = runLog_.draw(2) == 0 ? Role::Router : Role::Agent;
    const std::size_t index = runLog_.draw(supervisor.count(role));
    return runLog_.draw(2) == 0 ? supervisor.pause(role, index) : supervisor.kill(role, index);
}

void FaultInjector::setFault(std::size_t proxy, const std::string& name, const value& what)
{
    runLog_.note("proxy " + std::to_string(proxy) + ": " + name + " " + what.serialize());
    value json;
    json[name] = what;
    if (proxies_.at(proxy)->setFaults(json).has_error())
        runLog_.fail("the proxy rejected the fault: " + name);
}

void FaultInjector::cut(std::size_t proxy)
{
    ActiveFaults cutting;
    runLog_.beginFault(cutting, scopes_.at(proxy));
    setFault(proxy, "cut", value::boolean(true));
    runLog_.endFaults(cutting);
}

void FaultInjector::injectNetworkFault()
{
    const std::size_t proxy = runLog_.draw(proxies_.size());
    const std::vector<std::string> directions { "to_server", "to_client", "both" };
    switch (runLog_.draw(4)) {
    case 0:
        return cut(proxy);
    case 1:
        runLog_.beginFault(linkFaults_, scopes_.at(proxy));
        return setFault(proxy, "silent", value::string(directions[runLog_.draw(3)]));
    case 2: {
        value delay;
        delay["to_server"] = value::number(runLog_.draw(40));
        delay["to_client"] = value::number(runLog_.draw(40));
        return setFault(proxy, "delay_ms", delay);
    }
    default: {
        runLog_.beginFault(linkFaults_, scopes_.at(proxy));
        value loss;
        loss["count"] = value::number(1 + runLog_.draw(2));
        loss["after_bytes"] = value::number(runLog_.draw(200));
        return setFault(proxy, "lose_answer", loss);
    }
    }
}

void FaultInjector::injectServerFault()
{
    fleet::ServerStandin* const servers[] { &fleet_.plain1, &fleet_.plain2, &fleet_.engine1, &fleet_.engine2 };
    fleet::ServerStandin& server = *servers[runLog_.draw(4)];
    switch (runLog_.draw(3)) {
    case 0:
        runLog_.note("refused requests at " + server.instance());
        return server.refuseNext(static_cast<int>(1 + runLog_.draw(4)));
    case 1:
        runLog_.note("lost answers at " + server.instance());
        return server.dropNext(static_cast<int>(1 + runLog_.draw(3)));
    default:
        runLog_.note("stream cut within an event");
        return fleet_.engine1.cutStreamAt(static_cast<int>(1 + runLog_.draw(streamEvents)));
    }
}

/// Restarts `engine1` under the same id and without models. `engine2` can't be restarted in this way, because it is
/// listed at its proxy's address.
void FaultInjector::restartEngine(const PlannedOperations& operations)
{
    if (!operations.isListed(0))
        return;
    runLog_.note("engine restarted: " + fleet_.engine1.instance());
    fleet_.engine1.restart();
    fleet_.list(fleet_.engine1, "engines");
}

void FaultInjector::injectStoreOutage()
{
    runLog_.note("store unavailable for a while");
    runLog_.beginFault(storeFaults_, FaultScope::store());
    fleet_.store.setUnavailable(true);
    const bool forgets = runLog_.draw(2) == 0;
    scheduler_.schedule(runLog_.drawDuration(50, 600), [this, forgets] {
        fleet_.store.setUnavailable(false);
        if (forgets)
            fleet_.store.forgetHistory();
        runLog_.endFaults(storeFaults_);
    });
}

void FaultInjector::clearFaults()
{
    fleet_.store.setUnavailable(false);
    value noDelay;
    noDelay["to_server"] = value::number(0);
    noDelay["to_client"] = value::number(0);
    value noLoss;
    noLoss["count"] = value::number(0);
    for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy) {
        setFault(proxy, "delay_ms", noDelay);
        setFault(proxy, "lose_answer", noLoss);
        cut(proxy);
    }
    for (fleet::ServerStandin* const server : std::initializer_list<fleet::ServerStandin*> {
             &fleet_.plain1, &fleet_.plain2, &fleet_.engine1, &fleet_.engine2 }) {
        server->refuseNext(0);
        server->dropNext(0);
    }
    fleet_.engine1.cutStreamAt(0);
    runLog_.note("all faults cleared");
    runLog_.endFaults(storeFaults_);
    runLog_.endFaults(linkFaults_);
}

} // namespace lagoon::soak
