#include "http/internal/slowcallers.h"

#include "http/internal/callerconnection.h"

#include <tuple>

namespace lagoon::http {

namespace {

/// A body that is less than so many times slower than another one isn't ended in its favour.
constexpr double clearlySlower = 2;

} // namespace

std::shared_ptr<CallerConnection> slowestBody(
    const Connections& connections, const CallerConnection& asking, framework::SteadyTime now)
{
    const ByteReservation* const own = asking.unfinishedBody();
    if (!own)
        return nullptr;
    const bool isOfOneCaller = own->isAtShare();
    std::shared_ptr<CallerConnection> slowest;
    double leastShare = asking.recentShareOfRequest(now) / clearlySlower;
    std::size_t mostBytes = 0;
    for (const auto& [key, connection] : connections) {
        const ByteReservation* const body = connection->unfinishedBody();
        if (!body || key == &asking || (isOfOneCaller && body->peer() != own->peer()))
            continue;
        const double share = connection->recentShareOfRequest(now);
        if (share > leastShare || (share == leastShare && body->bytes() <= mostBytes))
            continue;
        slowest = connection;
        leastShare = share;
        mostBytes = body->bytes();
    }
    return slowest;
}

std::shared_ptr<CallerConnection> slowestReader(const Connections& connections, framework::SteadyTime now)
{
    std::shared_ptr<CallerConnection> slowest;
    double leastShare = 1 / clearlySlower;
    std::size_t mostBytes = 0;
    for (const auto& [key, connection] : connections) {
        if (connection->unsentBytes() == 0)
            continue;
        const double share = connection->recentShareOfAnswers(now);
        if (share > leastShare || (share == leastShare && connection->unsentBytes() <= mostBytes))
            continue;
        slowest = connection;
        leastShare = share;
        mostBytes = connection->unsentBytes();
    }
    return slowest;
}

std::shared_ptr<CallerConnection> leastNeeded(const Connections& connections, framework::SteadyTime now)
{
    using Rank = std::tuple<CallerConnection::Need, double, framework::SteadyTime>;
    std::shared_ptr<CallerConnection> least;
    Rank leastRank;
    for (const auto& [key, connection] : connections) {
        const CallerConnection::Need need = connection->need(now);
        if (need == CallerConnection::Need::Answering)
            continue;
        const bool isReceiving = need == CallerConnection::Need::Receiving;
        const Rank rank { need, isReceiving ? connection->recentShareOfRequest(now) : 0, connection->needSince() };
        if (least && leastRank <= rank)
            continue;
        least = connection;
        leastRank = rank;
    }
    return least;
}

} // namespace lagoon::http
