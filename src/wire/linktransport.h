#pragma once

#include "framework/metrics.h"
#include "framework/types/time.h"
#include "wire/ilink.h"

#include <cstddef>
#include <memory>

namespace lagoon::wire {

struct LinkSettings {
    std::size_t threads = 2;
    /// A link that receives a longer frame is closed.
    std::size_t maxFrameBytes = 8 * 1024 * 1024;
    /// The unsent bytes of all links. Above this, the link with the most is closed.
    std::size_t maxQueuedBytes = 64 * 1024 * 1024;
    framework::Milliseconds connectTimeout { 1000 };
    /// For each further link, the oldest one on which no message has arrived is closed. Half of the process's
    /// descriptors if that is less.
    std::size_t maxLinks = 4096;
    /// The unfinished frames of all links. Above this, the link whose frame has made no progress for longest is closed,
    /// and the others wait.
    std::size_t maxUnfinishedBytes = 48 * 1024 * 1024;
    /// A link is closed if no further piece of its unfinished frame arrives for so long.
    framework::Milliseconds frameProgressTimeout { 30000 };
};

/// Creates a transport for TCP links, based on Boost.Asio, with its own threads.
std::shared_ptr<ILinkTransport> makeTcpLinkTransport(const LinkSettings&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::wire
