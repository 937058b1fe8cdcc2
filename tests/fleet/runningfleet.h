#pragma once

#include "fleet/fleet.h"

namespace lagoon::fleet {

/// A test fixture: a fleet that runs for the duration of a test case, and references to its stand-ins.
struct RunningFleet {
    RunningFleet() { fleet.start(); }
    ~RunningFleet() { fleet.stop(); }
    RunningFleet(const RunningFleet&) = delete;
    RunningFleet& operator=(const RunningFleet&) = delete;

    CallerAnswer call(const CallerRequest& request) { return fleet.call(request); }

    Fleet& fleet = Fleet::make();
    StoreStandin& store = fleet.store;
    PlainStandin& plain1 = fleet.plain1;
    PlainStandin& plain2 = fleet.plain2;
    EngineStandin& engine1 = fleet.engine1;
    EngineStandin& engine2 = fleet.engine2;
};

} // namespace lagoon::fleet
