#include "direct/directsettings.h"

#include "framework/checkedjson.h"
#include "framework/processsettings.h"

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

void readRepeats(CheckedObject& object, DirectRouterSettings& settings)
{
    if (!object.has("repeats"))
        return;
    CheckedObject repeats = object.object("repeats");
    settings.repeatShare = repeats.fractionOr("share", settings.repeatShare, 0, 1);
    settings.repeatReserve = repeats.fractionOr("reserve", settings.repeatReserve, 0, 100000);
    // A part's unknown keys are its own to find.
    (void)repeats.finish();
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
    readRepeats(object, settings);
    settings.grace
        = Milliseconds(object.numberOr("grace_ms", static_cast<std::uint64_t>(settings.grace.count()), 500, 600000));
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
