#pragma once

#include "framework/types/time.h"

namespace lagoon::framework {

/// Source of the current time for code whose caller can't pass it.
class IClock {
public:
    virtual ~IClock() = default;
    virtual SteadyTime now() const = 0;
};

/// The system's steady clock.
class SystemClock final : public IClock {
public:
    SteadyTime now() const override;
};

} // namespace lagoon::framework
