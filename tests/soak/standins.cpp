#include "soak/standins.h"

#include "fleet/streamevents.h"

namespace lagoon::soak {

using web::json::value;

namespace {

constexpr int eventPauseMs = 3;

} // namespace

std::string expectedStream(const std::string& version)
{
    std::string text;
    for (int event = 1; event <= streamEvents; ++event)
        text += fleet::eventText(event, version);
    return text;
}

void prepare(fleet::EngineStandin& engine, const RunParameters& parameters)
{
    engine.setStream(streamEvents, eventPauseMs);
    engine.setLoadTime(parameters.loadTime);
}

std::vector<value> routesOf(const RunParameters& parameters, bool hasNewRoute)
{
    std::vector<value> routes = fleet::Fleet::defaultRoutes();
    for (value& route : routes) {
        if (route.at("kind").as_string() == "streaming")
            route["target-latency-ms"] = value::number(static_cast<std::uint64_t>(parameters.targetLatency.count()));
    }
    if (hasNewRoute)
        routes.push_back(fleet::Fleet::route("/new/", "idempotent", "plain"));
    return routes;
}

} // namespace lagoon::soak
