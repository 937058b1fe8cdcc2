#include "policy/modelcopies.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy {

namespace {

/// Part of an engine's time that one copy's requests should take: beyond it, reading a long prompt holds up enough
/// others that first events come late.
constexpr double workPerCopy = 0.5;
/// A model with this much work has a second copy, so that the loss of one engine doesn't stop it.
constexpr double workOfBusyModel = 0.2;

/// Beyond this part of an engine's time queues grow by themselves.
constexpr double workOfStrainedCopy = 0.8;

} // namespace

bool isOverloaded(double work, std::uint32_t holders) { return holders > 0 && work > workOfStrainedCopy * holders; }

bool isBusyModel(double work) { return work >= workOfBusyModel; }

std::uint32_t desiredCopies(double work)
{
    const auto copies = static_cast<std::uint32_t>(std::ceil(work / workPerCopy));
    return std::max<std::uint32_t>(copies, isBusyModel(work) ? 2 : 1);
}

} // namespace lagoon::policy
