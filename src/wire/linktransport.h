#pragma once

#include "framework/metrics.h"
#include "framework/types/time.h"
#include "wire/ilink.h"

#include <cstddef>
#include <memory>

namespace lagoon::wire {

struct LinkSettings {
    std::size_t threads = 2;
    /// A longer frame closes the link.
    std::size_t maxFrameBytes = 8 * 1024 * 1024;
    /// More waiting to be sent than this closes the link.
    std::size_t maxQueuedBytes = 64 * 1024 * 1024;
    framework::Milliseconds connectTimeout { 1000 };
};

/// Links over TCP by Boost.Asio, with threads of their own.
std::shared_ptr<ILinkTransport> makeTcpLinkTransport(const LinkSettings&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::wire
