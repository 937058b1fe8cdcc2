#pragma once

#include "streams/dispatchtable.h"
#include "wire/types/message.h"

#include <optional>

namespace lagoon::streams {

/// An agent's part of the exchange: keeps what routers record and answers their questions. Does no I/O and reads no
/// clock.
class OriginKeeper {
public:
    OriginKeeper();

    /// Returns the answer if the frame asks for anything.
    std::optional<wire::Message> receive(const wire::fb::StreamOriginsT&, framework::SteadyTime now);
    std::size_t size() const { return table_.size(); }

private:
    DispatchTable table_;
};

} // namespace lagoon::streams
