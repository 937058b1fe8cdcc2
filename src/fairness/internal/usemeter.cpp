#include "fairness/usemeter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::fairness {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// After this time, a third of a request's cost still counts. Longer than the pauses of a customer that sends all the
/// time, and shorter than a wave of demand.
constexpr std::chrono::duration<double> fadeTime { 3.0 };
constexpr Milliseconds fadeInterval { 100 };
constexpr std::size_t maxCustomers = 16384;
/// Use below this is forgotten.
constexpr double minUse = 0.1;
/// No request is as large; larger values come from callers that state nonsense.
constexpr double maxCost = 1e6;

} // namespace

void UseMeter::didServe(const CustomerKey& customer, double cost, SteadyTime now)
{
    useOf(customer, now).served += std::clamp(cost, 0.0, maxCost);
}

void UseMeter::didMiss(const CustomerKey& customer, double cost, SteadyTime now)
{
    useOf(customer, now).missed += std::clamp(cost, 0.0, maxCost);
}

Use& UseMeter::useOf(const CustomerKey& customer, SteadyTime now)
{
    if (now - fadedAt_ >= fadeInterval)
        fade(now);
    const bool isFull = use_.customers.size() >= maxCustomers && !use_.customers.contains(customer);
    return isFull ? use_.rest : use_.customers[customer];
}

UseReport UseMeter::report(SteadyTime now)
{
    fade(now);
    UseReport report = use_;
    limitNames(report);
    return report;
}

void UseMeter::fade(SteadyTime now)
{
    const double left = std::exp(-std::max(0.0, (now - fadedAt_) / fadeTime));
    fadedAt_ = now;
    const auto fadeOne = [left](Use& use) {
        use.served *= left;
        use.missed *= left;
    };
    fadeOne(use_.rest);
    for (auto one = use_.customers.begin(); one != use_.customers.end();) {
        fadeOne(one->second);
        one = one->second.asked() < minUse ? use_.customers.erase(one) : std::next(one);
    }
}

} // namespace lagoon::fairness
