#include "direct/directsettings.h"

#include "framework/checkedjson.h"
#include "framework/durations.h"
#include "framework/processsettings.h"
#include "quarantine/quarantinesettings.h"

namespace lagoon::direct {

namespace {

using framework::CheckedObject;
using framework::ErrorCode;
using framework::Milliseconds;

void readRole(CheckedObject& object, const std::string& role)
{
    if (object.text("role") != role)
        object.fail("role", "\"" + role + "\"");
}

/// Reads a duration, which may have a fraction, and rounds it to milliseconds.
Milliseconds readMilliseconds(
    CheckedObject& object, const std::string& key, Milliseconds fallback, double minValue, double maxValue)
{
    return framework::boundedMilliseconds(
        object.doubleOr(key, static_cast<double>(fallback.count()), minValue, maxValue));
}

/// The grace period is stated in seconds or in milliseconds.
void readGrace(CheckedObject& object, DirectRouterSettings& settings)
{
    constexpr double minGrace = 500;
    constexpr double maxGrace = 600000;
    constexpr double perSecond = 1000;
    settings.grace = readMilliseconds(object, "grace_ms", settings.grace, minGrace, maxGrace);
    if (!object.has("grace_s"))
        return;
    if (object.has("grace_ms"))
        object.fail("grace_s", "no value beside grace_ms");
    settings.grace = framework::boundedMilliseconds(
        perSecond * object.doubleOr("grace_s", 0, minGrace / perSecond, maxGrace / perSecond));
}

void readRepeats(CheckedObject& object, DirectRouterSettings& settings)
{
    if (!object.has("repeats"))
        return;
    CheckedObject repeats = object.object("repeats");
    settings.retryShare = repeats.doubleOr("share", settings.retryShare, 0, 1);
    settings.retryReserve = repeats.doubleOr("reserve", settings.retryReserve, 0, 100000);
    // The enclosing object only checks its own keys, so unknown keys of this one are detected here.
    (void)repeats.finish();
}

void readQuotas(CheckedObject& object, DirectRouterSettings& settings)
{
    if (!object.has("quotas"))
        return;
    CheckedObject quotas = object.object("quotas");
    settings.quotaTolerance = quotas.doubleOr("tolerance", settings.quotaTolerance, 0, 1e12);
    (void)quotas.finish();
}

void readKeys(CheckedObject& object, DirectRouterSettings& settings)
{
    if (!object.has("keys"))
        return;
    CheckedObject keys = object.object("keys");
    settings.endsRevokedRequests = keys.flagOr("ends_revoked", settings.endsRevokedRequests);
    settings.revocationTime = readMilliseconds(keys, "within_ms", settings.revocationTime, 0, 600000);
    (void)keys.finish();
}

void readCallerProgress(CheckedObject& object, CallerProgress& progress)
{
    if (!object.has("caller_progress"))
        return;
    constexpr double longest = 24.0 * 60 * 60 * 1000;
    constexpr std::uint64_t mostBytes = 1024 * 1024;
    CheckedObject read = object.object("caller_progress");
    progress.bodyTime = readMilliseconds(read, "body_ms", progress.bodyTime, 1000, longest);
    progress.bodyBytes = read.numberOr("body_bytes", progress.bodyBytes, 1, mostBytes);
    progress.answerTime = readMilliseconds(read, "answer_ms", progress.answerTime, 1000, longest);
    progress.answerBytes = read.numberOr("answer_bytes", progress.answerBytes, 1, mostBytes);
    (void)read.finish();
}

void readPolicy(CheckedObject& object, policy::PolicySwitches& policy)
{
    if (!object.has("policy"))
        return;
    CheckedObject read = object.object("policy");
    const auto flag = [&read](const char* key, bool& value) { value = read.flagOr(key, value); };
    flag("copies_busy_models", policy.copiesBusyModels);
    flag("displaces_busy_copies", policy.displacesBusyCopies);
    flag("fetches_ahead", policy.fetchesAhead);
    flag("keeps_standbys", policy.keepsStandbys);
    flag("shares_weight_store", policy.sharesWeightStore);
    flag("orders_loads_by_value", policy.ordersLoadsByValue);
    flag("avoids_drains", policy.avoidsDrains);
    flag("keeps_to_loader", policy.keepsToLoader);
    flag("follows_prompts", policy.followsPrompts);
    flag("suspects_servers", policy.suspectsServers);
    flag("leaves_silent_engines", policy.leavesSilentEngines);
    flag("repeats_requests", policy.repeatsRequests);
    flag("refuses_hopeless", policy.refusesHopeless);
    flag("refuses_overload", policy.refusesOverload);
    flag("counts_returning", policy.countsReturning);
    flag("prefers_own_domain", policy.prefersOwnDomain);
    flag("weighs_stream_delays", policy.weighsStreamDelays);
    flag("learns_engine_speeds", policy.learnsEngineSpeeds);
    (void)read.finish();
}

} // namespace

framework::Result<DirectRouterSettings> parseDirectRouterSettings(const std::string& text, const std::string& source)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, ErrorCode::BadSettings));
    CheckedObject object(json, source, "", ErrorCode::BadSettings);
    readRole(object, "direct-router");
    DirectRouterSettings settings;
    settings.identity = framework::readProcessIdentity(object);
    settings.callers = framework::readEndpoint(object, "callers");
    settings.readiness = framework::readEndpoint(object, "readiness");
    settings.ops = framework::readEndpoint(object, "ops");
    settings.objectStore = framework::readEndpoint(object, "object_store");
    settings.agentPort = static_cast<std::uint16_t>(object.number("agent_port", 1, 65535));
    settings.memory = catalog::MegaBytes(static_cast<std::uint64_t>(
        object.doubleOr("memory_mb", static_cast<double>(settings.memory.value()), 16, 1e9)));
    readCallerProgress(object, settings.callerProgress);
    readRepeats(object, settings);
    readQuotas(object, settings);
    readKeys(object, settings);
    readPolicy(object, settings.policy);
    settings.quarantine = quarantine::readQuarantineSettings(object);
    readGrace(object, settings);
    settings.leavingNotice = readMilliseconds(object, "leaving_notice_ms", settings.leavingNotice, 200, 60000);
    settings.outageNotice = readMilliseconds(object, "outage_notice_ms", settings.outageNotice, 200, 60000);
    settings.heartbeat = readMilliseconds(object, "heartbeat_ms", settings.heartbeat, 10, 60000);
    BOOST_OUTCOME_TRYV(object.finish());
    return settings;
}

framework::Result<DirectAgentSettings> parseDirectAgentSettings(const std::string& text, const std::string& source)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, ErrorCode::BadSettings));
    CheckedObject object(json, source, "", ErrorCode::BadSettings);
    readRole(object, "direct-agent");
    DirectAgentSettings settings;
    settings.identity = framework::readProcessIdentity(object);
    settings.link = framework::readEndpoint(object, "link");
    settings.ops = framework::readEndpoint(object, "ops");
    settings.objectStore = framework::readEndpoint(object, "object_store");
    settings.engine = framework::readEndpoint(object, "engine");
    settings.service = framework::ServiceName(object.text("service"));
    BOOST_OUTCOME_TRYV(object.finish());
    return settings;
}

} // namespace lagoon::direct
