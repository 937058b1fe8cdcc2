#include "forwarding/internal/upstreamattempt.h"

#include "forwarding/internal/requestjob.h"
#include "framework/decisionlog.h"

namespace lagoon::forwarding {

namespace {

/// Answers that aren't streams are buffered until they are complete, so that a partial answer is never relayed. A few
/// servers that send bytes without end must not use up a router's memory.
constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024;

/// Whether the answer states its length, or comes in chunks.
bool isFramed(const http::ResponseHead& head)
{
    return head.headers.find("Content-Length") || head.headers.hasToken("Transfer-Encoding", "chunked");
}

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

} // namespace

UpstreamAttempt::UpstreamAttempt(std::weak_ptr<RequestJob> job, const IJobHost& host,
    std::unique_ptr<InFlightGuard> guard, std::shared_ptr<http::ClientConnection> connection)
    : job_(std::move(job))
    , dialect_(host.dialect())
    , guard_(std::move(guard))
    , connection_(std::move(connection))
    , bodyReservation_(host.budget(), http::ByteBudget::Use::Answer, guard_->upstream().facts.instance.value())
{
}

void UpstreamAttempt::send(const http::Request& request) { connection_->send(request, shared_from_this()); }

void UpstreamAttempt::abandon()
{
    job_.reset();
    trial_.reset();
    connection_->abandon();
}

bool UpstreamAttempt::relaysEvents(const RequestJob& job) const
{
    return answerClass_ == AnswerClass::Served && job.spec().route->kind == catalog::RouteKind::Streaming;
}

void UpstreamAttempt::willSend()
{
    const auto job = job_.lock();
    if (!job)
        return;
    job->runGuarded([&] {
        if (!job->endIfCallerDisconnected() && !job->holdIfSuspected())
            job->failOverIfServerRefuses();
    });
}

bool UpstreamAttempt::didReceiveHead(const http::ResponseHead& head)
{
    bool isAccepted = true;
    if (const auto job = job_.lock())
        job->runGuarded([&] { isAccepted = acceptHead(*job, head); });
    return isAccepted;
}

/// Prevents a second run: over a connection that was used before, an answer that names no request may be a duplicate of
/// an earlier one, which says nothing about this request.
AnswerClass UpstreamAttempt::classify(const RequestJob& job, const http::ResponseHead& head) const
{
    if (connection_->isReused() && !dialect_.namesRequest(head))
        return AnswerClass::Unverified;
    return dialect_.classify(head, job.spec().facts, guard_->upstream().facts.instance);
}

bool UpstreamAttempt::acceptHead(RequestJob& job, const http::ResponseHead& head)
{
    job.didSeeActivity(guard_->upstream());
    job.didSeeAnswer(guard_->upstream());
    answerClass_ = classify(job, head);
    job.didReceiveHead(guard_->upstream(), head, answerClass_);
    if (answerClass_ == AnswerClass::Mismatched) {
        logDecision(framework::LogLine("foreign_answer_dropped")
                        .text("id", job.spec().facts.attempt)
                        .text("server", guard_->upstream().facts.instance.value())
                        .number("status", head.status));
        return false;
    }
    head_ = head;
    if (relaysEvents(job))
        job.didBeginStream(head);
    return true;
}

void UpstreamAttempt::didReceiveBody(std::string_view piece)
{
    if (const auto job = job_.lock())
        job->runGuarded([&] { takeBody(*job, piece); });
}

void UpstreamAttempt::takeBody(RequestJob& job, std::string_view piece)
{
    job.didSeeActivity(guard_->upstream());
    if (relaysEvents(job))
        return job.didReceiveEvents(piece);
    const bool fits = bodyReservation_.grow(piece.size());
    if (fits && body_.size() + piece.size() <= maxAnswerBytes) {
        body_.append(piece);
        return;
    }
    abandon();
    job.didEndWithoutAnswer(fits ? "answer too large to be kept" : "no memory for the answer", true);
}

void UpstreamAttempt::didFinish()
{
    if (const auto job = job_.lock())
        job->runGuarded([&] { reportAnswer(*job); });
}

void UpstreamAttempt::reportAnswer(RequestJob& job)
{
    switch (answerClass_) {
    case AnswerClass::Served:
        guard_->upstream().outlierDetector.didServe();
        return relaysEvents(job) ? job.didEndStream(isFramed(head_)) : job.didAnswer(head_, std::move(body_));
    case AnswerClass::Failed:
        return job.didFailAtServer(head_, std::move(body_));
    case AnswerClass::NotRun:
    case AnswerClass::NotLoaded:
    case AnswerClass::OtherInstance:
        return job.didReject(answerClass_, head_.status);
    case AnswerClass::Unverified:
    case AnswerClass::Mismatched:
        return job.didEndWithoutAnswer(
            isSuccess(head_.status) ? "success without the server's mark" : "not the answer to this request", true);
    }
}

void UpstreamAttempt::didFail(const http::ClientFailure& failure)
{
    if (const auto job = job_.lock())
        job->runGuarded([&] { job->didLoseConnection(failure); });
}

} // namespace lagoon::forwarding
