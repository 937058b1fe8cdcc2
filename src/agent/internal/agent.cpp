#include "agent/agent.h"

#include "agent/internal/agentstatus.h"
#include "agent/internal/httpmodelengine.h"
#include "agent/internal/httpupstream.h"
#include "agent/internal/replicaclaims.h"
#include "agent/internal/replicacontroller.h"
#include "agent/internal/requestgate.h"
#include "agent/internal/routerlinks.h"
#include "agent/internal/servedservices.h"
#include "bundle/bundlewatch.h"
#include "framework/awaitedport.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/logging.h"
#include "framework/periodictask.h"
#include "framework/randomid.h"
#include "framework/types/shutdowndeadlines.h"
#include "framework/workerpool.h"
#include "http/opsserver.h"
#include "objectstore/objectstoreclient.h"
#include "wire/linktransport.h"

#include <atomic>
#include <future>
#include <optional>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Milliseconds;

constexpr std::size_t platformThreads = 4;
/// One thread reads the state while others send orders. An order only waits for the engine's answer, not for the load.
constexpr std::size_t engineThreads = 3;
constexpr Milliseconds housekeepingInterval { 5000 };
constexpr Milliseconds drainCheckInterval { 20 };
constexpr Milliseconds statusTimeout { 1000 };
/// Time for routers to confirm the last answers; routers that have disconnected never confirm.
constexpr Milliseconds settleTimeout { 2000 };

} // namespace

class Agent::Implementation {
public:
    explicit Implementation(const AgentSettings& settings);
    ~Implementation() { shutDown(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    framework::Result<AgentEndpoints> start();
    void shutDown();

private:
    IServedTargets& servedTargets();
    ReplicaPorts replicaPorts();
    void startControl();
    void runHousekeeping();
    void checkDrained(std::promise<bool>&, const framework::ShutdownDeadlines&, std::optional<Deadline> settleBy);
    void probeUpstream(std::function<void(bool accepts)> handler);
    std::string status();
    StatusView statusView() const;
    bool isEngine() const { return settings_.upstream.kind == UpstreamKind::Engine; }

    AgentSettings settings_;
    framework::Incarnation incarnation_ = framework::newIncarnation();
    framework::SystemClock clock_;
    std::shared_ptr<framework::Metrics> metrics_ = std::make_shared<framework::Metrics>();
    framework::ControlThread control_;
    // Separate pools, so that a hanging platform doesn't prevent the engine's state from being read.
    framework::WorkerPool platformCalls_ { platformThreads };
    framework::WorkerPool engineCalls_ { engineThreads };
    objectstore::ObjectStoreClient platform_;
    std::shared_ptr<wire::ILinkTransport> transport_;
    std::shared_ptr<bundle::IBundleWatch> bundles_;
    ServedServices service_;
    std::unique_ptr<UpstreamCrashes> crashes_;
    std::unique_ptr<ReplicaController> replicas_;
    std::unique_ptr<RequestGate> gate_;
    std::unique_ptr<RouterLinks> links_;
    std::unique_ptr<http::OpsServer> ops_;
    framework::AwaitedPort opsPort_ { "ops", settings_.ops,
        [this](const framework::Endpoint& at) { return ops_->start(at); } };
    framework::AwaitedPort linkPort_ { "link", settings_.link,
        [this](const framework::Endpoint& at) { return transport_->listen(at, links_->handlers()); } };
    framework::PeriodicTask housekeeping_ { control_, clock_, housekeepingInterval, [this] { runHousekeeping(); } };
    std::unique_ptr<framework::Timer> drainCheck_;
    std::atomic<bool> isDraining_ { false };
    /// Whether `start` has succeeded.
    std::atomic<bool> isStarted_ { false };
    bool isStopped_ = false;
};

Agent::Implementation::Implementation(const AgentSettings& settings)
    : settings_(settings)
    , platform_(objectstore::makeObjectStoreClient(settings.platform, metrics_))
    , transport_(wire::makeTcpLinkTransport({}, metrics_))
    , bundles_(bundle::makeBundleWatch(bundle::HeadMode::Watch, platform_.store, control_, metrics_))
    , service_(settings.pool)
{
    crashes_ = std::make_unique<UpstreamCrashes>(
        UpstreamCrashes::Context { control_, clock_, metrics_, settings_.identity.vm, incarnation_,
            [this](std::function<void(bool)> handler) { probeUpstream(std::move(handler)); },
            [this](const wire::Message& message) { links_->sendEvidence(message); } });
    if (isEngine()) {
        const UpstreamSettings& upstream = settings_.upstream;
        replicas_ = std::make_unique<ReplicaController>(replicaPorts(),
            ReplicaSettings { settings_.identity.site, settings_.pool, upstream.checksFencing, upstream.settling });
    }
    gate_ = std::make_unique<RequestGate>(GatePorts { control_, clock_, servedTargets(),
                                              makeHttpUpstream(settings_.upstream.url), metrics_, crashes_.get() },
        incarnation_, settings_.limits);
    links_ = std::make_unique<RouterLinks>(RouterLinks::Context { control_, clock_, settings_.identity.vm, incarnation_,
        *gate_, replicas_.get(), *bundles_, metrics_, *crashes_ });
    http::OpsViews views;
    views.isReady = [this] { return isStarted_ && !isDraining_; };
    views.status = [this] { return status(); };
    ops_ = std::make_unique<http::OpsServer>(std::move(views), metrics_);
}

IServedTargets& Agent::Implementation::servedTargets()
{
    if (isEngine())
        return *replicas_;
    return service_;
}

ReplicaPorts Agent::Implementation::replicaPorts()
{
    auto claims = std::make_shared<ReplicaClaims>(
        platform_.store, platform_.vmList, settings_.identity, incarnation_, metrics_);
    return ReplicaPorts { control_, clock_, [this](std::function<void()> work) { platformCalls_.run(std::move(work)); },
        [this](std::function<void()> work) { engineCalls_.run(std::move(work)); }, std::move(claims),
        makeHttpModelEngine(settings_.upstream.url), metrics_, [this] { crashes_->didRestart(); },
        [this] { return gate_->isUpstreamLeaving(); } };
}

void Agent::Implementation::probeUpstream(std::function<void(bool accepts)> handler)
{
    engineCalls_.run([this, handler = std::move(handler)] {
        const bool accepts = acceptsConnections(settings_.upstream.url);
        control_.post([handler, accepts] { handler(accepts); });
    });
}

framework::Result<AgentEndpoints> Agent::Implementation::start()
{
    BOOST_OUTCOME_TRY(ops, opsPort_.bind());
    BOOST_OUTCOME_TRY(link, linkPort_.bind());
    bundles_->changed().subscribe([this](const bundle::BundlePointer& bundle) {
        service_.setBundle(bundle);
        if (replicas_)
            replicas_->setBundle(bundle);
    });
    bundles_->start();
    control_.post([this] { startControl(); });
    isStarted_ = true;
    return AgentEndpoints { link, ops };
}

void Agent::Implementation::startControl()
{
    if (replicas_)
        replicas_->start();
    housekeeping_.start();
}

void Agent::Implementation::runHousekeeping()
{
    gate_->forgetDisconnectedRouters();
    links_->closeIdle();
}

void Agent::Implementation::shutDown()
{
    if (isStopped_)
        return;
    isStopped_ = true;
    isDraining_ = true;
    framework::logInfo("agent", "draining");
    // Claims are kept: the VM stays up and its engine still has the models, so a released claim would let another VM
    // load one replica too many. The next agent on this VM adopts models and claims. If the VM itself is removed, the
    // platform's VM list lets other agents drop its claims.
    auto deadlines = framework::ShutdownDeadlines::after(clock_.now(), settings_.shutdownGrace);
    // If `start` failed, the agent doesn't wait for routers to notice its shutdown.
    if (!isStarted_)
        deadlines.noticedBy = Deadline();
    std::promise<bool> drained;
    control_.post([this, &drained, deadlines] {
        gate_->beginDraining(deadlines);
        if (replicas_)
            replicas_->beginDraining();
        checkDrained(drained, deadlines, std::nullopt);
    });
    if (drained.get_future().get())
        framework::logInfo("agent", "drained");
    else
        framework::logWarning("agent", "the grace period is over, routers haven't confirmed all answers");
    transport_->stopListening();
    bundles_->stop();
    if (ops_)
        ops_->stop();
    transport_->stop();
    platformCalls_.stop();
    engineCalls_.stop();
    control_.stop();
}

/// Completes shutdown once it is safe to close the links. Closing them right after the last answer was sent could
/// truncate it, since it may still be in a send queue; the links stay open until routers have confirmed all answers.
/// They also stay open until routers that still send requests have learned from a refusal that the agent shuts down:
/// for a request sent while the links close, a router can't tell whether it has run.
void Agent::Implementation::checkDrained(
    std::promise<bool>& drained, const framework::ShutdownDeadlines& deadlines, std::optional<Deadline> settleBy)
{
    const auto now = clock_.now();
    if (gate_->isIdle() && !settleBy)
        settleBy = Deadline::after(now, settleTimeout);
    const bool isSettled = gate_->isSettled() || (settleBy && settleBy->hasPassed(now));
    if ((isSettled && deadlines.noticedBy.hasPassed(now)) || deadlines.exitBy.hasPassed(now)) {
        drained.set_value(isSettled);
        return;
    }
    drainCheck_ = control_.runAt(Deadline::after(now, drainCheckInterval),
        [this, &drained, deadlines, settleBy] { checkDrained(drained, deadlines, settleBy); });
}

StatusView Agent::Implementation::statusView() const
{
    const bundle::BundlePointer bundle = bundles_->current();
    StatusView view { settings_.identity, settings_.pool, incarnation_, bundle ? bundle->version.value() : 0,
        isDraining_, *gate_, replicas_.get(), clock_.now() };
    return view;
}

std::string Agent::Implementation::status()
{
    // The state belongs to the control thread. If that thread has been stopped, there is no state left to show.
    auto text = std::make_shared<std::promise<std::string>>();
    auto future = text->get_future();
    control_.post([this, text] { text->set_value(statusText(statusView())); });
    if (future.wait_for(statusTimeout) != std::future_status::ready)
        return "{}";
    return future.get();
}

Agent::Agent(const AgentSettings& settings)
    : implementation_(std::make_unique<Implementation>(settings))
{
}

Agent::~Agent() = default;

framework::Result<AgentEndpoints> Agent::start() { return implementation_->start(); }

void Agent::shutDown() { implementation_->shutDown(); }

} // namespace lagoon::agent
