#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The interface between the callers' HTTP server and the dispatch of requests.
namespace lagoon::callers {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What a request addresses: a model, optionally with an adapter, or a plain service.
struct RequestTarget {
    framework::ModelName model;
    framework::AdapterName adapter;
    framework::ServiceName service;

    bool isService() const { return !service.value().empty(); }
    friend auto operator<=>(const RequestTarget&, const RequestTarget&) = default;
};

/// A validated request, with the bundle's defaults filled in.
struct CallerRequest {
    framework::RequestName name;
    RequestTarget target;
    /// Who sends the request, by its credentials; empty if it has none.
    std::string caller;
    std::string method;
    /// Path and query as sent to the upstream.
    std::string path;
    HttpHeaders headers;
    std::string body;
    framework::Deadline deadline;
    bool isRepeatable = false;
    std::uint8_t priority = 0;
    std::optional<std::string> idempotencyKey;
    /// Hash of the beginning of the prompt; 0 if there is no prompt.
    std::uint64_t prefixHash = 0;
};

/// The only answer to one request. Thread-safe. After the first call of `refuse`, `finish` or `breakOff`, further calls
/// have no effect.
class ICallerAnswer {
public:
    virtual ~ICallerAnswer() = default;
    /// Starts the answer. Attempts count from 1; 0 is not reported to the caller.
    virtual void begin(unsigned short status, const HttpHeaders&, std::uint32_t attempt) = 0;
    virtual void write(std::string bytes) = 0;
    /// Completes the answer.
    virtual void finish() = 0;
    /// Ends an answer that cannot be completed: the caller sees its connection break, never a truncated answer that
    /// looks complete.
    virtual void breakOff(const framework::Error&) = 0;
    /// Sends a JSON refusal at once. Called instead of `begin`.
    virtual void refuse(const framework::Error&, std::uint32_t attempt) = 0;
    /// Sets a handler that is called once, from any thread, if the caller disconnects before the answer is complete or
    /// reads it too slowly.
    virtual void onCallerGone(std::function<void()>) = 0;
};

/// Executes requests, and completes or refuses the answer to each before its deadline.
class IRequestDispatcher {
public:
    virtual ~IRequestDispatcher() = default;
    /// Called from any thread; does not block.
    virtual void accept(CallerRequest, std::shared_ptr<ICallerAnswer>) = 0;
};

} // namespace lagoon::callers
