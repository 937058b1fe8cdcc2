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

/// Keeps one engine's models as its routers want them: reads its state, gives one order after the other, and tells the
/// routers what changes. Belongs to the control thread.
///
/// There is one keeper per engine, on its VM, so that orders have one source. What a former process ordered, and what
/// this one ordered without an answer, may still be carried out: fence, expected count and instance go with each order,
/// and the engine's own report decides what holds.
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
        /// Publishes its load; the rest is as in the state that was published last.
        std::function<void(const catalog::EngineLoad&)> publishLoad;
    };

    EngineController(Context, const EngineControllerSettings&);
    ~EngineController();
    EngineController(const EngineController&) = delete;
    EngineController& operator=(const EngineController&) = delete;

    void start();
    /// `instance` is the engine's as that router's list names it; empty if the list has none.
    void setDemand(const framework::VmName& router, const catalog::InstanceId& instance, catalog::DemandList);
    void forgetRouter(const framework::VmName&);

private:
    void readProfile();
    void acquireFencingToken();
    void poll();
    void pollAfter(framework::Milliseconds);
    void didReport(framework::Result<EngineReport>);
    void noteRestart(const EngineReport&);
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
    /// Of the engine's process, as it says; nothing if it doesn't.
    std::optional<catalog::StartTime> started_;
    catalog::InstanceId instance_;
    /// The engine said that it isn't this one; routers may go on naming it while their list lags.
    catalog::InstanceId rejectedInstance_;
    /// Orders that the engine has accepted at least; a report with fewer is older than the last answer.
    OrderCount acceptedOrders_;
    framework::SteadyTime acceptedOrdersSeenAt_ {};
    bool isReporting_ = false;
    bool isOrdering_ = false;
    bool isAcquiringToken_ = false;
    bool isEngineLost_ = false;
    /// No order before this: the engine was busy with another.
    framework::Deadline ordersAllowedAt_;
    /// Until then an order that got no answer may still be carried out.
    framework::Deadline lateOrdersUntil_;
    /// Digests of what was published last.
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
