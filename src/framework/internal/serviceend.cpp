#include "framework/types/serviceend.h"

#include <algorithm>

namespace lagoon::framework {

namespace {

/// Balancers ask once a second and take a process out after two answers in a row that aren't 200; until then they send
/// new connections.
constexpr Milliseconds balancerReactionTime { 2500 };
/// Left of the grace period when the last requests get their answers.
constexpr Milliseconds maxReserve { 600 };
/// Of a short grace period the reserve is this part.
constexpr int reserveDivisor = 8;
/// Of the reserve, for the answers to leave over links with tens of milliseconds of delay, by way of a router if an
/// agent gave them. The rest is for the log's last lines and for a signal that is handled late.
constexpr int deliveryDivisor = 2;

} // namespace

ServiceEnd ServiceEnd::after(SteadyTime signalledAt, Milliseconds grace)
{
    const Milliseconds total = std::max(grace, minGrace);
    const Milliseconds reserve = std::min(maxReserve, total / reserveDivisor);
    const Milliseconds serving = total - reserve;
    return { Deadline::after(signalledAt, std::min(balancerReactionTime, serving / 2)),
        Deadline::after(signalledAt, serving / 2), Deadline::after(signalledAt, serving),
        Deadline::after(signalledAt, total - reserve / deliveryDivisor) };
}

} // namespace lagoon::framework
