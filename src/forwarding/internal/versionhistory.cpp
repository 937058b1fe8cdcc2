#include "forwarding/versionhistory.h"

namespace lagoon::forwarding {

using catalog::SoftwareVersion;
using framework::ServiceName;
using framework::SteadyTime;

namespace {

/// The only version of each service; std::nullopt if there are several, or one that isn't known.
std::map<ServiceName, std::optional<SoftwareVersion>> soleVersions(const std::vector<catalog::Upstream>& list)
{
    std::map<ServiceName, std::optional<SoftwareVersion>> found;
    for (const catalog::Upstream& upstream : list) {
        const auto [known, isNew] = found.try_emplace(upstream.service, upstream.version);
        if (!isNew && known->second != upstream.version)
            known->second.reset();
    }
    return found;
}

} // namespace

void VersionHistory::didList(const std::vector<catalog::Upstream>& list, SteadyTime now)
{
    const auto listed = soleVersions(list);
    std::erase_if(services_, [&](const auto& entry) { return !listed.contains(entry.first); });
    for (const auto& [service, sole] : listed) {
        const auto [known, isNew] = services_.try_emplace(service, Service { sole, now });
        if (!isNew && (known->second.sole != sole || !sole))
            known->second = { sole, now };
    }
}

void VersionHistory::didConfirm(SteadyTime at)
{
    if (!confirmedAt_ || at - *confirmedAt_ > maxListAge) {
        for (auto& [service, known] : services_)
            known.since = at;
    }
    confirmedAt_ = at;
}

std::optional<SoftwareVersion> VersionHistory::soleVersion(
    const ServiceName& service, SteadyTime since, SteadyTime now) const
{
    const auto known = services_.find(service);
    const bool isCurrent = confirmedAt_ && now - *confirmedAt_ <= maxListAge;
    if (known == services_.end() || !isCurrent || known->second.since >= since)
        return std::nullopt;
    return known->second.sole;
}

} // namespace lagoon::forwarding
