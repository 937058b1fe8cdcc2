#pragma once

#include "framework/eventthread.h"
#include "http/callclient.h"

#include <stop_token>

namespace lagoon::http {

/// Calls to one server that block the calling thread. The endpoint may have a host name. Thread-safe.
class BlockingCalls {
public:
    BlockingCalls(
        const framework::Endpoint&, const AnswerLimits&, CallClient::Connections = CallClient::Connections::Pooled);

    /// Returns the whole answer. Fails as `CallClient` does, at the latest by the deadline or on the stop request.
    framework::Result<Response> call(Request, framework::Deadline, const std::stop_token& = {});

private:
    framework::EventThread thread_;
    CallClient client_;
};

} // namespace lagoon::http
