#include "http/internal/slowcallers.h"

#include "http/internal/callerconnection.h"

namespace lagoon::http {

namespace {

/// A body that is less than so many times slower than another one isn't ended in its favour.
constexpr double clearlySlower = 2;

} // namespace

std::shared_ptr<CallerConnection> slowestBody(
    const Connections& connections, const CallerConnection& asking, std::size_t bytes, framework::SteadyTime now)
{
    const ByteReservation* const own = asking.unfinishedBody();
    if (!own)
        return nullptr;
    const bool isOfOneCaller = own->isAboveShare(bytes);
    std::shared_ptr<CallerConnection> slowest;
    double leastShare = asking.recentShareOfBody(now) / clearlySlower;
    std::size_t mostBytes = 0;
    for (const auto& [key, connection] : connections) {
        const ByteReservation* const body = connection->unfinishedBody();
        if (!body || key == &asking || (isOfOneCaller && body->peer() != own->peer()))
            continue;
        const double share = connection->recentShareOfBody(now);
        if (share > leastShare || (share == leastShare && body->bytes() <= mostBytes))
            continue;
        slowest = connection;
        leastShare = share;
        mostBytes = body->bytes();
    }
    return slowest;
}

} // namespace lagoon::http
