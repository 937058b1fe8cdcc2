#pragma once

#include "catalog/ranking.h"
#include "catalog/types/configuration.h"
#include "fairness/fairshares.h"
#include "fairness/usemeter.h"
#include "fairness/usesums.h"
#include "framework/metrics.h"
#include "framework/types/time.h"

#include <functional>
#include <memory>
#include <unordered_set>

namespace lagoon::forwarding {

struct JobSpec;

/// Fairness among customers at one router: counts what they use of engines, and decides whose requests go first and
/// whose are refused first. Does nothing without customers. Traffic thread only.
class CustomerTurns {
public:
    using Report = std::function<void(const fairness::UseReport&)>;

    CustomerTurns(framework::Metrics&, Report);

    void setConfiguration(const catalog::ConfigurationPointer&);
    /// Sets what customers used over all routers.
    void setUse(const fairness::SummedUse&, framework::SteadyTime now);
    /// Reports this router's own use if that is due.
    void refresh(framework::SteadyTime now);

    /// Sets a new request's turn, and raises its rank if its customer is left too little.
    void assign(JobSpec&, framework::SteadyTime now);
    /// Whether to refuse a request that would be late for its target latency, though not for its caller. Without the
    /// customers' sums the length of the queue alone decides.
    bool isRefused(const JobSpec&, bool isQueueStanding, framework::SteadyTime now);
    void didServe(const JobSpec&, framework::SteadyTime now);
    void didMiss(const JobSpec&, framework::SteadyTime now);
    /// The request is destroyed next.
    void didEnd(const JobSpec&);

private:
    bool appliesTo(const JobSpec&) const;
    fairness::Standing standingOf(const JobSpec&) const;
    void note(const JobSpec&, const char* outcome, framework::SteadyTime now);

    framework::Metrics& metrics_;
    Report report_;
    catalog::ConfigurationPointer configuration_;
    std::unique_ptr<catalog::Ranking> ranking_;
    /// One of the customers with the most urgent priority; nullptr if none has a priority.
    const catalog::Customer* mostUrgent_ = nullptr;
    fairness::FairShares::Priorities priorities_;
    fairness::UseMeter meter_;
    fairness::LatestUse latest_;
    fairness::FairShares shares_;
    framework::Deadline reportAt_;
    /// Requests that weren't refused because of their turn, so that each counts once.
    std::unordered_set<const JobSpec*> spared_;
};

} // namespace lagoon::forwarding
