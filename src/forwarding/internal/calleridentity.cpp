#include "forwarding/internal/calleridentity.h"

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// Retry-After while the configuration may be outdated: another router may know the caller at once.
constexpr Milliseconds retryAfterUnconfirmed { 500 };

/// The answer that confirms a configuration may be this old when it arrives, and timers run late.
constexpr Milliseconds confirmationDelay { 1000 };

} // namespace

framework::Deadline CallerIdentity::endOfRevoked(Milliseconds within, framework::SteadyTime now) const
{
    if (!confirmedAt_ || within <= confirmationDelay)
        return framework::Deadline(now);
    return framework::Deadline::after(*confirmedAt_, within - confirmationDelay);
}

CallerFinding CallerIdentity::identify(const catalog::Route& route, const http::Request& request,
    const IRequestDialect& dialect, framework::SteadyTime now) const
{
    const auto& customers = configuration_->customers;
    if (!customers)
        return Caller();
    const auto key = dialect.key(request);
    const catalog::Customer* const customer = key ? customers->find(*key) : nullptr;
    if (route.isPublic)
        return Caller { customer, std::nullopt };
    if (!key)
        return refusal("no key, or one that can't be read", now);
    if (!customer)
        return refusal("key of no customer", now);
    return Caller { customer, key };
}

/// Prevents 401 to a caller whose key, or whose public route, is newer than the configuration of this router: callers
/// don't repeat a request after 401.
CallerRefusal CallerIdentity::refusal(const std::string& cause, framework::SteadyTime now) const
{
    if (!confirmedAt_)
        return { 503, cause + ", and the configuration isn't confirmed yet", retryAfterUnconfirmed };
    const auto age = std::chrono::duration_cast<Milliseconds>(now - *confirmedAt_);
    if (age <= maxUnconfirmed_)
        return { 401, cause, std::nullopt };
    return { 503, cause + ", but the configuration wasn't confirmed for " + std::to_string(age.count()) + " ms",
        retryAfterUnconfirmed };
}

} // namespace lagoon::forwarding
