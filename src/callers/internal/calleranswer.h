#pragma once

#include "callers/icaller.h"
#include "framework/eventthread.h"
#include "framework/metrics.h"
#include "http/iexchange.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace lagoon::callers {

/// Observes the progress of one answer. Each function is called at most once.
class IAnswerObserver {
public:
    virtual ~IAnswerObserver() = default;
    /// The answer has started, or the request was refused, or its caller has gone.
    virtual void didEndWaiting() = 0;
    /// The answer is complete or its caller has gone. This is the last event.
    virtual void didEndReply() = 0;
};

/// Data of the request and the server that an answer uses.
struct AnswerContext {
    framework::RequestName name;
    framework::SteadyTime receivedAt;
    std::size_t backlogBytes = 0;
    /// The thread on which the exchange is used.
    std::shared_ptr<framework::EventThread> thread;
    std::shared_ptr<IAnswerObserver> observer;
    std::shared_ptr<framework::Metrics> metrics;
};

/// The answer to one exchange. Each answer has one outcome, which is counted once in `lagoon_answers_total{result}`.
class CallerAnswer final : public ICallerAnswer, public std::enable_shared_from_this<CallerAnswer> {
public:
    /// Creates an answer and observes the caller's disconnect. Called on the exchange's thread.
    static std::shared_ptr<CallerAnswer> make(std::shared_ptr<http::IExchange>, AnswerContext);
    CallerAnswer(std::shared_ptr<http::IExchange>, AnswerContext);
    ~CallerAnswer() override;
    CallerAnswer(const CallerAnswer&) = delete;
    CallerAnswer& operator=(const CallerAnswer&) = delete;

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
    void refuseAs(unsigned status, const framework::Error&);

private:
    /// Transitions: Waiting -> Streaming -> Settled, or Waiting -> Settled.
    enum class Phase : std::uint8_t { Waiting, Streaming, Settled };

    void failDropped();
    void refuseLocked(const framework::Error&, std::uint32_t attempt, std::optional<unsigned> status);
    void breakOffLocked(const framework::Error&, const std::string& result);
    void settleLocked(const std::string& result);
    void endWith(std::function<void(http::IExchange&)> lastStep);
    void post(std::function<void()>);
    void sendPiece(const std::string& bytes);
    void breakOffAsSlow();
    void handleDisconnect();
    bool isBodyless(unsigned status) const { return isHead_ || status == 204 || status == 304; }

    AnswerContext context_;
    const bool isHead_;
    /// Used on the exchange's thread only; null once the answer has ended.
    std::shared_ptr<http::IExchange> exchange_;
    bool hasCallerDisconnected_ = false;

    std::mutex mutex_;
    Phase phase_ = Phase::Waiting;
    bool isCallerGone_ = false;
    std::function<void()> onCallerGone_;
    std::uint32_t attempt_ = 0;
    /// Passed to the exchange's thread, which hasn't sent them yet.
    std::size_t postedBytes_ = 0;
    /// An answer without a body, due to HEAD or its status, is sent only when it is known to be complete.
    std::optional<http::ResponseHead> bodylessHead_;
};

} // namespace lagoon::callers
