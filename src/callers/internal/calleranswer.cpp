#include "callers/internal/calleranswer.h"

#include "callers/internal/refusal.h"
#include "callers/internal/requestheaders.h"

#include <stdexcept>

namespace lagoon::callers {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using web::http::http_response;

namespace {

constexpr const char* requestHeader = "X-Lagoon-Request";
constexpr const char* attemptHeader = "X-Lagoon-Attempt";

double secondsSince(framework::SteadyTime start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace

CallerAnswer::CallerAnswer(web::http::http_request request, AnswerContext context)
    : request_(std::move(request))
    , context_(std::move(context))
{
}

std::shared_ptr<ICallerAnswer> CallerAnswer::guarded()
{
    return { this, [self = shared_from_this()](ICallerAnswer*) { self->failDropped(); } };
}

void CallerAnswer::begin(unsigned short status, const HttpHeaders& headers, std::uint32_t attempt)
{
    const std::lock_guard lock(mutex_);
    if (phase_ != Phase::Waiting)
        return;
    phase_ = Phase::Streaming;
    attempt_ = attempt;
    context_.observer->didEndWaiting();
    context_.metrics->observeSeconds("lagoon_first_byte_seconds", secondsSince(context_.receivedAt));

    http_response response(status);
    for (const auto& [name, value] : headers) {
        if (isEndToEndHeader(name))
            response.headers().add(name, value);
    }
    if (isBodyless(status)) {
        bodylessResponse_ = response;
        return;
    }
    const std::string contentType = response.headers().content_type();
    response.set_body(body_.create_istream(), contentType);
    if (contentType.empty())
        response.headers().remove(web::http::header_names::content_type);
    send(response);
}

void CallerAnswer::write(std::string bytes)
{
    std::function<void()> onGone;
    {
        const std::lock_guard lock(mutex_);
        if (phase_ != Phase::Streaming || bodylessResponse_ || bytes.empty())
            return;
        // Limits the memory for a caller that stops reading without disconnecting.
        if (body_.in_avail() + bytes.size() > context_.backlogBytes) {
            onGone = std::move(onCallerGone_);
            breakOffLocked({ ErrorCode::CallerGone, "send answer", "", "the caller reads too slowly" }, "caller_slow");
        } else {
            body_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
            body_.sync();
        }
    }
    if (onGone)
        onGone();
}

void CallerAnswer::finish()
{
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::Settled)
        return;
    if (phase_ == Phase::Waiting) {
        refuseLocked(
            { ErrorCode::Internal, "finish answer", "", "it never began", Execution::Unknown }, 0, std::nullopt);
        return;
    }
    settleLocked("finished");
    if (bodylessResponse_)
        send(*bodylessResponse_);
    else
        body_.close(std::ios::out);
}

void CallerAnswer::breakOff(const Error& error)
{
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::Streaming)
        breakOffLocked(error, "broken_off");
    else if (phase_ == Phase::Waiting)
        refuseLocked(error, attempt_, std::nullopt);
}

void CallerAnswer::refuse(const Error& error, std::uint32_t attempt)
{
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::Streaming)
        breakOffLocked(error, "broken_off");
    else if (phase_ == Phase::Waiting)
        refuseLocked(error, attempt, std::nullopt);
}

void CallerAnswer::refuseAs(unsigned short status, const Error& error)
{
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::Waiting)
        refuseLocked(error, 0, status);
}

void CallerAnswer::abandonConnection()
{
    const std::lock_guard lock(mutex_);
    isConnectionAbandoned_ = true;
}

void CallerAnswer::onCallerGone(std::function<void()> action)
{
    {
        const std::lock_guard lock(mutex_);
        if (!isCallerGone_) {
            if (phase_ != Phase::Settled)
                onCallerGone_ = std::move(action);
            return;
        }
    }
    action();
}

void CallerAnswer::failDropped()
{
    breakOff({ ErrorCode::Internal, "answer", "", "the request was dropped", Execution::Unknown });
}

void CallerAnswer::refuseLocked(const Error& error, std::uint32_t attempt, std::optional<unsigned short> status)
{
    context_.observer->didEndWaiting();
    attempt_ = attempt;
    settleLocked("refused");
    context_.metrics->count("lagoon_refusals_total",
        { { "code", std::string(framework::errorCodeText(error.code)) },
            { "execution", std::string(framework::executionText(error.execution)) } });
    send(refusalResponse(error, context_.name, attempt, status));
    if (isConnectionAbandoned_)
        context_.observer->didDeferReply();
}

void CallerAnswer::breakOffLocked(const Error& error, const std::string& result)
{
    settleLocked(result);
    context_.metrics->count(
        "lagoon_break_offs_total", { { "code", std::string(framework::errorCodeText(error.code)) } });
    if (bodylessResponse_) {
        send(refusalResponse(error, context_.name, attempt_, std::nullopt));
        return;
    }
    // A normal close would end the chunked body as if it were complete; closing with an exception breaks the
    // connection.
    body_.close(std::ios::out, std::make_exception_ptr(std::runtime_error(framework::describe(error))));
}

void CallerAnswer::settleLocked(const std::string& result)
{
    phase_ = Phase::Settled;
    onCallerGone_ = nullptr;
    context_.metrics->count("lagoon_answers_total", { { "result", result } });
}

void CallerAnswer::send(http_response response)
{
    response.headers()[requestHeader] = context_.name.value();
    if (attempt_ > 0)
        response.headers()[attemptHeader] = std::to_string(attempt_);
    if (isConnectionAbandoned_ || context_.closesConnection())
        response.headers()["Connection"] = "close";
    request_.reply(response).then([self = shared_from_this()](const pplx::task<void>& reply) {
        bool didFail = false;
        try {
            reply.get();
        } catch (...) {
            didFail = true;
        }
        self->didEndReply(didFail);
    });
}

void CallerAnswer::didEndReply(bool didFail)
{
    std::function<void()> onGone;
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == Phase::Streaming) {
            isCallerGone_ = true;
            onGone = std::move(onCallerGone_);
            settleLocked("caller_gone");
        } else if (didFail) {
            context_.metrics->count("lagoon_replies_undelivered_total");
        }
    }
    if (onGone)
        onGone();
    if (isConnectionAbandoned_)
        context_.observer->didEndDeferredReply();
    else
        context_.observer->didEndReply();
}

bool CallerAnswer::isBodyless(unsigned short status) const
{
    return request_.method() == web::http::methods::HEAD || status == web::http::status_codes::NoContent
        || status == web::http::status_codes::NotModified;
}

} // namespace lagoon::callers
