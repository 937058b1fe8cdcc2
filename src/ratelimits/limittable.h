#pragma once

#include "framework/types/time.h"
#include "ratelimits/types/serverlimit.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoon::ratelimits {

/// The limits that servers name, and what they allow. Processes exchange the statements; all that have heard the same
/// ones, in any order, know the same. Does no I/O and reads no clock.
class LimitTable {
public:
    enum class Change : std::uint8_t { None, Named, Changed, Ended };

    Change add(const LimitStatement&);
    /// Returns the rate at which all routers together may send requests to the server; std::nullopt if it is not
    /// limited.
    ///
    /// A server that names a limit of almost nothing still gets a request from time to time: only an answer can show
    /// that the limit has ended. After its end the rate grows for a while until it is no longer limited, so that the
    /// requests that have gathered meanwhile don't all arrive at once.
    std::optional<RequestRate> allowed(const ServerRunKey&, framework::SteadyTime now) const;
    /// Returns the last statement about the server, or nullptr.
    const LimitStatement* find(const ServerRunKey&) const;
    /// Returns the statements that still matter, for a process that knows none.
    std::vector<LimitStatement> statements() const;
    void forget(const ServerRunKey& server) { limits_.erase(server); }
    void expire(framework::SteadyTime now);
    bool isEmpty() const { return limits_.empty(); }
    /// The number of servers that name a limit.
    std::size_t named() const;

private:
    struct Limit {
        LimitStatement last;
        /// The last limit that the server named.
        RequestRate rate;
    };

    std::map<ServerRunKey, Limit> limits_;
};

} // namespace lagoon::ratelimits
