#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/ids.h"
#include "router/internal/home.h"
#include "wire/ilink.h"

#include <functional>
#include <map>
#include <memory>

namespace lagoon::router {

/// Accepts links from other routers and answers their wakes.
class LinkServer {
public:
    struct Context {
        framework::VmName ownVm;
        framework::Incarnation ownIncarnation;
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        Home& home;
        std::function<framework::BundleVersion()> bundleVersion;
        std::function<void(framework::BundleVersion)> observeVersion;
    };

    explicit LinkServer(const Context&);
    framework::Result<framework::Endpoint> start(wire::ILinkTransport&, const framework::Endpoint&);

private:
    using LinkPointer = std::shared_ptr<wire::ILink>;

    void handle(const LinkPointer&, const wire::Message&);
    void handleHello(const LinkPointer&, const wire::fb::HelloT&);
    void wake(const LinkPointer&, const wire::fb::WakeT&);

    Context context_;
    /// The router at the other end of each link, known from its hello.
    std::map<LinkPointer, framework::VmName> senders_;
};

} // namespace lagoon::router
