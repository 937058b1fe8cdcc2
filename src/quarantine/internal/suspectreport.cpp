#include "quarantine/suspectreport.h"

#include <cpprest/base_uri.h>
#include <cpprest/json.h>

namespace lagoon::quarantine {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;
using web::json::value;

constexpr const char* operatorKey = "operator";
constexpr std::size_t maxOperatorLength = 100;

value age(SteadyTime since, SteadyTime now)
{
    return value::number(std::chrono::duration_cast<Milliseconds>(now - since).count());
}

value suspectJson(const SuspectSummary& suspect, SteadyTime now)
{
    const Standing& standing = suspect.standing;
    value json;
    json["fingerprint"] = value::string(suspect.request.text());
    json["quarantined"] = value::boolean(standing.isQuarantined && !standing.until.hasPassed(now));
    json["crashes"] = value::number(standing.crashes);
    json["unconfirmed_crashes"] = value::number(standing.possibleCrashes - standing.crashes);
    json["first_crash_ms_ago"] = age(standing.firstCrash, now);
    json["last_crash_ms_ago"] = age(standing.lastCrash, now);
    json["left_ms"] = value::number(standing.isQuarantined ? standing.until.remaining(now).count() : 0);
    json["inseparable"] = value::array();
    for (const RequestFingerprint& other : standing.inseparable)
        json["inseparable"][json["inseparable"].size()] = value::string(other.text());
    json["ended"] = value::array();
    for (const ServerRunId& server : standing.servers)
        json["ended"][json["ended"].size()] = value::string(server.value());
    return json;
}

} // namespace

std::string reportSuspects(const std::vector<SuspectSummary>& suspects, SteadyTime now)
{
    value list = value::array();
    for (const SuspectSummary& suspect : suspects)
        list[list.size()] = suspectJson(suspect, now);
    value json;
    json["requests"] = list;
    return json.serialize();
}

std::string releaseTarget(const ReleaseOrder& order)
{
    return std::string(quarantinePath) + '/' + order.request.text() + '?' + operatorKey + '='
        + web::uri::encode_data_string(order.operatorName);
}

std::optional<ReleaseOrder> parseRelease(std::string_view target)
{
    try {
        const web::uri uri { std::string(target) };
        const std::string prefix = std::string(quarantinePath) + '/';
        const auto query = web::uri::split_query(uri.query());
        const auto name = query.find(operatorKey);
        if (uri.path().rfind(prefix, 0) != 0 || name == query.end())
            return std::nullopt;
        const auto request = RequestFingerprint::parse(std::string_view(uri.path()).substr(prefix.size()));
        std::string operatorName = web::uri::decode(name->second);
        if (!request || operatorName.empty() || operatorName.size() > maxOperatorLength)
            return std::nullopt;
        return ReleaseOrder { *request, std::move(operatorName) };
    } catch (const std::exception&) {
        // cpprest throws for text that isn't a URI.
        return std::nullopt;
    }
}

} // namespace lagoon::quarantine
