#include "agent/agentsettings.h"

#include "framework/checkedjson.h"
#include "framework/processsettings.h"
#include "objectstore/objectstoresettings.h"

#include <cpprest/base_uri.h>

namespace lagoon::agent {

namespace {

using framework::CheckedObject;
using framework::Milliseconds;

constexpr std::uint64_t maxMilliseconds = 24 * 3600 * 1000;
constexpr std::uint64_t mebiByte = 1024 * 1024;

Milliseconds milliseconds(CheckedObject& object, const std::string& key, Milliseconds fallback)
{
    return Milliseconds(object.numberOr(key, static_cast<std::uint64_t>(fallback.count()), 0, maxMilliseconds));
}

UpstreamSettings readUpstream(CheckedObject object)
{
    UpstreamSettings upstream;
    const bool isService = object.choiceOr("kind", "engine", { "engine", "service" }) == "service";
    upstream.kind = isService ? UpstreamKind::Service : UpstreamKind::Engine;
    upstream.url = object.text("url");
    if (upstream.url.rfind("http://", 0) != 0 || !web::uri::validate(upstream.url))
        object.fail("url", "http://address:port");
    upstream.checksFencing = object.flagOr("checks_fencing", upstream.checksFencing);
    upstream.settling = milliseconds(object, "settling_ms", upstream.settling);
    static_cast<void>(object.finish());
    return upstream;
}

AgentLimits readLimits(CheckedObject object)
{
    AgentLimits limits;
    limits.running = static_cast<std::uint32_t>(object.numberOr("running", limits.running, 1, 100000));
    limits.waiting = static_cast<std::uint32_t>(object.numberOr("waiting", limits.waiting, 0, 100000));
    limits.ledgerEntries = object.numberOr("ledger_entries", limits.ledgerEntries, 1, 10000000);
    limits.ledgerBytes = object.numberOr("ledger_bytes", limits.ledgerBytes, mebiByte, 64 * 1024 * mebiByte);
    limits.answerBytes = object.numberOr("answer_bytes", limits.answerBytes, 1, 1024 * mebiByte);
    limits.forgetRouterAfter = milliseconds(object, "forget_router_ms", limits.forgetRouterAfter);
    static_cast<void>(object.finish());
    return limits;
}

} // namespace

framework::Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& source)
{
    constexpr auto code = framework::ErrorCode::BadSettings;
    BOOST_OUTCOME_TRY(value, framework::parseJson(text, source, code));
    CheckedObject object(value, source, "", code);
    AgentSettings settings;
    object.choiceOr("role", "agent", { "agent" });
    settings.identity = framework::readProcessIdentity(object);
    settings.pool = framework::PoolName(object.text("pool"));
    settings.link = framework::readEndpoint(object, "link");
    settings.ops = framework::readEndpoint(object, "ops");
    settings.platform = objectstore::readObjectStoreSettings(object);
    settings.upstream = readUpstream(object.object("upstream"));
    if (object.has("limits"))
        settings.limits = readLimits(object.object("limits"));
    settings.shutdownGrace = framework::readShutdownGrace(object);
    BOOST_OUTCOME_TRYV(object.finish());
    return settings;
}

} // namespace lagoon::agent
