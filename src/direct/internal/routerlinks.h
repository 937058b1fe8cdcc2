#pragma once

#include "catalog/types/targetdemand.h"
#include "catalog/types/upstream.h"
#include "fairness/userelay.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "quarantine/evidencesharing.h"
#include "quotas/quotakeeper.h"
#include "ratelimits/permitkeeper.h"
#include "streams/originkeeper.h"
#include "wire/ilink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lagoon::direct {

/// An agent's links from the routers. Runs on the control thread.
class RouterLinks {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        std::function<void(const framework::VmName&, const catalog::InstanceId&, catalog::DemandList)> didReceiveDemand;
        std::function<void(const framework::VmName&)> didLoseRouter;
    };

    explicit RouterLinks(Context);
    RouterLinks(const RouterLinks&) = delete;
    RouterLinks& operator=(const RouterLinks&) = delete;

    /// Returns the handlers for the link transport. The transport may call them from any thread.
    wire::LinkHandlers handlers();
    void publish(const catalog::EngineState&);
    /// Publishes the load alone; the rest of the state is as published last.
    void publishLoad(const catalog::EngineLoad&);
    /// The engine has said this about its limit.
    void addLimit(const ratelimits::LimitStatement& limit) { permits_.add(limit); }
    /// Closes links whose routers have fallen silent.
    void closeIdle();

private:
    struct Router {
        framework::VmName name;
        framework::SteadyTime receivedAt {};
        /// Whether the router understands evidence.
        bool takesEvidence = false;
        /// Whether the router understands limits and permits.
        bool takesLimits = false;
        ratelimits::PermitClient client {};
        /// Whether the router reports what its customers use.
        bool reportsUse = false;
    };

    void didReceive(const std::shared_ptr<wire::ILink>&, const wire::Message&);
    void didClose(const std::shared_ptr<wire::ILink>&);
    void sendToAll(const wire::Message&);
    void sendEvidence(const wire::Message&);
    void sendLimits(const wire::Message&);
    void sendUse(const wire::Message&);
    void sendTo(ratelimits::PermitClient, const wire::Message&);
    void greet(wire::ILink&, const Router&);
    bool hasOtherLink(const framework::VmName&) const;

    Context context_;
    std::map<std::shared_ptr<wire::ILink>, Router> routers_;
    std::optional<catalog::EngineState> lastState_;
    /// What routers tell each other of requests that crash their servers.
    quarantine::EvidenceSharing evidence_;
    /// To which software routers sent their streams.
    streams::OriginKeeper origins_;
    /// Permits for the engine and for other limited servers.
    ratelimits::PermitKeeper permits_;
    /// What customers may use, for those whose quotas routers ask this agent for.
    quotas::QuotaKeeper quotas_;
    /// What customers use over all routers.
    fairness::UseRelay use_;
    std::uint64_t clients_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace lagoon::direct
