#include "forwarding/returningcallers.h"

#include <algorithm>

namespace lagoon::forwarding {

using framework::Deadline;
using framework::ModelName;
using framework::ServiceName;

void ReturningCallers::didRefuse(const ServiceName& service, const WaitingFor& waiting, Deadline leavesBy)
{
    const auto [entry, isNew] = entries_.try_emplace({ service, waiting.target.model }, Entry { waiting, {} });
    Entry& known = entry->second;
    known.waiting.since = std::min(known.waiting.since, waiting.since);
    known.waiting.priority = std::max(known.waiting.priority, waiting.priority);
    known.leaveBy.insert(std::upper_bound(known.leaveBy.begin(), known.leaveBy.end(), leavesBy), leavesBy);
}

void ReturningCallers::didArrive(const ServiceName& service, const ModelName& model)
{
    const auto entry = entries_.find({ service, model });
    if (entry == entries_.end())
        return;
    entry->second.leaveBy.erase(entry->second.leaveBy.begin());
    if (entry->second.leaveBy.empty())
        entries_.erase(entry);
}

void ReturningCallers::forget(const ServiceName& service, const ModelName& model)
{
    entries_.erase({ service, model });
}

void ReturningCallers::forgetLeft(framework::SteadyTime now)
{
    for (auto& [target, entry] : entries_)
        std::erase_if(entry.leaveBy, [now](const Deadline& leavesBy) { return leavesBy.hasPassed(now); });
    std::erase_if(entries_, [](const auto& entry) { return entry.second.leaveBy.empty(); });
}

std::vector<WaitingFor> ReturningCallers::expected(const ServiceName& service) const
{
    std::vector<WaitingFor> all;
    for (const auto& [target, entry] : entries_) {
        if (target.first != service)
            continue;
        WaitingFor waiting = entry.waiting;
        waiting.waiting = static_cast<std::uint32_t>(entry.leaveBy.size());
        waiting.earliest = entry.leaveBy.front();
        all.push_back(std::move(waiting));
    }
    return all;
}

} // namespace lagoon::forwarding
