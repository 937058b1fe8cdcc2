#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

/// What a fault acts on. Requests pass through routers and through the links between routers and servers, but not
/// through the store. What servers do to a request is recorded by the servers themselves.
struct FaultScope {
    enum class Place : std::uint8_t { Router, Link, Store };

    static FaultScope router(std::size_t index) { return { Place::Router, std::to_string(index) }; }
    /// The links between all routers and the server that is listed at the endpoint.
    static FaultScope link(const std::string& endpoint) { return { Place::Link, endpoint }; }
    /// The store, or the links to it.
    static FaultScope store() { return { Place::Store, {} }; }

    friend bool operator==(const FaultScope&, const FaultScope&) = default;

    Place place = Place::Router;
    std::string name;
};

/// Why a request may have failed.
enum class Excuse : std::uint8_t { RouterFault, LinkFault, ServerBrokeOff };

/// A request without a whole answer that was neither served nor refused as not run.
struct FailedRequest {
    std::size_t router = 0;
    /// The endpoints that the request was sent to.
    std::vector<std::string> servers = {};
    /// Whether a server closed the request's connection before the end of its answer.
    bool hasServerBrokenOff = false;
    /// Whether the caller received the head of an answer.
    bool hasAnswerBegun = false;
    framework::SteadyTime sentAt {};
    framework::SteadyTime endedAt {};
};

/// The faults of a run and what they excuse.
class FaultRecord {
public:
    using Number = std::size_t;

    Number begin(const FaultScope&, framework::SteadyTime);
    void end(Number, framework::SteadyTime);
    /// Whether a fault acted on the scope at any time between `from` and `to`.
    bool hasActed(const FaultScope&, framework::SteadyTime from, framework::SteadyTime to) const;
    /// A failure is excused by a fault of its own router, or of a server or a link that it was sent over. A connection
    /// that ends without any answer is excused by a fault of the router only, since routers answer for servers and
    /// links that fail.
    std::optional<Excuse> excuseFor(const FailedRequest&) const;

private:
    struct Fault {
        FaultScope scope;
        framework::SteadyTime from {};
        std::optional<framework::SteadyTime> until;
    };

    std::vector<Fault> faults_;
};

} // namespace lagoon::soak
