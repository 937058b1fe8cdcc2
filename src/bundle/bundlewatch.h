#pragma once

#include "bundle/ibundlewatch.h"
#include "framework/controlthread.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"

#include <cstdint>
#include <memory>

namespace lagoon::bundle {

/// How a process learns of a new bundle head. `Watch`: one waiting call to the platform at a time; routers and agents
/// use this mode. `Listen`: versions that peers report, and polling, without a waiting call.
enum class HeadMode : std::uint8_t { Watch, Listen };

/// Intervals and time limits. The program uses the defaults; tests use shorter ones.
struct BundleWatchTimes {
    /// How long one watch call waits. A silently broken connection is detected after this time, so it bounds how late a
    /// watching process learns of a new bundle.
    framework::Milliseconds watch { 8000 };
    /// Interval at which a listener reads the head while no peer reports a newer version; each interval is drawn from
    /// two thirds to four thirds of it. No router contacts an agent whose models are idle, but the agent still has to
    /// drain replicas that a new bundle removes, so this bounds how late a listening agent learns of a new bundle.
    framework::Milliseconds poll { 9000 };
    /// Before it reads a newer bundle, each process waits for a random time from zero to this value times the number of
    /// parts of its current bundle, so that the processes of the fleet don't read at the same time. The wait grows with
    /// the parts because large fleets have large bundles.
    framework::Milliseconds readJitterPerPart { 250 };
    /// Upper limit of this random wait, since a change has to be in force everywhere within 15 s.
    framework::Milliseconds maxReadJitter { 4000 };
    /// Initial and maximum backoff after a failed read.
    framework::Milliseconds initialRetryDelay { 100 };
    framework::Milliseconds maxRetryDelay { 5000 };
};

/// Creates a watch that reads the head, and the bundles that it names, on a thread of its own.
std::shared_ptr<IBundleWatch> makeBundleWatch(HeadMode, std::shared_ptr<objectstore::IObjectStore>,
    framework::IControlExecutor&, std::shared_ptr<framework::Metrics>, BundleWatchTimes = {});

} // namespace lagoon::bundle
