#include "quarantine/soundparts.h"

#include <algorithm>

namespace lagoon::quarantine {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

constexpr Milliseconds survivalRetention { 30 * 1000 };
constexpr std::size_t maxParts = 8192;
/// Servers that are remembered for one part, those of its last runs.
constexpr std::size_t maxServers = 8;

bool isRecent(SteadyTime survivedAt, SteadyTime at) { return at - survivedAt <= survivalRetention; }

} // namespace

void SoundParts::didSurvive(const RequestFingerprint& part, const ServerRunId& server, SteadyTime now)
{
    Survivals& survivals = parts_[part];
    survivals.last = now;
    survivals.at[server] = now;
    if (survivals.at.size() > maxServers)
        survivals.at.erase(std::min_element(survivals.at.begin(), survivals.at.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    while (parts_.size() > maxParts)
        parts_.erase(std::min_element(parts_.begin(), parts_.end(),
            [](const auto& left, const auto& right) { return left.second.last < right.second.last; }));
}

bool SoundParts::didSurviveAt(const RequestFingerprint& part, const ServerRunId& server, SteadyTime at) const
{
    const auto known = parts_.find(part);
    if (known == parts_.end())
        return false;
    const auto survived = known->second.at.find(server);
    return survived != known->second.at.end() && isRecent(survived->second, at);
}

std::vector<ServerRunId> SoundParts::servers(const RequestFingerprint& part, SteadyTime at) const
{
    std::vector<ServerRunId> servers;
    const auto known = parts_.find(part);
    if (known == parts_.end())
        return servers;
    for (const auto& [server, survivedAt] : known->second.at) {
        if (isRecent(survivedAt, at))
            servers.push_back(server);
    }
    return servers;
}

void SoundParts::expire(SteadyTime now)
{
    std::erase_if(parts_, [now](const auto& entry) { return !isRecent(entry.second.last, now); });
}

} // namespace lagoon::quarantine
