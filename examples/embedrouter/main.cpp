// Embeds a router in a program: parses the settings, starts the router, prints its endpoints and shuts it down. No
// platform answers at the configured address, so the router never becomes ready, which it reports at `/readyz`.

#include "framework/logging.h"
#include "router/router.h"

#include <iostream>

using namespace lagoon;

namespace {

/// Has the format of a router's settings file. Port 0 selects a free port.
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
    // Errors are returned with the source, the key and the expected value; no exceptions are thrown.
    const auto settings = router::parseRouterSettings(settingsText, "embedrouter");
    if (settings.has_error())
        return fail(settings.error());

    framework::startLogging("embedrouter");
    router::Router router(settings.value());
    const auto endpoints = router.start();
    if (endpoints.has_error())
        return fail(endpoints.error());
    std::cout << "callers: " << endpoints.value().callers << "\nops: " << endpoints.value().ops << "\n";

    // The program's own work goes here. The shutdown waits for the requests in flight.
    router.shutDown();
    std::cout << "shut down\n";
}
