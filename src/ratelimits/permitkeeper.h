#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "ratelimits/limittable.h"
#include "ratelimits/permitqueue.h"
#include "ratelimits/permitwire.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lagoon::ratelimits {

/// An agent's part: grants the routers' requests to limited servers one permit each, so that all routers together keep
/// to the servers' limits, and tells the routers of these limits. Runs on the control thread.
class PermitKeeper {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        std::function<void(PermitClient, const wire::Message&)> send;
        /// Sends to all routers that understand the frame.
        std::function<void(const wire::Message&)> sendToAll;
    };

    explicit PermitKeeper(Context);

    void receive(PermitClient, const wire::fb::ServerPermitsT&);
    /// Adds what a server said to this process.
    void add(const LimitStatement&);
    /// Returns the known limits, for a router that has just come; std::nullopt if there are none.
    std::optional<wire::Message> limits() const;
    void didClose(PermitClient);

private:
    void noteLimit(const LimitStatement&);
    void ask(PermitClient, const PermitQuery&);
    void withdraw(const PermitId&);
    /// The rate at which requests for permits are granted.
    RequestRate rateOf(const ServerRunKey&) const;
    void deliver(const std::vector<PermitDecision>&);
    void decideAll();
    void scheduleDecision();
    void publishLimits();
    void expire();

    Context context_;
    LimitTable limits_;
    std::map<ServerRunKey, PermitQueue> queues_;
    /// Servers whose limits the routers haven't been told of.
    std::set<ServerRunKey> unpublished_;
    std::unique_ptr<framework::Timer> publishTimer_;
    std::unique_ptr<framework::Timer> decisionTimer_;
    framework::Deadline nextExpiry_;
};

} // namespace lagoon::ratelimits
