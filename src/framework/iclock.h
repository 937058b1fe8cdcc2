#pragma once

#include "framework/types/time.h"

namespace lagoon::framework {

/// Source of time for code that can't be passed the time by its caller.
class IClock {
public:
    virtual ~IClock() = default;
    virtual SteadyTime now() const = 0;
};

/// The process's real clock.
class SystemClock final : public IClock {
public:
    SteadyTime now() const override;
};

} // namespace lagoon::framework
