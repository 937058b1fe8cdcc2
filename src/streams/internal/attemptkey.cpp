#include "streams/types/streamorigin.h"

#include "quarantine/fingerprinting.h"

namespace lagoon::streams {

AttemptKey AttemptKey::of(std::string_view caller, std::string_view attempt)
{
    return AttemptKey(quarantine::fingerprintOf({ "", "", caller, attempt }).bytes());
}

} // namespace lagoon::streams
