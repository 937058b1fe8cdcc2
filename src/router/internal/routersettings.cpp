#include "router/routersettings.h"

#include "framework/checkedjson.h"
#include "framework/processsettings.h"
#include "objectstore/objectstoresettings.h"

namespace lagoon::router {

namespace {

using framework::CheckedObject;
using framework::Milliseconds;

Milliseconds milliseconds(CheckedObject& section, const std::string& key, Milliseconds fallback, std::uint64_t max)
{
    return Milliseconds(section.numberOr(key, static_cast<std::uint64_t>(fallback.count()), 1, max));
}

DispatchSettings readDispatchSettings(CheckedObject& settings)
{
    DispatchSettings read;
    if (!settings.has("dispatch"))
        return read;
    CheckedObject section = settings.object("dispatch");
    read.waitingRequests = section.numberOr("waiting_requests", read.waitingRequests, 1, 1000000);
    read.silenceLimit = milliseconds(section, "silence_limit_ms", read.silenceLimit, 60000);
    read.pingInterval = milliseconds(section, "ping_interval_ms", read.pingInterval, 60000);
    if (read.pingInterval * 2 > read.silenceLimit)
        section.fail("ping_interval_ms", "at most half of silence_limit_ms");
    read.idleLimit = milliseconds(section, "idle_limit_ms", read.idleLimit, 3600000);
    read.attempts = static_cast<std::uint32_t>(section.numberOr("attempts", read.attempts, 1, 100));
    read.retryShare = section.doubleOr("retry_share", read.retryShare, 0, 1);
    read.retryReserve = section.doubleOr("retry_reserve", read.retryReserve, 0, 10000);
    read.scaleUpInFlight
        = static_cast<std::uint32_t>(section.numberOr("scale_up_in_flight", read.scaleUpInFlight, 1, 100000));
    read.bids = section.numberOr("bids", read.bids, 1, 1000);
    read.bidTimeout = milliseconds(section, "bid_timeout_ms", read.bidTimeout, 60000);
    // Records unknown keys of the section. The parent object shares the error and reports it, so the result isn't
    // needed.
    (void)section.finish();
    return read;
}

} // namespace

framework::Result<RouterSettings> parseRouterSettings(const std::string& text, const std::string& source)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, framework::ErrorCode::BadSettings));
    CheckedObject object(json, source, "", framework::ErrorCode::BadSettings);
    if (object.text("role") != "router")
        object.fail("role", "\"router\"");
    RouterSettings settings;
    settings.identity = framework::readProcessIdentity(object);
    settings.callers = framework::readEndpoint(object, "callers");
    settings.link = framework::readEndpoint(object, "link");
    settings.ops = framework::readEndpoint(object, "ops");
    settings.platform = objectstore::readObjectStoreSettings(object);
    settings.limits = callers::readCallerLimits(object);
    settings.dispatch = readDispatchSettings(object);
    settings.quarantine = quarantine::readQuarantineSettings(object);
    settings.shutdownGrace = framework::readShutdownGrace(object);
    BOOST_OUTCOME_TRYV(object.finish());
    return settings;
}

} // namespace lagoon::router
