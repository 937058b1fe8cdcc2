#pragma once

#include "objectstore/ivmlist.h"

#include <string>

namespace lagoon::agent::testing {

/// The platform's VM list, with entries added by the test.
class FakeVmList final : public objectstore::IVmList {
public:
    framework::Result<objectstore::VmListSnapshot> waitForChange(
        std::uint64_t, framework::Deadline, std::stop_token) override
    {
        return objectstore::VmListSnapshot { 1, entries_ };
    }

    void add(const std::string& vm, objectstore::VmState state)
    {
        objectstore::VmEntry entry;
        entry.vm = framework::VmName(vm);
        entry.state = state;
        entries_.push_back(entry);
    }

private:
    objectstore::VmEntries entries_;
};

} // namespace lagoon::agent::testing
