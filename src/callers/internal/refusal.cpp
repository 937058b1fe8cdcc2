#include "callers/internal/refusal.h"

#include <cpprest/json.h>
#include <string>

namespace lagoon::callers {

using framework::Error;
using framework::ErrorCode;
using web::json::value;

namespace {

/// Callers and load balancers retry automatically after a 503. A request that is refused because its process shuts down
/// therefore receives a 503 only if it is certain that it did not run.
unsigned statusFor(const Error& error)
{
    const bool isProcessEnd = error.code == ErrorCode::ShuttingDown || error.code == ErrorCode::Draining;
    if (isProcessEnd && error.execution == framework::Execution::Unknown)
        return 502;
    return statusOf(error.code);
}

using Fields = std::vector<std::pair<std::string, value>>;

std::string messageOf(const Error& error)
{
    return error.detail.empty() ? std::string(framework::errorCodeText(error.code)) : error.detail;
}

value retryAfterOf(const Error& error)
{
    return error.retryAfter ? value::number(static_cast<std::int64_t>(error.retryAfter->count())) : value::null();
}

value jsonOf(const Error& error, const framework::RequestName& request, std::uint32_t attempt)
{
    Fields fields;
    fields.emplace_back("code", value::string(std::string(framework::errorCodeText(error.code))));
    fields.emplace_back("message", value::string(messageOf(error)));
    fields.emplace_back("execution", value::string(std::string(framework::executionText(error.execution))));
    fields.emplace_back("step", value::string(error.step));
    fields.emplace_back("peer", value::string(error.peer));
    fields.emplace_back("request", value::string(request.value()));
    fields.emplace_back("attempt", value::number(attempt));
    fields.emplace_back("retry_after_ms", retryAfterOf(error));
    return value::object({ { "error", value::object(std::move(fields), true) } }, true);
}

} // namespace

unsigned statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return 400;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownAdapter:
    case ErrorCode::UnknownService:
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::DuplicateKey:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::TooManyWaiting:
        return 429;
    case ErrorCode::LinkLost:
    case ErrorCode::AgentRestarted:
    case ErrorCode::UpstreamFailed:
    case ErrorCode::UpstreamBroken:
    case ErrorCode::StaleIncarnation:
    case ErrorCode::StaleSession:
    case ErrorCode::BelowFloor:
    case ErrorCode::Fenced:
        return 502;
    case ErrorCode::DeadlinePassed:
        return 504;
    case ErrorCode::DeadlineHopeless:
    case ErrorCode::NoCapacity:
    case ErrorCode::ReplicaCapReached:
    case ErrorCode::MemoryShort:
    case ErrorCode::NotLoaded:
    case ErrorCode::LoadFailed:
    case ErrorCode::RetryBudgetSpent:
    case ErrorCode::Quarantined:
    case ErrorCode::ShuttingDown:
    case ErrorCode::Draining:
    case ErrorCode::NotReady:
    case ErrorCode::PlatformUnavailable:
    case ErrorCode::PlatformConflict:
        return 503;
    case ErrorCode::CallerGone:
    case ErrorCode::BadFrame:
    case ErrorCode::BadSettings:
    case ErrorCode::BadBundle:
    case ErrorCode::BadObject:
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

http::Response refusalResponse(
    const Error& error, const framework::RequestName& request, std::uint32_t attempt, std::optional<unsigned> status)
{
    http::Response response { { status.value_or(statusFor(error)), {}, {} },
        jsonOf(error, request, attempt).serialize() };
    http::Headers& headers = response.head.headers;
    headers.add("Content-Type", "application/json");
    if (error.retryAfter)
        headers.add("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count()));
    headers.add(requestHeader, request.value());
    if (attempt > 0)
        headers.add(attemptHeader, std::to_string(attempt));
    return response;
}

} // namespace lagoon::callers
