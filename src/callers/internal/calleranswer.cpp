#include "callers/internal/calleranswer.h"

#include "callers/internal/refusal.h"
#include "callers/internal/requestheaders.h"

#include <utility>

namespace lagoon::callers {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;

namespace {

double secondsSince(framework::SteadyTime start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace

std::shared_ptr<CallerAnswer> CallerAnswer::make(std::shared_ptr<http::IExchange> exchange, AnswerContext context)
{
    auto answer = std::make_shared<CallerAnswer>(std::move(exchange), std::move(context));
    answer->exchange_->setDisconnectHandler([weak = std::weak_ptr(answer)] {
        if (const auto self = weak.lock())
            self->handleDisconnect();
    });
    return answer;
}

CallerAnswer::CallerAnswer(std::shared_ptr<http::IExchange> exchange, AnswerContext context)
    : context_(std::move(context))
    , isHead_(exchange->request().method == "HEAD")
    , exchange_(std::move(exchange))
{
}

CallerAnswer::~CallerAnswer()
{
    if (exchange_)
        context_.thread->post([exchange = std::move(exchange_)] {});
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

    http::ResponseHead head { status, {}, {} };
    for (const auto& [name, value] : headers) {
        if (isEndToEndHeader(name))
            head.headers.add(name, value);
    }
    head.headers.add(requestHeader, context_.name.value());
    if (attempt > 0)
        head.headers.add(attemptHeader, std::to_string(attempt));
    if (isBodyless(status)) {
        bodylessHead_ = std::move(head);
        return;
    }
    post([self = shared_from_this(), head = std::move(head)] {
        if (self->exchange_)
            self->exchange_->beginAnswer(head);
    });
}

void CallerAnswer::write(std::string bytes)
{
    std::function<void()> onGone;
    {
        const std::lock_guard lock(mutex_);
        if (phase_ != Phase::Streaming || bodylessHead_ || bytes.empty())
            return;
        if (postedBytes_ + bytes.size() <= context_.backlogBytes) {
            postedBytes_ += bytes.size();
            post([self = shared_from_this(), bytes = std::move(bytes)] { self->sendPiece(bytes); });
            return;
        }
        onGone = std::move(onCallerGone_);
        breakOffLocked({ ErrorCode::CallerGone, "send answer", "", "the caller reads too slowly" }, "caller_slow");
    }
    if (onGone)
        onGone();
}

/// Limits the memory for a caller that stops reading without disconnecting.
void CallerAnswer::sendPiece(const std::string& bytes)
{
    {
        const std::lock_guard lock(mutex_);
        postedBytes_ -= bytes.size();
    }
    if (!exchange_)
        return;
    if (exchange_->unsentBytes() + bytes.size() > context_.backlogBytes)
        return breakOffAsSlow();
    exchange_->sendPiece(bytes);
}

void CallerAnswer::breakOffAsSlow()
{
    std::function<void()> onGone;
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == Phase::Streaming) {
            onGone = std::move(onCallerGone_);
            breakOffLocked({ ErrorCode::CallerGone, "send answer", "", "the caller reads too slowly" }, "caller_slow");
        }
    }
    // An answer that was finished meanwhile isn't whole without this piece.
    if (const auto exchange = exchange_)
        exchange->breakOff();
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
    if (bodylessHead_)
        endWith([head = *bodylessHead_](http::IExchange& exchange) { exchange.answer(head, {}); });
    else
        endWith([](http::IExchange& exchange) { exchange.endAnswer(); });
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

void CallerAnswer::refuseAs(unsigned status, const Error& error)
{
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::Waiting)
        refuseLocked(error, 0, status);
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

void CallerAnswer::refuseLocked(const Error& error, std::uint32_t attempt, std::optional<unsigned> status)
{
    context_.observer->didEndWaiting();
    attempt_ = attempt;
    settleLocked("refused");
    context_.metrics->count("lagoon_refusals_total",
        { { "code", std::string(framework::errorCodeText(error.code)) },
            { "execution", std::string(framework::executionText(error.execution)) } });
    endWith([response = refusalResponse(error, context_.name, attempt, status)](
                http::IExchange& exchange) { exchange.answer(response.head, response.body); });
}

void CallerAnswer::breakOffLocked(const Error& error, const std::string& result)
{
    settleLocked(result);
    context_.metrics->count(
        "lagoon_break_offs_total", { { "code", std::string(framework::errorCodeText(error.code)) } });
    if (!bodylessHead_)
        return endWith([](http::IExchange& exchange) { exchange.breakOff(); });
    endWith([response = refusalResponse(error, context_.name, attempt_, std::nullopt)](
                http::IExchange& exchange) { exchange.answer(response.head, response.body); });
}

void CallerAnswer::settleLocked(const std::string& result)
{
    phase_ = Phase::Settled;
    onCallerGone_ = nullptr;
    context_.metrics->count("lagoon_answers_total", { { "result", result } });
}

void CallerAnswer::endWith(std::function<void(http::IExchange&)> lastStep)
{
    post([self = shared_from_this(), lastStep = std::move(lastStep)] {
        if (const auto exchange = std::exchange(self->exchange_, nullptr))
            lastStep(*exchange);
        if (self->hasCallerDisconnected_)
            self->context_.metrics->count("lagoon_replies_undelivered_total");
        self->context_.observer->didEndReply();
    });
}

void CallerAnswer::post(std::function<void()> action) { context_.thread->post(std::move(action)); }

void CallerAnswer::handleDisconnect()
{
    std::function<void()> onGone;
    {
        const std::lock_guard lock(mutex_);
        hasCallerDisconnected_ = true;
        if (phase_ == Phase::Settled)
            return;
        if (phase_ == Phase::Waiting)
            context_.observer->didEndWaiting();
        isCallerGone_ = true;
        onGone = std::move(onCallerGone_);
        settleLocked("caller_gone");
        exchange_.reset();
    }
    context_.observer->didEndReply();
    if (onGone)
        onGone();
}

} // namespace lagoon::callers
