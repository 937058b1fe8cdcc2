#pragma once

#include "framework/types/time.h"
#include "streams/types/streamorigin.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoon::streams {

/// What is known of the software that began a stream.
struct OriginAnswer {
    /// std::nullopt if it isn't known.
    std::optional<StreamOrigin> origin;
    /// Who knows it, for the log.
    std::string source;
    /// How long ago the attempt was sent.
    framework::Milliseconds age { 0 };
};

/// Remembers, for all routers, to which software streams were sent, so that callers can take them up at any router.
class IStreamOrigins {
public:
    virtual ~IStreamOrigins() = default;

    /// States to which software an attempt is being sent.
    virtual void record(const DispatchRecord&) = 0;
    /// Takes back what was recorded of the attempt. Calls the handler with true once nobody keeps an earlier record any
    /// more, or with false if that can't be found out.
    virtual void retract(const DispatchRecord&, std::function<void(bool)>) = 0;
    /// Finds out which software began the stream of an attempt that any router may have received.
    virtual void find(const AttemptKey&, std::function<void(const OriginAnswer&)>) = 0;
};

} // namespace lagoon::streams
