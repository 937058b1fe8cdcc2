#pragma once

#include "objectstore/internal/httpcalls.h"
#include "objectstore/ivmlist.h"

#include <memory>

namespace lagoon::objectstore {

/// HTTP client for the platform's VM list, which docs/OUTSIDE.md describes.
class HttpVmList final : public IVmList {
public:
    explicit HttpVmList(std::shared_ptr<HttpCalls>);
    framework::Result<VmListSnapshot> waitForChange(std::uint64_t known, framework::Deadline, std::stop_token) override;

private:
    std::shared_ptr<HttpCalls> calls_;
};

} // namespace lagoon::objectstore
