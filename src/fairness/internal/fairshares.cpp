#include "fairness/fairshares.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace lagoon::fairness {

namespace {

/// Differences of fractions within this range are left alone.
constexpr double fractionSlack = 0.1;
/// A customer ought to be served this often, compared with all; less, but at least as often as the second value, if
/// that is more than an equal part.
constexpr double aimedFraction = 0.65;
constexpr double leastFraction = 0.35;
/// Requests of a customer begin to go before all ranks when it is served this much more than aimed at, and most do when
/// it is served this much less.
constexpr double raiseFrom = 1.4;
constexpr double raiseAll = 0.7;
/// How many of its requests go before all ranks at most, compared with the aim: a customer that gets nothing else
/// is then served as often as aimed at.
constexpr double maxRaised = (raiseFrom - raiseAll) / (raiseFrom - 1);
constexpr int bisections = 50;

double fractionOf(const Use& use) { return use.asked() > 0 ? use.served / use.asked() : 1; }

double covered(double asked, double level, double fractionOfAll)
{
    return asked > 0 ? std::max(std::min(1.0, level / asked), leastFraction * fractionOfAll) : 1;
}

/// Returns the level at which customers that get no more than it use all that is served.
double levelOf(const std::vector<double>& asked, const Use& all)
{
    if (!all.isScarce())
        return std::numeric_limits<double>::infinity();
    double low = 0;
    double high = *std::max_element(asked.begin(), asked.end());
    for (int step = 0; step < bisections; ++step) {
        const double level = (low + high) / 2;
        double used = 0;
        for (const double one : asked)
            used += covered(one, level, fractionOf(all)) * one;
        (used > all.served ? high : low) = level;
    }
    return low;
}

} // namespace

bool Standing::hasMore() const { return covered < ofRank * (1 - fractionSlack); }

bool Standing::hasLess() const { return covered > ofRank * (1 + fractionSlack); }

Turn Standing::turn(double drawn) const
{
    if (hasLess())
        return drawn < covered ? Turn::First : Turn::Usual;
    if (hasMore())
        return drawn < covered / ofRank ? Turn::Usual : Turn::Last;
    return Turn::Usual;
}

FairShares::FairShares(const UseReport& report, const Priorities& priorities)
    : report_(report)
    , all_(report.rest)
    , smallestNamed_(std::numeric_limits<double>::infinity())
{
    std::vector<double> asked;
    std::unordered_map<std::uint32_t, std::vector<double>> askedOfRank;
    for (const auto& [customer, use] : report.customers) {
        const auto known = priorities.find(customer);
        const std::uint32_t priority = known == priorities.end() ? noPriority : known->second;
        ranks_[priority].use += use;
        askedOfRank[priority].push_back(use.asked());
        asked.push_back(use.asked());
        all_ += use;
        smallestNamed_ = std::min(smallestNamed_, use.asked());
    }
    for (auto& [priority, rank] : ranks_)
        rank.level = levelOf(askedOfRank[priority], rank.use);
    Use named = all_;
    named.served -= report.rest.served;
    named.missed -= report.rest.missed;
    if (!asked.empty())
        level_ = levelOf(asked, named);
}

Standing FairShares::standing(const CustomerKey& customer, std::uint32_t priority) const
{
    Standing standing;
    const auto rank = ranks_.find(priority);
    const auto named = report_.customers.find(customer);
    if (named == report_.customers.end()) {
        standing.raised = raised(report_.rest, aimedFraction);
        if (hasSmallRest(priority))
            standing.ofRank = fractionOf(rank->second.use);
        return standing;
    }
    standing.use = named->second;
    standing.raised = raised(named->second, aimOf(named->second));
    if (rank == ranks_.end() || !rank->second.use.isScarce())
        return standing;
    standing.ofRank = fractionOf(rank->second.use);
    standing.covered = covered(named->second.asked(), rank->second.level, standing.ofRank);
    return standing;
}

/// Prevents a crowd of customers that are as large as those that the report names from going before these.
bool FairShares::hasSmallRest(std::uint32_t priority) const
{
    const auto rank = ranks_.find(priority);
    return rank != ranks_.end() && rank->second.use.isScarce()
        && (report_.rest.asked() <= 0 || rank->second.level > smallestNamed_);
}

double FairShares::aimOf(const Use& use) const
{
    const double equalPart = fractionOf(all_) * use.asked();
    return equalPart > 0 ? std::clamp(level_ / equalPart, leastFraction, aimedFraction) : aimedFraction;
}

/// Grows gradually, so that routers that act by the same old sums don't raise too much all together.
double FairShares::raised(const Use& use, double aim) const
{
    const double ofAll = fractionOf(all_);
    if (use.asked() <= 0 || !all_.isScarce() || ofAll <= 0)
        return 0;
    const double lag = (raiseFrom * aim - fractionOf(use) / ofAll) / ((raiseFrom - raiseAll) * aim);
    return std::clamp(lag, 0.0, 1.0) * std::min(1.0, maxRaised * aim * ofAll);
}

} // namespace lagoon::fairness
