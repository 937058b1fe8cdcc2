#pragma once

#include "callers/icaller.h"
#include "callers/types/callerlimits.h"
#include "framework/metrics.h"
#include "http/bytebudget.h"

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

/// Observes the progress of one answer. Each function is called at most once.
class IAnswerObserver {
public:
    virtual ~IAnswerObserver() = default;
    /// The answer has started, or the request was refused.
    virtual void didEndWaiting() = 0;
    /// The reply was sent completely or failed, or its sending is not waited for. This is the last event.
    virtual void didEndReply() = 0;
    /// Called instead of `didEndReply` for a refusal that can only be sent after the rest of its request's body has
    /// arrived. The request's slot is free from now on.
    virtual void didDeferReply() = 0;
    /// A deferred refusal was sent or failed.
    virtual void didEndDeferredReply() = 0;
};

/// Data of the request and the server that an answer uses.
struct AnswerContext {
    framework::RequestName name;
    framework::SteadyTime receivedAt;
    std::size_t backlogBytes = 0;
    /// Called when the answer is sent; returns whether its connection is closed afterwards.
    std::function<bool()> closesConnection;
    /// Held for the lifetime of the answer.
    std::shared_ptr<http::ByteReservation> body;
    std::shared_ptr<IAnswerObserver> observer;
    std::shared_ptr<framework::Metrics> metrics;
};

/// An answer that is sent as a cpprest reply. Each answer has one outcome, which is counted once in
/// `lagoon_answers_total{result}`. The object lives until the reply was sent or has failed.
class CallerAnswer final : public ICallerAnswer, public std::enable_shared_from_this<CallerAnswer> {
public:
    CallerAnswer(web::http::http_request, AnswerContext);

    /// Returns the pointer for a dispatcher. If the dispatcher drops its last copy without an outcome, which is a
    /// defect, the caller immediately receives an error with execution `unknown` and does not wait in vain.
    std::shared_ptr<ICallerAnswer> guarded();

    void begin(unsigned short status, const HttpHeaders&, std::uint32_t attempt) override;
    void write(std::string bytes) override;
    void finish() override;
    void breakOff(const framework::Error&) override;
    void refuse(const framework::Error&, std::uint32_t attempt) override;
    void onCallerGone(std::function<void()>) override;

    /// Refuses a request that was not dispatched, with another HTTP status than the default of its error code.
    void refuseAs(unsigned short status, const framework::Error&);
    /// Marks the request's body as discarded: the connection is closed after the answer, which is sent only after the
    /// whole body has arrived (see `discardBody`). The request's slot is therefore freed as soon as it is refused.
    /// Otherwise callers that announce a body and never send it would occupy all slots, and a graceful shutdown would
    /// never finish.
    void abandonConnection();

private:
    /// Transitions: Waiting -> Streaming -> Settled, or Waiting -> Settled.
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
    /// An answer without a body, due to HEAD or its status, is sent only when it is known to be complete.
    std::optional<web::http::http_response> bodylessResponse_;
};

} // namespace lagoon::callers
