#include "policy/modelcopies.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy {

namespace {

/// Share of an engine's time that the requests of one copy should take at most. Beyond it, the prefill of a long prompt
/// delays so many other requests that their first events are late.
constexpr double workPerCopy = 0.5;
/// From this share of an engine's time on, a model gets a second copy, so that the loss of one engine doesn't interrupt
/// it.
constexpr double workOfBusyModel = 0.2;

/// Beyond this share of an engine's time, queues grow even without bursts.
constexpr double workOfOverloadedCopy = 0.8;

} // namespace

bool isOverloaded(double work, std::uint32_t holders) { return holders > 0 && work > workOfOverloadedCopy * holders; }

bool isBusyModel(double work) { return work >= workOfBusyModel; }

double copiesForWork(double work) { return work / workPerCopy; }

std::uint32_t desiredCopies(double work)
{
    const auto copies = static_cast<std::uint32_t>(std::ceil(copiesForWork(work)));
    return std::max<std::uint32_t>(copies, isBusyModel(work) ? 2 : 1);
}

} // namespace lagoon::policy
