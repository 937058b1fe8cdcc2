#pragma once

#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "http/blockingcalls.h"
#include "http/types/message.h"
#include "objectstore/internal/callbudget.h"
#include "objectstore/objectstoreclient.h"

#include <memory>
#include <optional>
#include <stop_token>
#include <string>

namespace lagoon::objectstore {

/// The longest answer is a list of objects.
inline constexpr std::size_t maxAnswerBytes = std::size_t(64) * 1024 * 1024;

enum class CallEffect : std::uint8_t { Read, Write };

/// A call to the platform that is ready to be sent.
struct HttpCall {
    /// Value of the label `call` in the metrics.
    std::string kind;
    /// The key or list that the call is for; used in error texts.
    std::string subject;
    CallEffect effect = CallEffect::Read;
    http::Request request;
    /// How long the server waits during a watch; added to the call timeout.
    framework::Milliseconds wait { 0 };
};

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
    /// The `ETag` header as received, including its quotes.
    std::string entityTag;
    std::optional<framework::Milliseconds> retryAfter;
};

/// Sends calls within the call budget and time limits, and records `lagoon_platform_calls_total{call,result}` and
/// `lagoon_platform_call_seconds{call}`. Blocks the calling thread, which must be a worker thread.
class HttpCalls {
public:
    HttpCalls(const ObjectStoreSettings&, std::shared_ptr<framework::Metrics>);

    /// Returns the answer. Fails with `PlatformUnavailable` if the call is over budget, if there is no answer in time
    /// or before the stop request, or if the status is 429 or 5xx.
    framework::Result<HttpAnswer> send(const HttpCall&, framework::Deadline, const std::stop_token& = {});
    void countResult(const HttpCall&, const std::string& result);
    /// Creates an error for this call that names the platform as the peer.
    framework::Error error(const HttpCall&, framework::ErrorCode, std::string detail) const;

private:
    framework::Result<HttpAnswer> waitForAnswer(const HttpCall&, framework::Deadline, const std::stop_token&);
    framework::Error unavailable(const HttpCall&, const HttpAnswer&) const;

    const std::string url_;
    const framework::Milliseconds callTimeout_;
    std::shared_ptr<framework::Metrics> metrics_;
    CallBudget budget_;
    http::BlockingCalls calls_;
    /// Client for watches. A watch occupies a connection for its whole wait, so a client of its own keeps watches from
    /// delaying short calls.
    http::BlockingCalls watches_;
};

} // namespace lagoon::objectstore
