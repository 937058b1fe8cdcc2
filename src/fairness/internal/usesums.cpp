#include "fairness/usesums.h"

#include <chrono>
#include <utility>

namespace lagoon::fairness {

using framework::Milliseconds;
using framework::SteadyTime;

void UseSums::set(const framework::VmName& router, UseReport report, SteadyTime now)
{
    routers_[router] = { std::move(report), now };
}

SummedUse UseSums::sums(SteadyTime now)
{
    std::erase_if(routers_, [now](const auto& entry) { return now - entry.second.at > maxUseAge; });
    SummedUse sums;
    for (const auto& [router, stated] : routers_) {
        ++sums.routers;
        sums.use.rest += stated.report.rest;
        for (const auto& [customer, use] : stated.report.customers)
            sums.use.customers[customer] += use;
    }
    limitNames(sums.use);
    return sums;
}

void LatestUse::set(SummedUse sums, SteadyTime now)
{
    if (isSet_ && now - at_ < 2 * useInterval && sums.routers < sums_.routers)
        return;
    sums_ = std::move(sums);
    at_ = now;
    isSet_ = true;
}

const SummedUse* LatestUse::find(SteadyTime now) const { return isSet_ && now - at_ <= maxUseAge ? &sums_ : nullptr; }

Milliseconds LatestUse::age(SteadyTime now) const { return std::chrono::duration_cast<Milliseconds>(now - at_); }

} // namespace lagoon::fairness
