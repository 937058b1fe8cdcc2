#pragma once

#include "catalog/types/configuration.h"
#include "forwarding/irequestdialect.h"
#include "framework/types/time.h"

#include <optional>
#include <string>
#include <variant>

namespace lagoon::forwarding {

/// Who sends a request, as far as its configuration tells callers apart.
struct Caller {
    /// nullptr if callers aren't told apart, or if the route is public and the request names no customer. Kept alive by
    /// the configuration.
    const catalog::Customer* customer = nullptr;
    /// The key that admits the request; std::nullopt if its route needs none.
    std::optional<catalog::KeyDigest> key;
};

/// The answer to a caller that isn't admitted.
struct CallerRefusal {
    unsigned status = 0;
    std::string cause;
    /// Set if the caller may be admitted later, or by another router.
    std::optional<framework::Milliseconds> retryAfter;
};

using CallerFinding = std::variant<Caller, CallerRefusal>;

/// Finds out who sends a request, by the configuration in force at this router. While the store hasn't confirmed that
/// configuration for some time, a caller that it doesn't admit may be admitted by a newer one.
class CallerIdentity {
public:
    /// `maxUnconfirmed` is the age of the last confirmation from which on the configuration may be outdated.
    explicit CallerIdentity(framework::Milliseconds maxUnconfirmed)
        : maxUnconfirmed_(maxUnconfirmed)
    {
    }

    void setMaxUnconfirmed(framework::Milliseconds age) { maxUnconfirmed_ = age; }
    void setConfiguration(catalog::ConfigurationPointer configuration) { configuration_ = std::move(configuration); }
    /// The configuration was the newest one at this time.
    void didConfirm(framework::SteadyTime at) { confirmedAt_ = at; }
    /// Returns by when requests have to end whose key a new configuration doesn't name, `within` after the store has
    /// accepted it: it can't have done so before the last confirmation. Called before the new one is confirmed.
    framework::Deadline endOfRevoked(framework::Milliseconds within, framework::SteadyTime now) const;

    /// `route` belongs to the configuration.
    CallerFinding identify(
        const catalog::Route& route, const http::Request&, const IRequestDialect&, framework::SteadyTime now) const;

private:
    CallerRefusal refusal(const std::string& cause, framework::SteadyTime now) const;

    framework::Milliseconds maxUnconfirmed_;
    catalog::ConfigurationPointer configuration_;
    std::optional<framework::SteadyTime> confirmedAt_;
};

} // namespace lagoon::forwarding
