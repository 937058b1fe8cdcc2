#pragma once

#include "catalog/types/wanted.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <map>

namespace lagoon::engines {

/// What all routers together want of one engine. Forgets routers that have fallen silent.
class WantedBook {
public:
    /// Replaces what the router wanted before.
    void set(const framework::VmName& router, catalog::WantedList, framework::SteadyTime now);
    void forget(const framework::VmName& router) { routers_.erase(router); }
    void forgetSilent(framework::SteadyTime now);
    std::size_t routers() const { return routers_.size(); }

    /// Over all routers: sums of those that wait, that are under way, and of the work; the nearest deadline.
    std::map<catalog::ModelTarget, catalog::Wanted> merged() const;

private:
    struct Entry {
        catalog::WantedList wanted;
        framework::SteadyTime at {};
    };

    std::map<framework::VmName, Entry> routers_;
};

} // namespace lagoon::engines
