#include "framework/types/shutdowndeadlines.h"

#include <algorithm>

namespace lagoon::framework {

namespace {

/// Balancers ask once a second and take a process out after two answers in a row that aren't 200; until then they send
/// new connections.
constexpr Milliseconds untilNoticed { 2500 };
/// Left of the grace period when the last requests get their answers.
constexpr Milliseconds usualReserve { 600 };
/// Of a short grace period the reserve is this part.
constexpr int reservePart = 8;
/// Of the reserve, for the answers to leave over links with tens of milliseconds of delay, by way of a router if an
/// agent gave them. The rest is for the log's last lines and for a signal that is handled late.
constexpr int leavingPart = 2;

} // namespace

ShutdownDeadlines ShutdownDeadlines::after(SteadyTime told, Milliseconds grace)
{
    const Milliseconds whole = std::max(grace, shortestGrace);
    const Milliseconds reserve = std::min(usualReserve, whole / reservePart);
    const Milliseconds serving = whole - reserve;
    return { Deadline::after(told, std::min(untilNoticed, serving / 2)), Deadline::after(told, serving / 2),
        Deadline::after(told, serving), Deadline::after(told, whole - reserve / leavingPart) };
}

} // namespace lagoon::framework
