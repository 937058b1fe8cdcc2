#include "objectstore/internal/httpcalls.h"

#include "framework/iclock.h"

#include <charconv>
#include <future>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::Result;
using web::http::http_response;
using web::http::status_codes;
using web::http::client::http_client;
using web::http::client::http_client_config;

/// cpprest's timeout limits the silence on a connection and not the whole call, so it only has to be longer than any
/// wait of this module.
constexpr std::chrono::seconds clientTimeout { 300 };

struct Outcome {
    HttpAnswer answer;
    /// What failed on the connection; empty if there is an answer.
    std::string failure;
};

http_client_config clientConfig()
{
    http_client_config config;
    config.set_timeout(clientTimeout);
    return config;
}

/// Parses the form of `Retry-After` in seconds only, since the platform doesn't send dates.
std::optional<Milliseconds> retryAfterOf(const http_response& response)
{
    const auto found = response.headers().find("Retry-After");
    if (found == response.headers().end())
        return std::nullopt;
    constexpr unsigned maxSeconds = 3600;
    unsigned seconds = 0;
    const std::string& text = found->second;
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (errorCode != std::errc() || end != text.data() + text.size() || seconds > maxSeconds)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::string entityTagOf(const http_response& response)
{
    const auto found = response.headers().find("ETag");
    return found == response.headers().end() ? std::string() : found->second;
}

/// Starts a call whose continuations run on cpprest's threads and never block them.
void startCall(http_client& client, const web::http::http_request& request, const pplx::cancellation_token& token,
    const std::shared_ptr<std::promise<Outcome>>& promise)
{
    client.request(request, token)
        .then([](const http_response& response) {
            HttpAnswer answer { response.status_code(), {}, entityTagOf(response), retryAfterOf(response) };
            return response.extract_vector().then([answer](const std::vector<unsigned char>& body) mutable {
                answer.body.assign(body.begin(), body.end());
                return answer;
            });
        })
        .then([promise](const pplx::task<HttpAnswer>& ended) {
            Outcome outcome;
            try {
                outcome.answer = ended.get();
            } catch (const std::exception& exception) {
                outcome.failure = exception.what();
            }
            promise->set_value(std::move(outcome));
        });
}

} // namespace

HttpCalls::HttpCalls(const ObjectStoreSettings& settings, std::shared_ptr<framework::Metrics> metrics)
    : url_(settings.url)
    , callTimeout_(settings.callTimeout)
    , metrics_(std::move(metrics))
    , budget_(settings.callsPerSecond, settings.callBurst, framework::SystemClock().now())
    , calls_(web::uri(settings.url), clientConfig())
    , watches_(web::uri(settings.url), clientConfig())
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
    if (answer.status != status_codes::TooManyRequests && answer.status < status_codes::InternalError)
        return answer;
    countResult(call, answer.retryAfter ? "held_off" : "unavailable");
    return unavailable(call, answer);
}

Result<HttpAnswer> HttpCalls::waitForAnswer(const HttpCall& call, Deadline limit, const std::stop_token& stop)
{
    auto promise = std::make_shared<std::promise<Outcome>>();
    std::future<Outcome> future = promise->get_future();
    pplx::cancellation_token_source cancellation;
    startCall(call.wait == Milliseconds(0) ? calls_ : watches_, call.request, cancellation.get_token(), promise);
    const std::stop_callback cancelOnStop(stop, [&cancellation] { cancellation.cancel(); });
    const bool isAnswered = future.wait_until(limit.at()) == std::future_status::ready;
    std::string failure = "no answer in time";
    if (isAnswered) {
        Outcome outcome = future.get();
        if (outcome.failure.empty())
            return std::move(outcome.answer);
        failure = std::move(outcome.failure);
    } else {
        // The connection may be broken without an error. Cancelling closes it, so the next call gets a new one.
        cancellation.cancel();
    }
    countResult(call, isAnswered ? "broken" : "timeout");
    Error callError = error(call, ErrorCode::PlatformUnavailable, std::move(failure));
    if (call.effect == CallEffect::Write)
        callError.execution = Execution::Unknown;
    return callError;
}

Error HttpCalls::unavailable(const HttpCall& call, const HttpAnswer& answer) const
{
    Error refusal = error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    refusal.retryAfter = answer.retryAfter;
    // Only status 429 or 503 guarantees that the platform didn't execute the call.
    const bool isRefusal
        = answer.status == status_codes::TooManyRequests || answer.status == status_codes::ServiceUnavailable;
    if (call.effect == CallEffect::Write && !isRefusal)
        refusal.execution = Execution::Unknown;
    return refusal;
}

} // namespace lagoon::objectstore
