#pragma once

#include "framework/types/time.h"

#include <cpprest/json.h>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>

/// A caller's side of HTTP: each call on a connection of its own, so that nothing is sent twice behind the test's back.
namespace lagoon::testsupport {

struct HttpCall {
    std::string method = "GET";
    /// Such as `http://127.0.0.1:41001/v1/completions`.
    std::string url;
    std::string body = {};
    std::map<std::string, std::string> headers = {};
    /// Longest silence of the server.
    framework::Milliseconds idleTimeout { 30000 };
};

struct HttpAnswer {
    /// 0 if no answer began.
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    /// What came, also if it was cut.
    std::string body;
    /// Why the answer isn't whole; empty if it is.
    std::string failure;

    bool isComplete() const { return failure.empty(); }
    /// Null if the body isn't JSON.
    web::json::value json() const;
};

HttpAnswer call(const HttpCall&);

/// A call under way.
class PendingCall {
public:
    explicit PendingCall(const HttpCall&);
    ~PendingCall();
    PendingCall(PendingCall&&) noexcept;
    PendingCall& operator=(PendingCall&&) noexcept;

    bool isFinished() const;
    /// Closes the connection as a caller that loses patience does.
    void disconnect();
    /// Waits for the answer's end.
    const HttpAnswer& answer();
    /// What has come so far.
    std::string bodySoFar() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// `http://` + endpoint + path.
std::string urlOf(const std::string& endpoint, const std::string& path);
HttpAnswer getFrom(const std::string& endpoint, const std::string& path);
/// Throws std::runtime_error unless the answer is 2xx.
web::json::value getJson(const std::string& endpoint, const std::string& path);
void sendJson(const std::string& method, const std::string& endpoint, const std::string& path, const web::json::value&);
/// `POST /standin/faults` with JSON text.
void setFaults(const std::string& endpoint, const std::string& json);

} // namespace lagoon::testsupport
