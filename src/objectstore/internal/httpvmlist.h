#pragma once

#include "objectstore/internal/httpcalls.h"
#include "objectstore/ivmlist.h"

#include <memory>

namespace lagoon::objectstore {

/// The VM list as docs/OUTSIDE.md describes it.
class HttpVmList final : public IVmList {
public:
    explicit HttpVmList(std::shared_ptr<HttpCalls>);
    framework::Result<VmListSnapshot> waitForChange(std::uint64_t known, framework::Deadline, std::stop_token) override;

private:
    std::shared_ptr<HttpCalls> calls_;
};

} // namespace lagoon::objectstore
