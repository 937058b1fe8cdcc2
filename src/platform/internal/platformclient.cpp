#include "platform/platformclient.h"

#include "platform/internal/httpplatformstore.h"
#include "platform/internal/httpvmlist.h"

namespace lagoon::platform {

PlatformClient makePlatformClient(const PlatformSettings& settings, std::shared_ptr<framework::Metrics> metrics)
{
    const auto calls = std::make_shared<HttpCalls>(settings, std::move(metrics));
    return { std::make_shared<HttpPlatformStore>(calls), std::make_shared<HttpVmList>(calls) };
}

} // namespace lagoon::platform
