#include "forwarding/internal/requestjob.h"
#include "forwarding/internal/upstreamattempt.h"
#include "framework/eventloop.h"

namespace lagoon::forwarding {

void RequestJob::breakOff(const std::string& cause)
{
    exchange_->breakOff();
    end("broken_off", 0, cause);
}

void RequestJob::failAfterException()
{
    framework::reportException("a request");
    if (const auto attempt = std::exchange(attempt_, nullptr))
        attempt->abandon();
    if (isEnded_)
        return host_.didEnd(shared_from_this());
    const std::string cause = "an exception in this router";
    if (hasStreamBegun_)
        return breakOff(cause);
    exchange_->answer({ 500, {}, {} }, {});
    end("failed", 500, cause);
}

} // namespace lagoon::forwarding
