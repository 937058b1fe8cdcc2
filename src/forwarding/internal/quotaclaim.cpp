#include "forwarding/internal/quotaclaim.h"

#include "forwarding/internal/requestjob.h"

#include <utility>

namespace lagoon::forwarding {

namespace {

double costOf(const catalog::Quota& quota, const RequestFacts& facts)
{
    if (quota.unit == catalog::QuotaUnit::Requests)
        return 1;
    if (!facts.statesTokens)
        return static_cast<double>(quota.plainTokens.value());
    return static_cast<double>(facts.promptTokens.value()) + static_cast<double>(facts.maxOutputTokens.value());
}

} // namespace

QuotaClaim::QuotaClaim(quotas::ICustomerQuotas& quotas)
    : quotas_(quotas)
{
}

QuotaClaim::~QuotaClaim()
{
    if (pending_)
        quotas_.withdraw(*pending_);
}

bool QuotaClaim::ask(const JobSpec& spec, std::function<void(const quotas::DrawReply&)> handler)
{
    if (!spec.customer || !spec.customer->quota.isLimited())
        return false;
    const catalog::Quota& quota = spec.customer->quota;
    draw_ = { spec.customer->name, quota, spec.configuration->version, costOf(quota, spec.facts), spec.firstEventBy };
    // The reply comes later, and not at all once the draw is withdrawn.
    pending_ = quotas_.draw(
        *draw_, [this, handler = std::move(handler)](const quotas::DrawReply& reply) { didReply(reply, handler); });
    return true;
}

void QuotaClaim::didReply(const quotas::DrawReply& reply, const std::function<void(const quotas::DrawReply&)>& handler)
{
    pending_.reset();
    isGranted_ = reply.outcome == quotas::DrawOutcome::Granted;
    handler(reply);
}

void QuotaClaim::didRepeat()
{
    if (!isGranted_)
        return;
    // The one before it was paid for and has not run.
    if (!std::exchange(isRepeatUnused_, false))
        quotas_.charge(*draw_);
    hasRepeated_ = true;
}

void QuotaClaim::didNotRun() { isRepeatUnused_ = hasRepeated_; }

void QuotaClaim::didEnd(bool hasSurelyNeverRun)
{
    if (pending_)
        quotas_.withdraw(*std::exchange(pending_, std::nullopt));
    if (std::exchange(isGranted_, false) && (hasSurelyNeverRun || isRepeatUnused_))
        quotas_.giveBack(*draw_);
}

} // namespace lagoon::forwarding
