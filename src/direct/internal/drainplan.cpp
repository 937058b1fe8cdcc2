#include "direct/drainplan.h"

#include <algorithm>

namespace lagoon::direct {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// Balancers ask once a second and take a router out after two answers in a row that aren't 200; until then they send
/// new connections, which have to be served.
constexpr Milliseconds untilNoticed { 2500 };
/// Left of the grace period when the last requests get their answers: half of it for the answers to leave, over links
/// with tens of milliseconds of delay, and half for the log's last lines and for signals that are handled late.
constexpr Milliseconds usualReserve { 600 };
/// Of a short grace period the reserve is this part.
constexpr int reservePart = 8;

} // namespace

DrainPlan drainPlan(framework::SteadyTime begun, Milliseconds grace)
{
    const Milliseconds reserve = std::min(usualReserve, grace / reservePart);
    const Deadline answersBy = Deadline::after(begun, grace - reserve);
    const Deadline noticed = Deadline::after(begun, untilNoticed);
    return { std::min(noticed, answersBy), answersBy, Deadline::after(begun, grace - reserve / 2) };
}

} // namespace lagoon::direct
