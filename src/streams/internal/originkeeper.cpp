#include "streams/originkeeper.h"

#include "streams/originwire.h"

namespace lagoon::streams {

namespace {

constexpr std::size_t maxKept = 32768;

} // namespace

OriginKeeper::OriginKeeper()
    : table_(maxKept)
{
}

std::optional<wire::Message> OriginKeeper::receive(const wire::fb::StreamOriginsT& body, framework::SteadyTime now)
{
    const OriginUpdate update = fromWire(body, now);
    for (const DispatchRecord& record : update.dispatches)
        table_.add(record, now);
    OriginUpdate answer;
    for (const AttemptKey& attempt : update.asked) {
        if (const DispatchRecord* const known = table_.find(attempt, now))
            answer.dispatches.push_back(*known);
        else
            answer.unknown.push_back(attempt);
    }
    if (answer.isEmpty())
        return std::nullopt;
    return toWire(answer, now);
}

} // namespace lagoon::streams
