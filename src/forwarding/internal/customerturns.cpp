#include "forwarding/internal/customerturns.h"

#include "forwarding/internal/requestjob.h"
#include "framework/decisionlog.h"
#include "framework/randomid.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

namespace {

using fairness::Standing;
using fairness::Turn;
using framework::LogLine;
using framework::SteadyTime;

std::uint32_t priorityOf(const catalog::Customer& customer) { return customer.priority.value_or(fairness::noPriority); }

double costOf(const JobSpec& spec)
{
    const RequestFacts& facts = spec.facts;
    if (!facts.statesTokens)
        return std::max(1.0, static_cast<double>(spec.customer->quota.plainTokens.value()));
    return static_cast<double>(facts.promptTokens.value()) + static_cast<double>(facts.maxOutputTokens.value());
}

} // namespace

CustomerTurns::CustomerTurns(framework::Metrics& metrics, Report report)
    : metrics_(metrics)
    , report_(std::move(report))
{
}

void CustomerTurns::setConfiguration(const catalog::ConfigurationPointer& configuration)
{
    configuration_ = configuration;
    ranking_ = std::make_unique<catalog::Ranking>(*configuration);
    mostUrgent_ = nullptr;
    priorities_.clear();
    if (!configuration->customers)
        return;
    for (const catalog::Customer& customer : *configuration->customers) {
        if (!customer.priority)
            continue;
        priorities_[fairness::keyOf(customer.name)] = *customer.priority;
        if (!mostUrgent_ || *customer.priority < *mostUrgent_->priority)
            mostUrgent_ = &customer;
    }
}

void CustomerTurns::setUse(const fairness::SummedUse& use, SteadyTime now)
{
    latest_.set(use, now);
    if (const fairness::SummedUse* const latest = latest_.find(now))
        shares_ = fairness::FairShares(latest->use, priorities_);
}

void CustomerTurns::refresh(SteadyTime now)
{
    if (!configuration_ || !configuration_->customers || !reportAt_.hasPassed(now))
        return;
    reportAt_ = framework::Deadline::after(now, fairness::useInterval);
    const fairness::UseReport own = meter_.report(now);
    if (!latest_.find(now))
        shares_ = fairness::FairShares(own, priorities_);
    report_(own);
}

/// The room at plain servers isn't that of engines, so requests without a model don't count.
bool CustomerTurns::appliesTo(const JobSpec& spec) const { return spec.customer && !spec.facts.model.value().empty(); }

Standing CustomerTurns::standingOf(const JobSpec& spec) const
{
    return shares_.standing(fairness::keyOf(spec.customer->name), priorityOf(*spec.customer));
}

void CustomerTurns::assign(JobSpec& spec, SteadyTime now)
{
    if (!appliesTo(spec))
        return;
    const Standing standing = standingOf(spec);
    spec.turn = standing.turn(framework::randomFraction());
    if (!latest_.find(now) || !standing.isRaised(framework::randomFraction()))
        return;
    const std::uint32_t raised = ranking_->rank(*spec.route, mostUrgent_);
    if (raised >= spec.priority)
        return;
    spec.priority = raised;
    note(spec, "raised", now);
}

bool CustomerTurns::isRefused(const JobSpec& spec, bool isQueueStanding, SteadyTime now)
{
    if (!appliesTo(spec) || !latest_.find(now))
        return isQueueStanding;
    if (spec.turn == Turn::First) {
        if (isQueueStanding && spared_.insert(&spec).second)
            note(spec, "spared", now);
        return false;
    }
    if (spec.turn == Turn::Last && !isQueueStanding)
        note(spec, "refused", now);
    return isQueueStanding || spec.turn == Turn::Last;
}

void CustomerTurns::didServe(const JobSpec& spec, SteadyTime now)
{
    if (appliesTo(spec))
        meter_.didServe(fairness::keyOf(spec.customer->name), costOf(spec), now);
}

void CustomerTurns::didMiss(const JobSpec& spec, SteadyTime now)
{
    if (appliesTo(spec))
        meter_.didMiss(fairness::keyOf(spec.customer->name), costOf(spec), now);
}

void CustomerTurns::didEnd(const JobSpec& spec) { spared_.erase(&spec); }

void CustomerTurns::note(const JobSpec& spec, const char* outcome, SteadyTime now)
{
    metrics_.count("lagoon_fairness_decisions_total", { { "outcome", outcome } });
    const Standing standing = standingOf(spec);
    logDecision(LogLine("fairness")
                    .text("id", spec.facts.attempt)
                    .text("customer", spec.customer->name.value())
                    .text("outcome", outcome)
                    .number("share", standing.share())
                    .number("used", standing.use.served)
                    .number("asked", standing.use.asked())
                    .number("of_rank", standing.ofRank)
                    .number("sums_age_ms", latest_.age(now).count()));
}

} // namespace lagoon::forwarding
