#pragma once

#include "quarantine/types/requestfingerprint.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lagoon::quarantine {

/// No more parts of a request are judged.
inline constexpr std::size_t maxJudgedParts = 16;

/// What a request may have in common with others that crash their servers: all of it, or parts of its prompt.
struct RequestIdentity {
    RequestIdentity() = default;
    // Implicit, since many requests have no parts.
    RequestIdentity(const RequestFingerprint& fingerprint, std::vector<RequestFingerprint> sharedParts = {})
        : request(fingerprint)
        , parts(std::move(sharedParts))
    {
    }

    /// The request and its parts.
    std::vector<RequestFingerprint> suspects() const
    {
        std::vector<RequestFingerprint> all { request };
        all.insert(all.end(), parts.begin(), parts.end());
        return all;
    }
    bool has(const RequestFingerprint& suspect) const
    {
        return suspect == request || std::find(parts.begin(), parts.end(), suspect) != parts.end();
    }

    RequestFingerprint request;
    /// Of the parts that other requests may share, so without the last one.
    std::vector<RequestFingerprint> parts;
};

} // namespace lagoon::quarantine
