#pragma once

#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/internal/callbudget.h"
#include "objectstore/objectstoreclient.h"

#include <cpprest/http_client.h>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>

namespace lagoon::objectstore {

enum class CallEffect : std::uint8_t { Read, Write };

/// One call of the platform, before it is sent.
struct HttpCall {
    /// Its `call` label in the counters.
    std::string kind;
    /// The key or list it is for, for errors.
    std::string subject;
    CallEffect effect = CallEffect::Read;
    web::http::http_request request;
    /// Server's waiting time of a watch, which comes on top of the call timeout.
    framework::Milliseconds wait { 0 };
};

struct HttpAnswer {
    unsigned short status = 0;
    std::string body;
    /// As sent, with its quotes.
    std::string entityTag;
    std::optional<framework::Milliseconds> retryAfter;
};

/// Sends calls within budget and time and counts them: `lagoon_platform_calls_total{call,result}` and
/// `lagoon_platform_call_seconds{call}`. Blocks the calling thread, which is a worker's and never one of cpprest's.
///
/// cpprest sends a request again by itself if its pooled connection is closed before an answer. So a conditional write
/// may see a conflict with its own first sending; whoever writes settles that by nonce (see objectupdate.h).
class HttpCalls {
public:
    HttpCalls(const ObjectStoreSettings&, std::shared_ptr<framework::Metrics>);

    /// An answer of any other status, or `PlatformUnavailable`: no answer in time or before the stop, over
    /// budget, 429 or 5xx.
    framework::Result<HttpAnswer> send(const HttpCall&, framework::Deadline, const std::stop_token& = {});
    /// Counts how an answered call ended.
    void countResult(const HttpCall&, const std::string& result);
    /// An error of this call with the platform as peer.
    framework::Error error(const HttpCall&, framework::ErrorCode, std::string detail) const;

private:
    framework::Result<HttpAnswer> waitForAnswer(const HttpCall&, framework::Deadline, const std::stop_token&);
    framework::Error unavailable(const HttpCall&, const HttpAnswer&) const;

    const std::string url_;
    const framework::Milliseconds callTimeout_;
    std::shared_ptr<framework::Metrics> metrics_;
    CallBudget budget_;
    web::http::client::http_client calls_;
    /// A watch holds a connection for long; its own client keeps such waits apart from short calls.
    web::http::client::http_client watches_;
};

} // namespace lagoon::objectstore
