#pragma once

#include "callers/icaller.h"
#include "callers/internal/bodybudget.h"
#include "callers/types/callerlimits.h"
#include "framework/metrics.h"

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

/// What the server hears of one answer, each once.
class IAnswerObserver {
public:
    virtual ~IAnswerObserver() = default;
    /// The request doesn't wait any more: its answer began or it was refused.
    virtual void didEndWaiting() = 0;
    /// The reply has left wholly or failed, or nobody waits for that; the last that happens.
    virtual void didEndReply() = 0;
    /// In place of `didEndReply`, for a refusal that leaves only with the rest of its request's body: its place is
    /// free.
    virtual void didDeferReply() = 0;
    /// Such a refusal has left or failed.
    virtual void didEndDeferredReply() = 0;
};

/// What an answer is made of.
struct AnswerContext {
    framework::RequestName name;
    framework::SteadyTime receivedAt;
    std::size_t backlogBytes = 0;
    /// Asked when the answer leaves: does its connection end with it?
    std::function<bool()> closesConnection;
    /// Kept as long as the answer.
    std::shared_ptr<BodyReservation> body;
    std::shared_ptr<IAnswerObserver> observer;
    std::shared_ptr<framework::Metrics> metrics;
};

/// A cpprest reply as one answer with one outcome, counted once in `lagoon_answers_total{result}`. Lives until the
/// reply has left or failed.
class CallerAnswer final : public ICallerAnswer, public std::enable_shared_from_this<CallerAnswer> {
public:
    CallerAnswer(web::http::http_request, AnswerContext);

    /// The answer for a dispatcher. Should it drop its last pointer without an outcome, which is a defect, the caller
    /// is told at once that what happened is unknown, in place of waiting for nothing.
    std::shared_ptr<ICallerAnswer> guarded();

    void begin(unsigned short status, const HttpHeaders&, std::uint32_t attempt) override;
    void write(std::string bytes) override;
    void finish() override;
    void breakOff(const framework::Error&) override;
    void refuse(const framework::Error&, std::uint32_t attempt) override;
    void onCallerGone(std::function<void()>) override;

    /// `refuse` of a request that wasn't dispatched, with another HTTP status than the code's own.
    void refuseAs(unsigned short status, const framework::Error&);
    /// The request's body isn't wanted any more: the connection ends with the answer, which leaves only
    /// after the body (see `discardBody`). So its place is free as soon as it is refused; else callers that announce a
    /// body and never send it would take all places, and a graceful shutdown would wait for them without end.
    void abandonConnection();

private:
    /// Waiting -> Streaming -> Settled, or Waiting -> Settled.
    enum class Phase : std::uint8_t { Waiting, Streaming, Settled };

    void failDropped();
    void refuseLocked(const framework::Error&, std::uint32_t attempt, std::optional<unsigned short> status);
    void breakOffLocked(const framework::Error&, const std::string& result);
    void settleLocked(const std::string& result);
    void send(web::http::http_response);
    void didEndReply(bool didFail);
    bool isBodyless(unsigned short status) const;

    web::http::http_request request_;
    AnswerContext context_;
    std::mutex mutex_;
    Phase phase_ = Phase::Waiting;
    bool isCallerGone_ = false;
    bool isConnectionAbandoned_ = false;
    std::function<void()> onCallerGone_;
    std::uint32_t attempt_ = 0;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> body_;
    /// An answer without a body (to HEAD, or by its status) leaves only once it is known to be whole.
    std::optional<web::http::http_response> bodylessResponse_;
};

} // namespace lagoon::callers
