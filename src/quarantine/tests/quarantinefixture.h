#pragma once

#include "quarantine/requestquarantine.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoon::quarantine {

class ManualClock final : public framework::IClock {
public:
    framework::SteadyTime now() const override { return now_; }
    void advance(framework::Milliseconds time) { now_ += time; }

private:
    framework::SteadyTime now_ = framework::SteadyTime() + std::chrono::hours(1);
};

inline RequestFingerprint request(std::uint8_t number)
{
    RequestFingerprint::Bytes bytes {};
    bytes.front() = number;
    return RequestFingerprint(bytes);
}

inline RequestFingerprint part(std::uint8_t number) { return RequestFingerprint::ofPart(request(number).bytes()); }

/// The quarantine of one router, with simulated time.
struct QuarantineFixture {
    using Milliseconds = framework::Milliseconds;

    /// A run of a server that no earlier step used.
    ServerRunId newServer() { return ServerRunId("s" + std::to_string(++servers_)); }

    void cut(const RequestIdentity& cutRequest, const ServerRunId& server, framework::SteadyTime sentAt)
    {
        quarantine->didCut({ cutRequest, server, sentAt, false });
    }

    /// All requests are sent to a server, which crashes 100 ms later. Its end is confirmed after another 100 ms.
    ServerRunId crash(const std::vector<RequestFingerprint>& requests)
    {
        return crashUnder({ requests.begin(), requests.end() });
    }

    ServerRunId crashUnder(const std::vector<RequestIdentity>& requests)
    {
        ServerRunId server = newServer();
        const framework::SteadyTime sentAt = clock.now();
        clock.advance(Milliseconds(100));
        for (const RequestIdentity& held : requests)
            cut(held, server, sentAt);
        clock.advance(Milliseconds(100));
        quarantine->didEndRun(server, EndSign::Refused);
        clock.advance(Milliseconds(1));
        return server;
    }

    void crashTimes(int times, const std::vector<RequestFingerprint>& requests)
    {
        for (int count = 0; count < times; ++count)
            crash(requests);
    }

    /// The admission after the trial has been announced.
    Admission admission(const RequestFingerprint& asked)
    {
        if (quarantine->admit(asked) == Admission::Wait)
            clock.advance(Milliseconds(150));
        return quarantine->admit(asked);
    }

    bool isQuarantined(const RequestFingerprint& asked) { return quarantine->admit(asked) == Admission::Quarantined; }

    ManualClock clock;
    QuarantineSettings settings;
    /// What the router has passed on.
    std::vector<EvidenceUpdate> shared;
    framework::Metrics metrics;
    std::shared_ptr<RequestQuarantine> quarantine = std::make_shared<RequestQuarantine>(
        RequestQuarantine::Context { clock, metrics, [] {}, [](framework::Deadline) {},
            [this](const EvidenceUpdate& update) { shared.push_back(update); } },
        settings);

private:
    int servers_ = 0;
};

} // namespace lagoon::quarantine
