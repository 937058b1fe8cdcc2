#pragma once

#include "catalog/types/upstream.h"
#include "engines/demandtable.h"
#include "engines/iengineport.h"
#include "engines/ifencingtokensource.h"
#include "engines/iprofilesource.h"
#include "engines/placementplanner.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "objectstore/backoff.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoon::engines {

struct EngineControllerSettings {
    framework::VmName vm;
    framework::ServiceName service;
    framework::Endpoint engine;
};

/// Reconciles one engine's models with its routers' demand: reads the engine's state, gives one order at a time, and
/// publishes changes to the routers. Runs on the control thread.
///
/// There is one controller per engine, on its VM, so that orders have one source. The engine may still carry out orders
/// of a former agent process, and orders of this one that got no answer. Therefore each order carries a fencing token,
/// the expected order count and the engine's instance, and the engine's own report is authoritative.
class EngineController {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        IEnginePort& engine;
        IFencingTokenSource& fencingTokens;
        IProfileSource& profiles;
        std::shared_ptr<framework::Metrics> metrics;
        /// Publishes the state to all subscribers.
        std::function<void(const catalog::EngineState&)> publish;
        /// Publishes the engine's load; the rest of its state is as published last.
        std::function<void(const catalog::EngineLoad&)> publishLoad;
        /// Called with what the engine's reports say about its limit.
        std::function<void(const ratelimits::LimitStatement&)> didReadLimit;
    };

    EngineController(Context, const EngineControllerSettings&);
    ~EngineController();
    EngineController(const EngineController&) = delete;
    EngineController& operator=(const EngineController&) = delete;

    void start();
    /// Replaces the router's demand. `instance` is the engine's instance in that router's list of servers; empty if the
    /// list has none.
    void setDemand(const framework::VmName& router, const catalog::InstanceId& instance, catalog::DemandList);
    void forgetRouter(const framework::VmName&);

private:
    void readProfile();
    void didReadProfile(const framework::Result<catalog::ConfigurationPointer>&);
    void readProfileAfter(framework::Milliseconds);
    template <typename Action> void runGuarded(const Action&);
    void acquireFencingToken();
    void didAcquireFencingToken(const framework::Result<framework::FencingToken>&);
    void acquireFencingTokenAfter(framework::Milliseconds);
    void poll();
    void pollAfter(framework::Milliseconds);
    void didLoseReport();
    void didReport(framework::Result<EngineReport>, const notices::ServerNotice&);
    void noteRestart(const EngineReport&);
    void noteLimit(const EngineReport&);
    void noteLeaving(bool isLeaving);
    void noteRest(const notices::ServerNotice&);
    void resetForNewRun(const EngineReport&);
    void decide();
    void sendOrder(const Order&, const std::string& reason);
    void didOrder(const Order&, const OrderAnswer&);
    bool canOrder() const;
    framework::Milliseconds pollInterval() const;
    framework::Milliseconds pollIntervalWhileLoading() const;
    void publish(const PlacementDecision&, const std::map<catalog::ModelTarget, catalog::TargetDemand>&);
    PlacementInput input(const std::map<catalog::ModelTarget, catalog::TargetDemand>&) const;

    Context context_;
    EngineControllerSettings settings_;
    DemandTable demand_;
    PlacementPlanner planner_;
    catalog::ConfigurationPointer configuration_;
    const catalog::EngineProfile* profile_ = nullptr;
    std::optional<EngineReport> report_;
    framework::SteadyTime reportedAt_ {};
    std::optional<framework::FencingToken> fencingToken_;
    /// Start of the engine's process as it reports it; std::nullopt if it doesn't.
    std::optional<catalog::StartTime> started_;
    catalog::InstanceId instance_;
    /// Instance that the engine has said it isn't. Routers may continue to name it while their list lags.
    catalog::InstanceId rejectedInstance_;
    /// Lower bound of the orders that the engine has accepted. A report with fewer is stale, or of a restarted engine.
    OrderCount acceptedOrders_;
    framework::SteadyTime acceptedOrdersSeenAt_ {};
    framework::SteadyTime reportAskedAt_ {};
    /// The run whose reports name a limit; std::nullopt if they don't.
    std::optional<catalog::UpstreamRun> limitedRun_;
    bool isReporting_ = false;
    bool isOrdering_ = false;
    bool isAcquiringToken_ = false;
    bool isEngineLost_ = false;
    /// The engine has said that it finishes its requests and ends soon.
    bool isLeaving_ = false;
    /// The engine wants no calls before this time.
    framework::Deadline restsUntil_;
    /// No order is given before this time, since the engine was busy, refused the last order or didn't answer it.
    framework::Deadline ordersAllowedAt_;
    /// Until this time the engine may still carry out an order that got no answer.
    framework::Deadline lateOrdersUntil_;
    /// Digests of the state and the load that were published last.
    std::string publishedState_;
    std::string publishedLoad_;
    framework::SteadyTime publishedAt_ {};
    objectstore::Backoff tokenBackoff_;
    std::unique_ptr<framework::Timer> pollTimer_;
    std::unique_ptr<framework::Timer> tokenTimer_;
    std::unique_ptr<framework::Timer> profileTimer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace lagoon::engines
