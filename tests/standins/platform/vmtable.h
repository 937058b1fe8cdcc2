#pragma once

#include "framework/types/time.h"

#include <cpprest/json.h>
#include <cstdint>
#include <deque>

namespace lagoon::standins {

/// The VM list as it is, and as the lagging platform shows it. Time is passed in.
class VmTable {
public:
    VmTable();

    /// Shows the list once `visibleAt` has passed and the list isn't frozen.
    void set(const web::json::value& vms, framework::SteadyTime visibleAt);
    void setFrozen(bool);
    /// Moves on to what is to be seen now.
    void advance(framework::SteadyTime now);

    std::uint64_t version() const { return version_; }
    const web::json::value& vms() const { return vms_; }

private:
    struct Pending {
        web::json::value vms;
        framework::SteadyTime visibleAt;
    };
    std::deque<Pending> pending_;
    web::json::value vms_;
    std::uint64_t version_ = 1;
    bool isFrozen_ = false;
};

} // namespace lagoon::standins
