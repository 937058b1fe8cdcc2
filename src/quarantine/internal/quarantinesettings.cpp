#include "quarantine/quarantinesettings.h"

#include "framework/checkedjson.h"

namespace lagoon::quarantine {

namespace {

using framework::Milliseconds;

/// A single crash blames every request that the server held.
constexpr std::uint64_t minCrashes = 2;
constexpr std::uint64_t maxCrashes = 20;
constexpr std::uint64_t minDurationMs = 1000;

} // namespace

QuarantineSettings readQuarantineSettings(framework::CheckedObject& settings)
{
    QuarantineSettings quarantine;
    if (!settings.has("quarantine"))
        return quarantine;
    framework::CheckedObject object = settings.object("quarantine");
    quarantine.crashes
        = static_cast<std::uint32_t>(object.numberOr("crashes", quarantine.crashes, minCrashes, maxCrashes));
    quarantine.duration
        = Milliseconds(object.numberOr("duration_ms", static_cast<std::uint64_t>(quarantine.duration.count()),
            minDurationMs, static_cast<std::uint64_t>(maxQuarantine.count())));
    // The enclosing object only checks its own keys, so unknown keys of this one are detected here.
    (void)object.finish();
    return quarantine;
}

} // namespace lagoon::quarantine
