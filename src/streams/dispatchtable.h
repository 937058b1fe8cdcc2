#pragma once

#include "streams/types/streamorigin.h"

#include <cstddef>
#include <deque>
#include <map>

namespace lagoon::streams {

/// Records of dispatches, bounded in number and age. Does no I/O and reads no clock.
class DispatchTable {
public:
    explicit DispatchTable(std::size_t maxRecords)
        : maxRecords_(maxRecords)
    {
    }

    /// Adds the record unless a later one of the same attempt is known. If one with the same number states another
    /// origin, the attempt was sent by two routers, and its origin is unknown. Drops the oldest records if there are
    /// too many.
    void add(const DispatchRecord&, framework::SteadyTime now);
    /// Returns nullptr if the attempt isn't known.
    const DispatchRecord* find(const AttemptKey&, framework::SteadyTime now) const;
    const std::map<AttemptKey, DispatchRecord>& records() const { return records_; }
    std::size_t size() const { return records_.size(); }

private:
    void expire(framework::SteadyTime now);
    void dropFirst();

    std::size_t maxRecords_;
    std::map<AttemptKey, DispatchRecord> records_;
    std::multimap<framework::Deadline, AttemptKey> expiries_;
};

} // namespace lagoon::streams
