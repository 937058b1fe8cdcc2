#pragma once

#include "streams/types/streamorigin.h"
#include "wire/types/message.h"

#include <vector>

/// Conversion of records of dispatches to and from frames. Times on the wire are relative to the frame's sending.
namespace lagoon::streams {

/// The content of one frame of the exchange between routers and agents.
struct OriginUpdate {
    std::vector<DispatchRecord> dispatches;
    /// Attempts whose records the receiver is asked for.
    std::vector<AttemptKey> asked;
    /// Attempts that were asked for and of which the sender has no record.
    std::vector<AttemptKey> unknown;

    bool isEmpty() const { return dispatches.empty() && asked.empty() && unknown.empty(); }
};

wire::Message toWire(const OriginUpdate&, framework::SteadyTime now);
/// Leaves out entries that can't be read.
OriginUpdate fromWire(const wire::fb::StreamOriginsT&, framework::SteadyTime now);

} // namespace lagoon::streams
