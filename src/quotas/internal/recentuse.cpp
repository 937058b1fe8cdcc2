#include "quotas/recentuse.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace lagoon::quotas {

namespace {

using framework::SteadyTime;
using Seconds = std::chrono::duration<double>;
/// Uses that are this close to each other are remembered as one.
using StepLength = std::chrono::duration<std::int64_t, std::ratio<1, 4>>;

} // namespace

void RecentUse::add(double amount, SteadyTime at)
{
    const SteadyTime end(std::chrono::ceil<StepLength>(at.time_since_epoch()));
    const auto next = std::lower_bound(
        steps_.begin(), steps_.end(), end, [](const Step& step, SteadyTime time) { return step.at < time; });
    if (next != steps_.end() && next->at == end)
        next->amount += amount;
    else
        steps_.insert(next, { end, amount });
}

void RecentUse::takeBack(double amount)
{
    while (amount > 0 && !steps_.empty()) {
        Step& last = steps_.back();
        const double taken = std::min(amount, last.amount);
        amount -= taken;
        last.amount -= taken;
        if (last.amount <= 0)
            steps_.pop_back();
    }
}

void RecentUse::expire(SteadyTime now)
{
    std::erase_if(steps_, [&](const Step& step) { return now - step.at > retention; });
}

double RecentUse::sum() const
{
    return std::accumulate(
        steps_.begin(), steps_.end(), 0.0, [](double sum, const Step& step) { return sum + step.amount; });
}

double levelAfter(std::vector<RecentUse::Step> uses, double levelBefore, const AllowanceTerms& terms, SteadyTime now)
{
    std::sort(uses.begin(), uses.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    double level = levelBefore;
    SteadyTime at = now - RecentUse::retention;
    const auto refillUntil = [&](SteadyTime time) {
        level = std::min(terms.burst, level + std::max(0.0, Seconds(time - at).count()) * terms.perSecond);
        at = std::max(at, time);
    };
    for (const RecentUse::Step& use : uses) {
        refillUntil(std::min(use.at, now));
        level -= use.amount;
    }
    refillUntil(now);
    return level;
}

} // namespace lagoon::quotas
