#include "forwarding/internal/inflightguard.h"

#include <utility>

namespace lagoon::forwarding {

InFlightGuard::InFlightGuard(UpstreamPointer upstream, catalog::ModelTarget target, std::uint32_t priority,
    std::uint64_t newTokens, ReadingSample sample, framework::SteadyTime sentAt)
    : upstream_(std::move(upstream))
    , target_(std::move(target))
    , priority_(priority)
    , newTokens_(newTokens)
    , sample_(std::move(sample))
    , sentAt_(sentAt)
{
    ++upstream_->inFlight;
    ++upstream_->starting;
    upstream_->startingTokens[priority_] += newTokens_;
    if (!target_.model.value().empty())
        ++upstream_->inFlightByTarget[target_];
}

InFlightGuard::~InFlightGuard()
{
    noteStart();
    if (--upstream_->inFlight == 0)
        upstream_->liveness.didBecomeIdle();
    const auto target = upstream_->inFlightByTarget.find(target_);
    if (target != upstream_->inFlightByTarget.end() && --target->second == 0)
        upstream_->inFlightByTarget.erase(target);
}

void InFlightGuard::didStart(framework::SteadyTime now)
{
    if (isStarting_ && sample_.speeds && upstream_->isIndexed)
        sample_.speeds->didRead(upstream_->facts.run(), { target_.model, sample_.weights }, sample_.tokens,
            std::chrono::duration_cast<framework::Milliseconds>(now - sentAt_));
    noteStart();
}

void InFlightGuard::noteStart()
{
    if (!std::exchange(isStarting_, false))
        return;
    --upstream_->starting;
    upstream_->startingTokens[priority_] -= newTokens_;
}

} // namespace lagoon::forwarding
