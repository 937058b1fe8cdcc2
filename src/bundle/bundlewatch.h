#pragma once

#include "bundle/ibundlewatch.h"
#include "framework/controlthread.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"

#include <cstdint>
#include <memory>

namespace lagoon::bundle {

/// Routers watch the head with one waiting call each; agents hear of new versions from routers, or poll.
enum class HeadMode : std::uint8_t { Watch, Listen };

/// Waiting times; the defaults are the product's, tests use shorter ones.
struct BundleWatchTimes {
    /// One waiting call. A watch whose connection went silent is found out after it, so it bounds how late a router is.
    framework::Milliseconds watch { 8000 };
    /// Between a listener's reads of the head while nobody tells it of a newer version; each is drawn from two thirds
    /// to four thirds of it. An agent whose models are idle is spoken to by nobody, and has to drain what a new bundle
    /// lowers all the same, so this bounds how late an agent is.
    framework::Milliseconds poll { 9000 };
    /// Before a newer bundle is read each process waits for a time drawn from zero to this per part of its present
    /// bundle, so that the fleet doesn't read in one moment: large fleets have large bundles.
    framework::Milliseconds readJitterPerPart { 250 };
    /// At most, since a change is to be in force everywhere within 15 s.
    framework::Milliseconds maxReadJitter { 4000 };
    /// Between tries that failed.
    framework::Milliseconds initialRetryDelay { 100 };
    framework::Milliseconds maxRetryDelay { 5000 };
};

/// Reads the head and the bundles it names on a thread of its own.
std::shared_ptr<IBundleWatch> makeBundleWatch(HeadMode, std::shared_ptr<objectstore::IObjectStore>,
    framework::IControlExecutor&, std::shared_ptr<framework::Metrics>, BundleWatchTimes = {});

} // namespace lagoon::bundle
