#pragma once

#include "fleet/fleet.h"
#include "framework/types/time.h"
#include "soak/caller.h"
#include "standins/proxy/faultproxy.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace lagoon::soak {

struct SoakSettings {
    std::uint64_t seed = 1;
    /// How long faults come; what was broken heals after that.
    framework::Milliseconds faults { 5000 };
    bool isLoud = false;
};

/// What a run found.
struct SoakReport {
    /// Promises that weren't kept; each names the request or process.
    std::vector<std::string> broken;
    int requests = 0;
    int served = 0;
    int refused = 0;
    int faults = 0;
};

/// Two routers and two agents as real processes between stand-ins, callers that keep their connections, and faults from
/// outside the processes that follow from the seed: signals, a store that goes away, lossy and silent connections,
/// servers that refuse, lose or cut answers, configurations. They overlap.
///
/// Checked from what callers and servers see: what must not run twice runs once at most; what is refused as not run
/// hasn't run; what looks whole is whole and the right answer; engines are never ordered beyond what fits; no process
/// ends by itself; and all is served again soon after the last fault.
class SoakRun {
public:
    explicit SoakRun(const SoakSettings&);
    SoakReport run();

private:
    struct Sent {
        std::string attempt;
        std::string kind;
        Outcome outcome;
    };

    void callersLoop(int caller);
    Sent callOnce(Caller&, std::mt19937_64&, int caller, int number);
    void strike();
    void strikeProcess();
    void strikeNetwork();
    void strikeServers();
    void changeConfiguration();
    void heal();
    void waitUntilServed();
    void check(const Sent&);
    void checkEngines();
    int runsOf(const std::string& attempt) const;
    void note(const std::string& what);
    void fail(const std::string& what);
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    void pause(std::uint64_t least, std::uint64_t more);
    std::string routerEndpoint(std::size_t index);

    SoakSettings settings_;
    fleet::Fleet& fleet_;
    standins::FaultProxy& storeProxy_;
    standins::FaultProxy& plainProxy_;
    standins::FaultProxy& engineProxy_;
    std::mt19937_64 random_;
    std::atomic<bool> isOver_ { false };
    std::mutex mutex_;
    std::vector<std::string> endpoints_;
    std::vector<Sent> sent_;
    SoakReport report_;
    bool hasNewRoute_ = false;
};

} // namespace lagoon::soak
