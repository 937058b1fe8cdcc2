#include "framework/awaitedport.h"

#include "framework/decisionlog.h"

namespace lagoon::framework {

AwaitedPort::AwaitedPort(std::string name, Endpoint endpoint, Listen listen)
    : name_(std::move(name))
    , endpoint_(std::move(endpoint))
    , listen_(std::move(listen))
{
}

Result<Endpoint> AwaitedPort::bind()
{
    if (isBound_)
        return endpoint_;
    const auto bound = listen_(endpoint_);
    if (bound) {
        isBound_ = true;
        endpoint_ = bound.value();
        if (isAwaited_)
            logDecision(LogLine("port_bound").text("port", name_).text("endpoint", endpoint_.value()));
        return endpoint_;
    }
    if (!isAwaited_)
        logDecision(LogLine("port_awaited")
                        .text("port", name_)
                        .text("endpoint", endpoint_.value())
                        .text("cause", bound.error().detail));
    isAwaited_ = true;
    return bound.error();
}

} // namespace lagoon::framework
