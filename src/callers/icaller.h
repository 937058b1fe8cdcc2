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

/// Between the callers' HTTP and the dispatch of requests.
namespace lagoon::callers {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What a request is for: a model, maybe with an adapter, or a plain service.
struct RequestTarget {
    framework::ModelName model;
    framework::AdapterName adapter;
    framework::ServiceName service;

    bool isService() const { return !service.value().empty(); }
    friend auto operator<=>(const RequestTarget&, const RequestTarget&) = default;
};

/// A caller's request, checked, with the bundle's defaults filled in.
struct CallerRequest {
    framework::RequestName name;
    RequestTarget target;
    std::string method;
    /// Path and query as the upstream gets them.
    std::string path;
    HttpHeaders headers;
    std::string body;
    framework::Deadline deadline;
    bool isRepeatable = false;
    std::uint8_t priority = 0;
    std::optional<std::string> idempotencyKey;
    /// Hash of the prompt's beginning; 0 for none.
    std::uint64_t prefixHash = 0;
};

/// The one answer to a caller. Thread-safe. After the first of `refuse`, `finish` and `breakOff` nothing has an effect.
class ICallerAnswer {
public:
    virtual ~ICallerAnswer() = default;
    /// Status, headers, and which attempt this is (from 1; 0 is said to nobody).
    virtual void begin(unsigned short status, const HttpHeaders&, std::uint32_t attempt) = 0;
    virtual void write(std::string bytes) = 0;
    /// The answer is whole.
    virtual void finish() = 0;
    /// It isn't and won't be: the caller sees its connection break, never a short answer that looks whole.
    virtual void breakOff(const framework::Error&) = 0;
    /// In place of `begin`: a JSON refusal, at once.
    virtual void refuse(const framework::Error&, std::uint32_t attempt) = 0;
    /// Called once, from any thread, if the caller hangs up before the answer is whole, or reads it too slowly. A
    /// caller that hangs up before `begin` is noticed only with the first bytes (docs/API.md): until then the deadline
    /// bounds what is done for nobody.
    virtual void onCallerGone(std::function<void()>) = 0;
};

/// Takes each request over and sees to its one final answer before its deadline.
class IRequestDispatcher {
public:
    virtual ~IRequestDispatcher() = default;
    /// From any thread; returns at once.
    virtual void accept(CallerRequest, std::shared_ptr<ICallerAnswer>) = 0;
};

} // namespace lagoon::callers
