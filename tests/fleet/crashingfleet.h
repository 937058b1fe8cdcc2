#pragma once

#include "fleet/runningfleet.h"

#include <future>
#include <string>
#include <vector>

namespace lagoon::fleet {

/// A test fixture: a fleet with a request that crashes each server that starts it. Crashed servers come back empty,
/// with a later start time.
struct CrashingFleet : RunningFleet {
    CrashingFleet()
    {
        for (ServerStandin* const server : servers()) {
            const std::string service = server == &plain1 || server == &plain2 ? "plain" : "engines";
            server->setRestartHandler([this, server, service] { fleet.list(*server, service); });
            server->crashOn("poison");
        }
    }

    std::vector<ServerStandin*> servers() { return { &plain1, &plain2, &engine1, &engine2 }; }

    int crashes()
    {
        int all = 0;
        for (const ServerStandin* const server : servers())
            all += server->crashes();
        return all;
    }

    /// Ends the fault that makes the request crash its servers.
    void repairServers()
    {
        for (ServerStandin* const server : servers())
            server->crashOn("");
    }

    std::string nextAttempt() { return "a" + std::to_string(++attempts_); }

    CallerAnswer lookup(const std::string& body, std::size_t router = 0)
    {
        return fleet.call({ .target = "/get/1", .attempt = nextAttempt(), .deadlineMs = 8000, .body = body }, router);
    }

    CallerAnswer generate(const std::string& body, std::size_t router = 0)
    {
        return fleet.call(
            { .target = "/resume/1", .attempt = nextAttempt(), .model = "warm", .deadlineMs = 8000, .body = body },
            router);
    }

    /// Sends the request again and again, to the given number of routers in turn. Returns the last answer.
    CallerAnswer repeat(const std::function<CallerAnswer(std::size_t router)>& send, int times, std::size_t routers = 1)
    {
        CallerAnswer last;
        for (int sent = 0; sent < times; ++sent) {
            last = send(static_cast<std::size_t>(sent) % routers);
            std::this_thread::sleep_for(pauseBetweenCopies);
        }
        return last;
    }

    static constexpr framework::Milliseconds pauseBetweenCopies { 400 };

private:
    int attempts_ = 0;
};

} // namespace lagoon::fleet
