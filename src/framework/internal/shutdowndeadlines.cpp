#include "framework/types/shutdowndeadlines.h"

#include <algorithm>

namespace lagoon::framework {

namespace {

/// The time until balancers send no new connections any more: they check readiness once a second and remove a process
/// after two consecutive answers other than 200.
constexpr Milliseconds balancerReactionTime { 2500 };
/// The part of the grace period that is reserved for delivering the last answers and exiting is at most this long.
constexpr Milliseconds maxReserve { 600 };
/// In a short grace period, the reserve is the grace period divided by this.
constexpr int reserveDivisor = 8;
/// The reserve divided by this is the margin after `exitBy`, for the last log lines and a signal that is handled late.
/// The other part is for the answers to be delivered over links with tens of milliseconds of delay, by way of a router
/// if an agent gave them.
constexpr int exitMarginDivisor = 2;

} // namespace

ShutdownDeadlines ShutdownDeadlines::after(SteadyTime signalledAt, Milliseconds grace)
{
    const Milliseconds total = std::max(grace, minGrace);
    const Milliseconds reserve = std::min(maxReserve, total / reserveDivisor);
    const Milliseconds serving = total - reserve;
    return { Deadline::after(signalledAt, std::min(balancerReactionTime, serving / 2)),
        Deadline::after(signalledAt, serving / 2), Deadline::after(signalledAt, serving),
        Deadline::after(signalledAt, total - reserve / exitMarginDivisor) };
}

} // namespace lagoon::framework
