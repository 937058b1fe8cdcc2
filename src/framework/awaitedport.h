#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoon::framework {

/// A port that another process, such as the former one of the same role, may still hold when this process starts.
/// Logs `port_awaited` when the port can't be bound for the first time, and `port_bound` once it is bound after all.
class AwaitedPort {
public:
    using Listen = std::function<Result<Endpoint>(const Endpoint&)>;

    /// `name` is the port's key in the settings.
    AwaitedPort(std::string name, Endpoint, Listen);

    /// Tries to listen, unless that has succeeded before. Returns the endpoint in use, or the error of `listen`. It has
    /// `retryAfter` if the port may become free.
    Result<Endpoint> bind();
    /// The endpoint in use; the one of the settings until the port is bound.
    const Endpoint& endpoint() const { return endpoint_; }
    bool isBound() const { return isBound_; }

private:
    std::string name_;
    Endpoint endpoint_;
    Listen listen_;
    bool isBound_ = false;
    bool isAwaited_ = false;
};

} // namespace lagoon::framework
