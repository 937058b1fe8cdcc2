#include "router/router.h"

#include "bundle/bundlewatch.h"
#include "bundle/replicaobject.h"
#include "callers/callerserver.h"
#include "framework/awaitedport.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/logging.h"
#include "framework/randomid.h"
#include "framework/types/shutdowndeadlines.h"
#include "framework/workerpool.h"
#include "http/opsserver.h"
#include "objectstore/objectstoreclient.h"
#include "policy/policysetup.h"
#include "policy/rendezvous.h"
#include "quarantine/suspectreport.h"
#include "router/internal/agentsessions.h"
#include "router/internal/dispatcher.h"
#include "router/internal/evidencelinks.h"
#include "router/internal/home.h"
#include "router/internal/linkserver.h"
#include "router/internal/peerlinks.h"
#include "router/internal/placementcache.h"
#include "router/internal/targets.h"
#include "router/internal/vmdirectory.h"
#include "router/internal/vmlistwatcher.h"
#include "router/internal/wakes.h"
#include "wire/linktransport.h"

#include <algorithm>
#include <cpprest/json.h>
#include <future>
#include <thread>

namespace lagoon::router {

using framework::BundleVersion;
using framework::Deadline;
using framework::Milliseconds;
using framework::VmName;

namespace {

constexpr std::size_t platformThreads = 2;
constexpr Milliseconds holdersTimeout { 1000 };
/// Time for callers to finish sending the body of a refused request; the same as in normal operation.
constexpr Milliseconds bodyDrainTimeout { 2000 };

framework::Result<TargetHolders> holdersOf(const std::string& text, const objectstore::ObjectKey& key)
{
    BOOST_OUTCOME_TRY(object, bundle::parseReplicaObject(text, key));
    TargetHolders holders;
    holders.bundleVersion
        = object.lowered ? std::max(object.bundleVersion, object.lowered->bundleVersion) : object.bundleVersion;
    for (const bundle::ReplicaHolder& holder : object.holders)
        holders.vms.push_back(holder.vm);
    return holders;
}

} // namespace

class Router::Implementation {
public:
    explicit Implementation(const RouterSettings& settings);
    ~Implementation() { shutDown(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    framework::Result<RouterEndpoints> start();
    void drain();
    void shutDown();

private:
    SessionContext sessionContext();
    Home::Context homeContext();
    Wakes::Context wakesContext();
    Dispatcher::Context dispatcherContext();
    LinkServer::Context linkServerContext();
    http::OpsViews opsViews();
    BundleVersion bundleVersion() const;
    void setPolicies(const bundle::PolicyParameters&);
    void handleVmList(const objectstore::VmEntries&);
    std::size_t homesPerSite() const;
    void updateStoreShare();
    void findHolders(const SiteTarget&, HoldersHandler);
    bool isKeySweeper() const;
    std::string status();
    std::string suspects();
    /// Carries out an operator's release order and returns the HTTP status to answer.
    unsigned short release(const std::string& target);

    RouterSettings settings_;
    framework::Incarnation incarnation_ = framework::newIncarnation();
    framework::SystemClock clock_;
    std::shared_ptr<framework::Metrics> metrics_ = std::make_shared<framework::Metrics>();
    framework::ControlThread control_;
    framework::WorkerPool platformCalls_ { platformThreads };
    objectstore::ObjectStoreClient platform_;
    std::shared_ptr<wire::ILinkTransport> transport_;
    std::shared_ptr<bundle::IBundleWatch> bundles_;
    VmDirectory directory_;
    PlacementCache placements_;
    AgentSessions sessions_;
    std::shared_ptr<PeerLinks> peers_;
    IdempotencyKeys keys_;
    EvidenceLinks evidence_;
    Dispatcher dispatcher_;
    LoadGate gate_;
    Home home_;
    Wakes wakes_;
    LinkServer linkServer_;
    VmListWatcher vmWatcher_;
    callers::CallerServer callerServer_;
    http::OpsServer opsServer_;
    framework::AwaitedPort opsPort_ { "ops", settings_.ops,
        [this](const framework::Endpoint& at) { return opsServer_.start(at); } };
    framework::AwaitedPort callersPort_ { "callers", settings_.callers,
        [this](const framework::Endpoint& at) { return callerServer_.start(at); } };
    framework::AwaitedPort linkPort_ { "link", settings_.link,
        [this](const framework::Endpoint& at) { return linkServer_.start(*transport_, at); } };
    std::atomic<bool> hasVms_ { false };
    std::atomic<bool> isShuttingDown_ { false };
    bool isStarted_ = false;
    /// Set once all components have started.
    bool isServing_ = false;
    /// Set by the first call of `drain`.
    std::optional<framework::ShutdownDeadlines> shutdownDeadlines_;
};

Router::Implementation::Implementation(const RouterSettings& settings)
    : settings_(settings)
    , platform_(objectstore::makeObjectStoreClient(settings_.platform, metrics_))
    , transport_(wire::makeTcpLinkTransport({}, metrics_))
    , bundles_(bundle::makeBundleWatch(bundle::HeadMode::Watch, platform_.store, control_, metrics_))
    , sessions_(sessionContext(), directory_)
    , peers_(std::make_shared<PeerLinks>(sessionContext(), directory_))
    , keys_(platform_.store, platformCalls_, control_, clock_, metrics_, settings_.dispatch.keyRetention)
    , evidence_({ control_, clock_, directory_, sessions_, *metrics_,
          [this](const quarantine::EvidenceUpdate& update) { dispatcher_.quarantine().merge(update); } })
    , dispatcher_(dispatcherContext())
    , gate_(control_, clock_, *metrics_)
    , home_(homeContext())
    , wakes_(wakesContext())
    , linkServer_(linkServerContext())
    , vmWatcher_(platform_.vmList, control_, clock_, metrics_, [this](const auto& vms) { handleVmList(vms); })
    , callerServer_(
          settings_.limits, dispatcher_, [this] { return bundles_->current(); }, incarnation_, metrics_)
    , opsServer_(opsViews(), metrics_)
{
    dispatcher_.setWakes(wakes_);
    setPolicies({});
    bundles_->changed().subscribe([this](const bundle::BundlePointer& bundle) {
        setPolicies(bundle->policy);
        updateStoreShare();
    });
}

SessionContext Router::Implementation::sessionContext()
{
    return SessionContext { settings_.identity.vm, incarnation_, *transport_, control_, clock_, *metrics_,
        settings_.dispatch, [this] { return bundleVersion(); },
        [this](BundleVersion version) { bundles_->observeVersion(version); },
        [this](
            const framework::VmName& agent, const wire::fb::CrashEvidenceT& body) { evidence_.receive(agent, body); },
        [this](const quarantine::CutRequest& cut) { dispatcher_.quarantine().didCut(cut); },
        [this](const framework::VmName& agent) { evidence_.didOpen(agent); } };
}

Home::Context Router::Implementation::homeContext()
{
    return Home::Context { settings_.identity.site, control_, clock_, *metrics_, settings_.dispatch, sessions_,
        directory_, placements_, gate_, [this] { return bundles_->current(); },
        [this](BundleVersion version) { bundles_->observeVersion(version); },
        [this](const SiteTarget& where, HoldersHandler handler) { findHolders(where, std::move(handler)); } };
}

Wakes::Context Router::Implementation::wakesContext()
{
    return Wakes::Context { settings_.identity.vm, control_, clock_, *metrics_, directory_, home_, *peers_,
        [this] { return homesPerSite(); }, [this] { return bundleVersion(); },
        [this](const auto& where, const auto& vms, const auto& requests) {
            dispatcher_.handlePlacements(where, vms, requests);
        },
        [this](const auto& error, BundleVersion homeVersion, const auto& requests) {
            dispatcher_.handleRefusal(error, homeVersion, requests);
        },
        [this](const WakeReply& progress, const auto& requests) { dispatcher_.handleForecast(progress, requests); } };
}

Dispatcher::Context Router::Implementation::dispatcherContext()
{
    return Dispatcher::Context { settings_.identity.site, control_, clock_, *metrics_, settings_.dispatch, directory_,
        placements_, sessions_, [this] { return bundles_->current(); }, &keys_, settings_.quarantine,
        [this](const quarantine::EvidenceUpdate& update) { evidence_.share(update); } };
}

LinkServer::Context Router::Implementation::linkServerContext()
{
    return LinkServer::Context { settings_.identity.vm, incarnation_, control_, clock_, *metrics_, home_,
        [this] { return bundleVersion(); }, [this](BundleVersion version) { bundles_->observeVersion(version); } };
}

http::OpsViews Router::Implementation::opsViews()
{
    return http::OpsViews { [this] { return hasVms_ && bundles_->current() && !isShuttingDown_; },
        [this] { return status(); }, [this] { return suspects(); },
        [this](const std::string& target) { return release(target); } };
}

std::string Router::Implementation::suspects()
{
    std::promise<std::string> report;
    control_.post([this, &report] {
        report.set_value(quarantine::reportSuspects(dispatcher_.quarantine().suspects(), clock_.now()));
    });
    return report.get_future().get();
}

unsigned short Router::Implementation::release(const std::string& target)
{
    const auto order = quarantine::parseRelease(target);
    if (!order)
        return 400;
    std::promise<bool> wasSuspected;
    control_.post([this, &order, &wasSuspected] {
        wasSuspected.set_value(dispatcher_.quarantine().release(order->request, order->operatorName));
    });
    return wasSuspected.get_future().get() ? 200 : 404;
}

BundleVersion Router::Implementation::bundleVersion() const
{
    const bundle::BundlePointer bundle = bundles_->current();
    return bundle ? bundle->version : BundleVersion();
}

void Router::Implementation::setPolicies(const bundle::PolicyParameters& parameters)
{
    gate_.setPolicy(parameters, policy::makeLoadOrder(parameters));
    home_.setLoadPlacement(policy::makeLoadPlacement(parameters));
    dispatcher_.setReplicaChoice(policy::makeReplicaChoice(parameters));
}

void Router::Implementation::handleVmList(const objectstore::VmEntries& vms)
{
    directory_.setEntries(vms);
    sessions_.removeGone();
    evidence_.updateRelays();
    dispatcher_.quarantine().setServers(directory_.agents().size());
    updateStoreShare();
    hasVms_ = true;
}

/// Returns the number of loads that the weight store serves at full speed, divided by the number of sites, and at least
/// 1: each home then has a slot of its own at the store. Each home may always run one load, so with more homes than
/// slots the homes together could run more loads than the store serves at full speed.
std::size_t Router::Implementation::homesPerSite() const
{
    const bundle::BundlePointer bundle = bundles_->current();
    const std::uint32_t slots = bundle ? bundle->policy.weightLoadsAtFullSpeed : 1;
    return std::max<std::size_t>(1, slots / std::max<std::size_t>(1, directory_.sites().size()));
}

/// Updates the load gate with the number of homes and this router's rank among them.
void Router::Implementation::updateStoreShare()
{
    std::vector<VmName> homes;
    for (const framework::SiteName& site : directory_.sites()) {
        for (VmName& vm : directory_.homes(site, homesPerSite()))
            homes.push_back(std::move(vm));
    }
    std::sort(homes.begin(), homes.end());
    const auto own = std::find(homes.begin(), homes.end(), settings_.identity.vm);
    gate_.setHomes(static_cast<std::uint32_t>(std::max<std::size_t>(1, homes.size())),
        static_cast<std::uint32_t>(own - homes.begin()));
}

void Router::Implementation::findHolders(const SiteTarget& where, HoldersHandler handler)
{
    platformCalls_.run([this, where, handler = std::move(handler)] {
        const auto key = bundle::replicaKey(where.site, where.target.model, where.target.adapter);
        const auto stored = platform_.store->get(key, Deadline::after(clock_.now(), holdersTimeout));
        framework::Result<TargetHolders> holders = TargetHolders();
        if (stored.has_error())
            holders = stored.error();
        else if (stored.value())
            holders = holdersOf(stored.value()->value, key);
        control_.post([handler, holders] { handler(holders); });
    });
}

/// Whether this router is the one, among the routers of all sites, that sweeps idempotency keys. Two sweepers at once,
/// while VM lists differ, do no harm.
bool Router::Implementation::isKeySweeper() const
{
    const std::vector<VmName> order = policy::rendezvousOrder("keys", directory_.liveRouters());
    return !order.empty() && order.front() == settings_.identity.vm;
}

std::string Router::Implementation::status()
{
    std::promise<web::json::value> gathered;
    control_.post([this, &gathered] {
        web::json::value state;
        state["requests"] = web::json::value::number(static_cast<std::uint64_t>(dispatcher_.requests()));
        state["waiting"] = web::json::value::number(static_cast<std::uint64_t>(wakes_.waiting()));
        gathered.set_value(state);
    });
    web::json::value state = gathered.get_future().get();
    state["role"] = web::json::value::string("router");
    state["vm"] = web::json::value::string(settings_.identity.vm.value());
    state["site"] = web::json::value::string(settings_.identity.site.value());
    state["bundle_version"] = web::json::value::number(bundleVersion().value());
    state["ready"] = web::json::value::boolean(hasVms_ && bundles_->current() && !isShuttingDown_);
    return state.serialize();
}

framework::Result<RouterEndpoints> Router::Implementation::start()
{
    isStarted_ = true;
    BOOST_OUTCOME_TRY(ops, opsPort_.bind());
    BOOST_OUTCOME_TRY(callers, callersPort_.bind());
    BOOST_OUTCOME_TRY(link, linkPort_.bind());
    bundles_->start();
    vmWatcher_.start();
    control_.post([this] { evidence_.start(); });
    control_.post([this] { keys_.startSweeping([this] { return isKeySweeper(); }); });
    isServing_ = true;
    return RouterEndpoints { .callers = callers, .link = link, .ops = ops };
}

/// Prevents requests in flight from being cut: the load balancer sees "not ready", new requests are refused as not run,
/// and no connection is closed before the last reply was sent. Requests that can't be served within the grace period
/// are answered before it is over, since the platform kills the process then.
void Router::Implementation::drain()
{
    if (!shutdownDeadlines_)
        shutdownDeadlines_ = framework::ShutdownDeadlines::after(clock_.now(), settings_.shutdownGrace);
    const framework::ShutdownDeadlines deadlines = *shutdownDeadlines_;
    isShuttingDown_ = true;
    framework::logInfo("router", "shutting down, refusing new requests");
    callerServer_.refuseNew();
    control_.post([this, deadlines] { dispatcher_.beginShutdown(deadlines); });
    // Callers still use connections on which no reply has asked them to close, and load balancers haven't noticed the
    // shutdown yet.
    if (isServing_)
        std::this_thread::sleep_until(deadlines.noticedBy.at());
    const bool isIdle = callerServer_.waitUntilIdle(deadlines.exitBy);
    // Some request bodies never arrive, so the wait for them is shorter than the grace period.
    callerServer_.waitUntilAllSent(std::min(deadlines.exitBy, Deadline::after(clock_.now(), bodyDrainTimeout)));
    keys_.waitUntilSettled(deadlines.exitBy);
    if (isIdle)
        framework::logInfo("router", "drained");
    else
        framework::logWarning("router", "the grace period is over, closing the connections of unfinished requests");
}

void Router::Implementation::shutDown()
{
    if (!std::exchange(isStarted_, false))
        return;
    drain();
    callerServer_.stop();
    vmWatcher_.stop();
    bundles_->stop();
    opsServer_.stop();
    platformCalls_.stop();
    std::promise<void> closed;
    control_.post([this, &closed] {
        sessions_.closeAll();
        peers_->closeAll();
        closed.set_value();
    });
    closed.get_future().get();
    transport_->stop();
    control_.stop();
}

Router::Router(const RouterSettings& settings)
    : implementation_(std::make_unique<Implementation>(settings))
{
}

Router::~Router() = default;

framework::Result<RouterEndpoints> Router::start() { return implementation_->start(); }

void Router::drain() { implementation_->drain(); }

void Router::shutDown() { implementation_->shutDown(); }

} // namespace lagoon::router
