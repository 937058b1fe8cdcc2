#include "catalog/routetable.h"

#include <algorithm>
#include <utility>

namespace lagoon::catalog {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
        [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; });
    // A host name contains no line break, so the boundary between host and prefix in a key is unambiguous.
    return key + '\n';
}

} // namespace

RouteTable::RouteTable(ConfigurationPointer configuration)
    : configuration_(std::move(configuration))
{
    byHostAndPrefix_.reserve(configuration_->routes.size());
    for (const Route& route : configuration_->routes)
        byHostAndPrefix_.emplace(hostKey(route.host) + route.prefix, &route);
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const
{
    std::string key = hostKey(host);
    const std::string_view path = target.substr(0, target.find('?'));
    const std::size_t hostLength = key.size();
    key.append(path);
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        key.resize(hostLength + slash + 1);
        const auto found = byHostAndPrefix_.find(key);
        if (found != byHostAndPrefix_.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

} // namespace lagoon::catalog
