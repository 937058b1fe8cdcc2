#include "forwarding/expectedretries.h"

#include <algorithm>

namespace lagoon::forwarding {

using framework::Deadline;
using framework::ModelName;
using framework::ServiceName;

void ExpectedRetries::didRefuse(const ServiceName& service, const WaitingRequests& waiting, Deadline callerDeadline)
{
    const auto [entry, isNew] = entries_.try_emplace({ service, waiting.target.model }, Entry { waiting, {} });
    Entry& known = entry->second;
    known.waiting.since = std::min(known.waiting.since, waiting.since);
    known.waiting.priority = std::max(known.waiting.priority, waiting.priority);
    known.callerDeadlines.insert(
        std::upper_bound(known.callerDeadlines.begin(), known.callerDeadlines.end(), callerDeadline), callerDeadline);
}

void ExpectedRetries::didArrive(const ServiceName& service, const ModelName& model)
{
    const auto entry = entries_.find({ service, model });
    if (entry == entries_.end())
        return;
    entry->second.callerDeadlines.erase(entry->second.callerDeadlines.begin());
    if (entry->second.callerDeadlines.empty())
        entries_.erase(entry);
}

void ExpectedRetries::forget(const ServiceName& service, const ModelName& model) { entries_.erase({ service, model }); }

void ExpectedRetries::dropExpired(framework::SteadyTime now)
{
    for (auto& [target, entry] : entries_)
        std::erase_if(
            entry.callerDeadlines, [now](const Deadline& callerDeadline) { return callerDeadline.hasPassed(now); });
    std::erase_if(entries_, [](const auto& entry) { return entry.second.callerDeadlines.empty(); });
}

std::vector<WaitingRequests> ExpectedRetries::expected(const ServiceName& service) const
{
    std::vector<WaitingRequests> all;
    for (const auto& [target, entry] : entries_) {
        if (target.first != service)
            continue;
        WaitingRequests waiting = entry.waiting;
        waiting.waiting = static_cast<std::uint32_t>(entry.callerDeadlines.size());
        waiting.earliest = entry.callerDeadlines.front();
        all.push_back(std::move(waiting));
    }
    return all;
}

} // namespace lagoon::forwarding
