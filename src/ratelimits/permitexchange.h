#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "ratelimits/iserverpermits.h"
#include "ratelimits/permitqueue.h"
#include "ratelimits/permitwire.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lagoon::ratelimits {

/// A router's part: asks the agent that keeps a server's permits for each request to it. That is the agent beside the
/// server or, for servers without one, an agent that all routers choose. While that agent can't be asked, the router
/// grants its own requests a small share of the limit. Runs on the control thread.
class PermitExchange final : public IServerPermits {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        /// Sends to the agent of an engine. Called only between `didOpen` and `didClose` of the engine.
        std::function<void(const framework::Endpoint&, const wire::Message&)> send;
        std::function<void(const std::vector<LimitStatement>&)> didReceiveLimits;
    };

    explicit PermitExchange(Context);

    /// Sets the engines, beside each of which there is an agent.
    void setEngines(std::set<framework::Endpoint>);
    /// Sets the engines whose agents keep the permits of servers without an agent, equally at all routers.
    void setCommonKeepers(std::set<framework::Endpoint>);
    /// The link to the agent of an engine is open, and the agent grants permits.
    void didOpen(const framework::Endpoint&);
    void didClose(const framework::Endpoint&);
    void receive(const framework::Endpoint& from, const wire::fb::ServerPermitsT&);

    void share(const LimitStatement&, const framework::Endpoint&) override;
    void ask(const PermitOrder&, std::function<void(const PermitReply&)>) override;
    void withdraw(const PermitNumber&) override;

private:
    /// An order without a reply.
    struct Order {
        PermitOrder order;
        std::function<void(const PermitReply&)> handler;
        framework::SteadyTime askedAt {};
        /// The engine whose agent was asked; empty if this router decides.
        framework::Endpoint keeper;
        std::unique_ptr<framework::Timer> timeout;
    };
    /// This router's share of a server's limit.
    struct OwnShare {
        PermitQueue queue;
        RequestRate rate;
        framework::SteadyTime usedAt {};
        std::unique_ptr<framework::Timer> timer;
    };
    /// A permit that was granted recently, and may still be given back.
    struct Granted {
        framework::Endpoint keeper;
        ServerRunKey server;
        framework::Deadline keptUntil;
    };

    framework::Endpoint keeperOf(const framework::Endpoint& server) const;
    void askKeeper(Order&);
    void askOwnShare(Order&);
    OwnShare& ownShare(const PermitOrder&);
    void decideOwnShare(const ServerRunKey&);
    void handleOwnDecisions(const ServerRunKey&, const std::vector<PermitDecision>&);
    void askAgain(const std::vector<PermitNumber>&);
    void withdrawFrom(const framework::Endpoint& keeper, const ServerRunKey&, const PermitNumber&);
    void reply(const PermitNumber&, const PermitReply&);
    void forgetOld();

    Context context_;
    std::set<framework::Endpoint> engines_;
    std::set<framework::Endpoint> commonKeepers_;
    std::set<framework::Endpoint> open_;
    std::map<PermitNumber, Order> orders_;
    std::map<PermitNumber, Granted> granted_;
    std::map<ServerRunKey, OwnShare> shares_;
};

} // namespace lagoon::ratelimits
