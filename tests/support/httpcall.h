#pragma once

#include "framework/types/time.h"

#include <cpprest/json.h>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>

/// An HTTP client for tests. It opens a new connection for each call, so that the HTTP library never resends a request
/// on its own.
namespace lagoon::testsupport {

struct HttpCall {
    std::string method = "GET";
    /// For example `http://127.0.0.1:41001/v1/completions`.
    std::string url;
    std::string body = {};
    std::map<std::string, std::string> headers = {};
    /// The call fails if the server sends nothing for this long.
    framework::Milliseconds idleTimeout { 30000 };
};

struct HttpAnswer {
    /// 0 if no answer has begun.
    int status = 0;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    /// The received body, also if it is incomplete.
    std::string body;
    /// Why the answer is incomplete; empty if it is complete.
    std::string failure;

    bool isComplete() const { return failure.empty(); }
    /// The parsed body; null if it is not JSON.
    web::json::value json() const;
};

/// Sends the request and waits for the end of the answer.
HttpAnswer call(const HttpCall&);

/// A call in progress, on a thread of its own.
class PendingCall {
public:
    explicit PendingCall(const HttpCall&);
    ~PendingCall();
    PendingCall(PendingCall&&) noexcept;
    PendingCall& operator=(PendingCall&&) noexcept;

    bool isFinished() const;
    /// Closes the connection before the answer is complete.
    void disconnect();
    /// Waits for the end of the answer.
    const HttpAnswer& answer();
    /// The part of the body that was received so far.
    std::string bodySoFar() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Returns `http://` + endpoint + path.
std::string urlOf(const std::string& endpoint, const std::string& path);
HttpAnswer getFrom(const std::string& endpoint, const std::string& path);
/// The JSON of an answer to GET. Throws std::runtime_error unless the answer is complete and its status is 2xx.
web::json::value getJson(const std::string& endpoint, const std::string& path);
/// Sends JSON. Throws std::runtime_error unless the answer is complete and its status is 2xx.
void sendJson(const std::string& method, const std::string& endpoint, const std::string& path, const web::json::value&);
/// Configures the faults of a stand-in or fault proxy by `POST /standin/faults` with this JSON text.
void setFaults(const std::string& endpoint, const std::string& json);

} // namespace lagoon::testsupport
