#include "standins/platform/vmtable.h"

namespace lagoon::standins {

VmTable::VmTable()
    : vms_(web::json::value::array())
{
}

void VmTable::set(const web::json::value& vms, framework::SteadyTime visibleAt)
{
    pending_.push_back({ vms, visibleAt });
}

void VmTable::setFrozen(bool isFrozen) { isFrozen_ = isFrozen; }

void VmTable::advance(framework::SteadyTime now)
{
    while (!isFrozen_ && !pending_.empty() && pending_.front().visibleAt <= now) {
        vms_ = pending_.front().vms;
        pending_.pop_front();
        ++version_;
    }
}

} // namespace lagoon::standins
