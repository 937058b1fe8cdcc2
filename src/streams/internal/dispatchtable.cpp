#include "streams/dispatchtable.h"

#include <algorithm>

namespace lagoon::streams {

using framework::SteadyTime;

void DispatchTable::add(const DispatchRecord& record, SteadyTime now)
{
    expire(now);
    if (record.keptUntil.hasPassed(now))
        return;
    const auto [known, isNew] = records_.try_emplace(record.attempt, record);
    if (!isNew && known->second.dispatch > record.dispatch)
        return;
    if (!isNew && known->second.dispatch == record.dispatch) {
        if (known->second.origin != record.origin)
            known->second.origin.reset();
        return;
    }
    known->second = record;
    // One attempt may have several expiries; only that of its last record counts.
    expiries_.emplace(record.keptUntil, record.attempt);
    while (records_.size() > maxRecords_)
        dropFirst();
}

const DispatchRecord* DispatchTable::find(const AttemptKey& attempt, SteadyTime now) const
{
    const auto known = records_.find(attempt);
    return known == records_.end() || known->second.keptUntil.hasPassed(now) ? nullptr : &known->second;
}

void DispatchTable::expire(SteadyTime now)
{
    while (!expiries_.empty() && expiries_.begin()->first.hasPassed(now))
        dropFirst();
}

void DispatchTable::dropFirst()
{
    const auto [until, attempt] = *expiries_.begin();
    expiries_.erase(expiries_.begin());
    const auto known = records_.find(attempt);
    if (known != records_.end() && known->second.keptUntil <= until)
        records_.erase(known);
}

} // namespace lagoon::streams
