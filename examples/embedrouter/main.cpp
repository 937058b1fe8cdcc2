// A program with a router inside: it parses the settings, starts the router, says where it listens and shuts it down.
// Nobody answers under the platform's address here, so the router never becomes ready, and it says so at `/readyz`.

#include "framework/logging.h"
#include "router/router.h"

#include <iostream>

using namespace lagoon;

namespace {

/// As a router's settings file; port 0 takes any free one.
const std::string settingsText = R"({
    "role": "router", "vm": "entry-1", "site": "south", "failure_domain": "south-a",
    "callers": "127.0.0.1:0", "link": "127.0.0.1:0", "ops": "127.0.0.1:0",
    "platform": {"url": "http://127.0.0.1:1", "call_timeout_ms": 200},
    "dispatch": {"bids": 4}
})";

int fail(const framework::Error& error)
{
    std::cerr << framework::describe(error) << "\n";
    return 1;
}

} // namespace

int main()
{
    // Faults come back with the source, the key and what was expected; nothing throws.
    const auto settings = router::parseRouterSettings(settingsText, "embedrouter");
    if (settings.has_error())
        return fail(settings.error());

    framework::startLogging("embedrouter");
    router::Router router(settings.value());
    const auto endpoints = router.start();
    if (endpoints.has_error())
        return fail(endpoints.error());
    std::cout << "callers: " << endpoints.value().callers << "\nops: " << endpoints.value().ops << "\n";

    // The host program's own work goes here. A shutdown lets the requests in flight end.
    router.shutDown();
    std::cout << "shut down\n";
}
