#include "soak/faultrecord.h"

#include <algorithm>

namespace lagoon::soak {

using framework::SteadyTime;

FaultRecord::Number FaultRecord::begin(const FaultScope& scope, SteadyTime at)
{
    faults_.push_back({ scope, at, std::nullopt });
    return faults_.size() - 1;
}

void FaultRecord::end(Number number, SteadyTime at) { faults_.at(number).until = at; }

bool FaultRecord::hasActed(const FaultScope& scope, SteadyTime from, SteadyTime to) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
        return fault.scope == scope && fault.from <= to && (!fault.until || *fault.until >= from);
    });
}

std::optional<Excuse> FaultRecord::excuseFor(const FailedRequest& request) const
{
    if (hasActed(FaultScope::router(request.router), request.sentAt, request.endedAt))
        return Excuse::RouterFault;
    if (!request.hasAnswerBegun)
        return std::nullopt;
    if (request.hasServerBrokenOff)
        return Excuse::ServerBrokeOff;
    for (const std::string& server : request.servers) {
        if (hasActed(FaultScope::link(server), request.sentAt, request.endedAt))
            return Excuse::LinkFault;
    }
    return std::nullopt;
}

} // namespace lagoon::soak
