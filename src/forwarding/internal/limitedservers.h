#pragma once

#include "forwarding/internal/upstreamtable.h"
#include "forwarding/irequestdialect.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "ratelimits/iserverpermits.h"
#include "ratelimits/limittable.h"

#include <functional>
#include <map>
#include <vector>

namespace lagoon::forwarding {

/// A request's permit to be sent to a limited server.
struct RequestPermit {
    ratelimits::PermitNumber number;
    catalog::UpstreamRun server;
    /// False until it is granted.
    bool isGranted = false;
    /// Whether the request waits for its turn. Otherwise the permit is granted at once or not at all.
    bool mayWait = false;
    /// A granted permit has to be used by this time.
    framework::Deadline validUntil;
    /// Who granted it, for the log.
    const char* source = "";
};

/// The servers that name a limit of requests, as this router knows them, and its permits to send requests there.
/// Belongs to the traffic thread.
class LimitedServers {
public:
    using PermitHandler = std::function<void(const ratelimits::PermitReply&)>;

    LimitedServers(framework::Metrics&, ratelimits::IServerPermits&);

    /// The head of an answer says this of the server's limit. The answered request was sent at `sentAt`.
    void didAnswer(const UpstreamRecord&, const ratelimits::LimitHeader&, AnswerClass, framework::SteadyTime sentAt,
        framework::SteadyTime now);
    /// Adds what other routers have heard.
    void didHear(const std::vector<ratelimits::LimitStatement>&, framework::SteadyTime now);
    void expire(framework::SteadyTime now);

    /// Returns the rate at which all routers together may send requests to the server; std::nullopt if it isn't
    /// limited.
    std::optional<ratelimits::RequestRate> rate(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Returns the rates of all limited servers.
    std::map<framework::Endpoint, ratelimits::RequestRate> rates(framework::SteadyTime now) const;
    /// Whether a request needs a permit for the server.
    bool isLimited(const UpstreamRecord& server, framework::SteadyTime now) const
    {
        return rate(server, now).has_value();
    }
    /// Until when the server is known not to take another request of this priority.
    framework::Deadline deniedUntil(const UpstreamRecord&, std::uint32_t priority) const;
    /// Whether a request of this priority may be sent to the server, or is worth asking for.
    bool mayTake(const UpstreamRecord&, std::uint32_t priority, framework::SteadyTime now) const;

    ratelimits::PermitNumber nextPermit() { return ratelimits::PermitNumber(++permitsAsked_); }
    /// Asks for a permit for the server. The handler is called once, unless the permit is withdrawn before. `routers`
    /// is the number of routers.
    void ask(const ratelimits::PermitNumber&, const UpstreamRecord&, std::uint32_t priority,
        framework::Deadline neededBy, std::uint32_t routers, framework::SteadyTime now, PermitHandler);
    /// A request of this priority was denied a permit.
    void didDeny(const ratelimits::ServerRunKey&, std::uint32_t priority, framework::Milliseconds retryAfter,
        framework::SteadyTime now);
    void withdraw(const ratelimits::PermitNumber& number) { permits_.withdraw(number); }

private:
    /// Until when requests are denied, by priority; a denial also holds for less urgent ones.
    using Denials = std::map<std::uint32_t, framework::Deadline>;

    bool add(const ratelimits::LimitStatement&, const char* source);
    void share(const ratelimits::ServerRunKey&);

    framework::Metrics& metrics_;
    ratelimits::IServerPermits& permits_;
    ratelimits::LimitTable limits_;
    std::map<ratelimits::ServerRunKey, framework::Endpoint> endpoints_;
    std::map<ratelimits::ServerRunKey, Denials> denials_;
    std::uint64_t permitsAsked_ = 0;
};

} // namespace lagoon::forwarding
