#include "objectstore/internal/httpcalls.h"

#include "framework/iclock.h"
#include "http/url.h"

#include <charconv>
#include <utility>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::Result;

constexpr http::AnswerLimits answerLimits { maxAnswerBytes, 2 * maxAnswerBytes };
constexpr unsigned tooManyRequests = 429;
constexpr unsigned internalError = 500;
constexpr unsigned serviceUnavailable = 503;

/// Parses the form of `Retry-After` in seconds only, since the platform doesn't send dates.
std::optional<Milliseconds> retryAfterOf(const http::Headers& headers)
{
    const auto text = headers.find("Retry-After");
    if (!text)
        return std::nullopt;
    constexpr unsigned maxSeconds = 3600;
    unsigned seconds = 0;
    const auto [end, errorCode] = std::from_chars(text->data(), text->data() + text->size(), seconds);
    if (errorCode != std::errc() || end != text->data() + text->size() || seconds > maxSeconds)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

HttpAnswer answerOf(http::Response response)
{
    const http::Headers& headers = response.head.headers;
    return { response.head.status, std::move(response.body), std::string(headers.find("ETag").value_or("")),
        retryAfterOf(headers) };
}

} // namespace

HttpCalls::HttpCalls(const ObjectStoreSettings& settings, std::shared_ptr<framework::Metrics> metrics)
    : url_(settings.url)
    , callTimeout_(settings.callTimeout)
    , metrics_(std::move(metrics))
    , budget_(settings.callsPerSecond, settings.callBurst, framework::SystemClock().now())
    , calls_(http::parseUrl(settings.url).endpoint, answerLimits)
    , watches_(http::parseUrl(settings.url).endpoint, answerLimits)
{
}

Error HttpCalls::error(const HttpCall& call, ErrorCode code, std::string detail) const
{
    return Error { code, "platform " + call.kind + " " + call.subject, url_, std::move(detail) };
}

void HttpCalls::countResult(const HttpCall& call, const std::string& result)
{
    metrics_->count("lagoon_platform_calls_total", { { "call", call.kind }, { "result", result } });
}

Result<HttpAnswer> HttpCalls::send(const HttpCall& call, Deadline deadline, const std::stop_token& stop)
{
    const framework::SystemClock clock;
    const auto startedAt = clock.now();
    if (const auto wait = budget_.tryAcquire(startedAt)) {
        countResult(call, "over_budget");
        Error refusal = error(call, ErrorCode::PlatformUnavailable, "this process's call budget is spent");
        refusal.retryAfter = wait;
        return refusal;
    }
    const Deadline limit = std::min(deadline, Deadline::after(startedAt, callTimeout_ + call.wait));
    BOOST_OUTCOME_TRY(answer, waitForAnswer(call, limit, stop));
    if (call.wait == Milliseconds(0))
        metrics_->observeSeconds("lagoon_platform_call_seconds",
            std::chrono::duration<double>(clock.now() - startedAt).count(), { { "call", call.kind } });
    if (answer.status != tooManyRequests && answer.status < internalError)
        return answer;
    countResult(call, answer.retryAfter ? "held_off" : "unavailable");
    return unavailable(call, answer);
}

Result<HttpAnswer> HttpCalls::waitForAnswer(const HttpCall& call, Deadline limit, const std::stop_token& stop)
{
    http::BlockingCalls& client = call.wait == Milliseconds(0) ? calls_ : watches_;
    auto response = client.call(call.request, limit, stop);
    if (response.has_value())
        return answerOf(std::move(response.value()));
    countResult(call, limit.hasPassed(framework::SystemClock().now()) ? "timeout" : "broken");
    Error callError = error(call, ErrorCode::PlatformUnavailable, response.error().detail);
    if (call.effect == CallEffect::Write)
        callError.execution = Execution::Unknown;
    return callError;
}

Error HttpCalls::unavailable(const HttpCall& call, const HttpAnswer& answer) const
{
    Error refusal = error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    refusal.retryAfter = answer.retryAfter;
    // Only status 429 or 503 guarantees that the platform didn't execute the call.
    const bool isRefusal = answer.status == tooManyRequests || answer.status == serviceUnavailable;
    if (call.effect == CallEffect::Write && !isRefusal)
        refusal.execution = Execution::Unknown;
    return refusal;
}

} // namespace lagoon::objectstore
