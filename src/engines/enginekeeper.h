#pragma once

#include "catalog/types/upstream.h"
#include "engines/iengineport.h"
#include "engines/ifencesource.h"
#include "engines/iprofilesource.h"
#include "engines/placementplan.h"
#include "engines/wantedbook.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "objectstore/backoff.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoon::engines {

struct KeeperSettings {
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
class EngineKeeper {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        IEnginePort& engine;
        IFenceSource& fences;
        IProfileSource& profiles;
        std::shared_ptr<framework::Metrics> metrics;
        /// Publishes the state to all subscribers.
        std::function<void(const catalog::EngineState&)> publish;
        /// Publishes its load; the rest is as in the state that was published last.
        std::function<void(const catalog::EngineLoad&)> publishLoad;
    };

    EngineKeeper(Context, const KeeperSettings&);
    ~EngineKeeper();
    EngineKeeper(const EngineKeeper&) = delete;
    EngineKeeper& operator=(const EngineKeeper&) = delete;

    void start();
    /// `instance` is the engine's as that router's list names it; empty if the list has none.
    void setWanted(const framework::VmName& router, const catalog::InstanceId& instance, catalog::WantedList);
    void forgetRouter(const framework::VmName&);

private:
    void readProfile();
    void takeFence();
    void poll();
    void pollAfter(framework::Milliseconds);
    void didReport(framework::Result<EngineReport>);
    void noteRestart(const EngineReport&);
    void beginAnew(const EngineReport&);
    void decide();
    void give(const Order&, const std::string& reason);
    void didOrder(const Order&, const OrderAnswer&);
    bool canOrder() const;
    framework::Milliseconds pollPause() const;
    framework::Milliseconds pollPauseWhileLoading() const;
    void publish(const PlacementDecision&, const std::map<catalog::ModelTarget, catalog::Wanted>&);
    PlacementInput input(const std::map<catalog::ModelTarget, catalog::Wanted>&) const;

    Context context_;
    KeeperSettings settings_;
    WantedBook wanted_;
    PlacementPlan plan_;
    catalog::ConfigurationPointer configuration_;
    const catalog::EngineProfile* profile_ = nullptr;
    std::optional<EngineReport> report_;
    framework::SteadyTime reportedAt_ {};
    std::optional<framework::FencingNumber> fence_;
    /// Of the engine's process, as it says; nothing if it doesn't.
    std::optional<catalog::StartTime> started_;
    catalog::InstanceId instance_;
    /// The engine said that it isn't this one; routers may go on naming it while their list lags.
    catalog::InstanceId deniedInstance_;
    /// Orders that the engine has accepted at least; a report with fewer is older than the last answer.
    OrderCount ordersKnown_;
    framework::SteadyTime ordersKnownAt_ {};
    bool isReporting_ = false;
    bool isOrdering_ = false;
    bool isTakingFence_ = false;
    bool isEngineLost_ = false;
    /// No order before this: the engine was busy with another.
    framework::Deadline holdOrders_;
    /// Until then an order that got no answer may still be carried out.
    framework::Deadline lateOrdersUntil_;
    /// Digests of what was published last.
    std::string publishedState_;
    std::string publishedLoad_;
    framework::SteadyTime publishedAt_ {};
    objectstore::Backoff fenceBackoff_;
    std::unique_ptr<framework::Timer> pollTimer_;
    std::unique_ptr<framework::Timer> fenceTimer_;
    std::unique_ptr<framework::Timer> profileTimer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace lagoon::engines
