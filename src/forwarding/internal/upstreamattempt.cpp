#include "forwarding/internal/upstreamattempt.h"

#include "forwarding/internal/requestjob.h"
#include "framework/decisionlog.h"

namespace lagoon::forwarding {

namespace {

/// Answers that aren't streams are kept until they are whole, so that half of one is never passed on.
constexpr std::size_t mostAnswerBytes = 64 * 1024 * 1024;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

} // namespace

UpstreamAttempt::UpstreamAttempt(std::weak_ptr<RequestJob> job, const IRequestDialect& dialect,
    std::unique_ptr<UpstreamUse> use, std::shared_ptr<http::ClientConnection> connection)
    : job_(std::move(job))
    , dialect_(dialect)
    , use_(std::move(use))
    , connection_(std::move(connection))
{
}

void UpstreamAttempt::send(const http::Request& request) { connection_->send(request, shared_from_this()); }

void UpstreamAttempt::abandon()
{
    job_.reset();
    connection_->abandon();
}

bool UpstreamAttempt::passesEvents(const RequestJob& job) const
{
    return meaning_ == AnswerMeaning::Served && job.terms().route->kind == catalog::RouteKind::Streaming;
}

void UpstreamAttempt::willSend()
{
    const auto job = job_.lock();
    if (job && !job->endIfCallerLeft())
        job->goElsewhereIfServerLeft();
}

bool UpstreamAttempt::didReceiveHead(const http::ResponseHead& head)
{
    const auto job = job_.lock();
    if (!job)
        return true;
    job->didHear(use_->upstream());
    meaning_ = dialect_.meaning(head, job->terms().facts, use_->upstream().facts.instance);
    if (meaning_ == AnswerMeaning::Foreign) {
        logDecision(framework::LogLine("foreign_answer_dropped")
                        .text("id", job->terms().facts.attempt)
                        .text("server", use_->upstream().facts.instance.value())
                        .number("status", head.status));
        return false;
    }
    head_ = head;
    if (passesEvents(*job))
        job->didBeginStream(head);
    return true;
}

void UpstreamAttempt::didReceiveBody(std::string_view piece)
{
    const auto job = job_.lock();
    if (!job)
        return;
    job->didHear(use_->upstream());
    if (passesEvents(*job))
        return job->didReceiveEvents(piece);
    body_.append(piece);
    if (body_.size() <= mostAnswerBytes)
        return;
    abandon();
    job->didBreak("answer too large to be kept", true);
}

void UpstreamAttempt::didFinish()
{
    const auto job = job_.lock();
    if (!job)
        return;
    switch (meaning_) {
    case AnswerMeaning::Served:
        use_->upstream().suspicion.didServe();
        return passesEvents(*job) ? job->didEndStream() : job->didAnswer(head_, std::move(body_));
    case AnswerMeaning::Failed:
        return job->didFailAtServer(head_, std::move(body_));
    case AnswerMeaning::NotRun:
    case AnswerMeaning::NotLoaded:
    case AnswerMeaning::OtherInstance:
        return job->didReject(meaning_, head_.status);
    case AnswerMeaning::Unproved:
    case AnswerMeaning::Foreign:
        return job->didBreak(
            isSuccess(head_.status) ? "success without the server's mark" : "not the answer to this request", true);
    }
}

void UpstreamAttempt::didFail(const http::ClientFailure& failure)
{
    if (const auto job = job_.lock())
        job->didBreak(std::string(http::clientStepText(failure.step)) + ": " + failure.detail, failure.mayHaveArrived);
}

} // namespace lagoon::forwarding
