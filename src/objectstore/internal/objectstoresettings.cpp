#include "objectstore/objectstoresettings.h"

#include <cpprest/base_uri.h>

namespace lagoon::objectstore {

namespace {

constexpr std::uint64_t maxCallTimeoutMs = 60000;
constexpr double maxCalls = 100000;
constexpr double minCallsPerSecond = 0.1;

} // namespace

bool isPlatformUrl(const std::string& text)
{
    if (!web::uri::validate(text))
        return false;
    const web::uri uri(text);
    return uri.scheme() == "http" && !uri.host().empty() && uri.is_path_empty() && uri.query().empty();
}

ObjectStoreSettings readObjectStoreSettings(framework::CheckedObject& settings)
{
    ObjectStoreSettings result;
    framework::CheckedObject platform = settings.object("platform");
    result.url = platform.text("url");
    if (!isPlatformUrl(result.url))
        platform.fail("url", "http://address:port without a path");
    result.callTimeout = framework::Milliseconds(platform.numberOr(
        "call_timeout_ms", static_cast<std::uint64_t>(result.callTimeout.count()), 1, maxCallTimeoutMs));
    result.callsPerSecond = platform.doubleOr("calls_per_second", result.callsPerSecond, minCallsPerSecond, maxCalls);
    result.callBurst = platform.doubleOr("call_burst", result.callBurst, 1, maxCalls);
    // Nested objects share the error of the root object, so the caller's `finish` returns an error found here.
    (void)platform.finish();
    return result;
}

} // namespace lagoon::objectstore
