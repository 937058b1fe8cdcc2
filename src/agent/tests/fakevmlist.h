#pragma once

#include "platform/ivmlist.h"

#include <string>

namespace lagoon::agent::testing {

/// The platform's list as the test writes it.
class FakeVmList final : public platform::IVmList {
public:
    framework::Result<platform::VmListSnapshot> waitForChange(
        std::uint64_t, framework::Deadline, std::stop_token) override
    {
        return platform::VmListSnapshot { 1, entries_ };
    }

    void add(const std::string& vm, platform::VmState state)
    {
        platform::VmEntry entry;
        entry.vm = framework::VmName(vm);
        entry.state = state;
        entries_.push_back(entry);
    }

private:
    platform::VmEntries entries_;
};

} // namespace lagoon::agent::testing
