#pragma once

#include "quarantine/types/requestfingerprint.h"

#include <string_view>

namespace lagoon::quarantine {

/// What copies of a request have in common. Attempt ids, deadlines and the like differ between copies.
struct RequestContent {
    std::string_view method;
    /// Path and query.
    std::string_view target;
    /// Who sends the request. Part of the fingerprint, so that no caller can affect the requests of another.
    std::string_view caller;
    std::string_view body;
};

/// Returns the fingerprint of a part of a prompt. Depends on the part's id alone, in whatever requests it stands.
RequestFingerprint partFingerprintOf(std::string_view id);

/// Returns the first 128 bits of a SHA-256 digest: a caller can't construct a request with the fingerprint of another
/// caller's request.
RequestFingerprint fingerprintOf(const RequestContent&);

} // namespace lagoon::quarantine
