#pragma once

#include "framework/types/time.h"

#include <cpprest/json.h>
#include <cstdint>
#include <deque>

namespace lagoon::standins {

/// The VM list that callers see, and newer lists that aren't visible yet. The caller passes in the time.
class VmTable {
public:
    VmTable();

    /// Sets a new list, which becomes visible at `visibleAt`, or later if the table is frozen then.
    void set(const web::json::value& vms, framework::SteadyTime visibleAt);
    void setFrozen(bool);
    /// Makes the lists visible that are due.
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
