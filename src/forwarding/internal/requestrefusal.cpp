// How RequestJob refuses a request: the status, the cause and when its caller may come back.
#include "forwarding/internal/requestjob.h"
#include "forwarding/internal/retryafter.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

} // namespace

/// The Retry-After of a request that its servers didn't serve.
Milliseconds RequestJob::retryAfterFailure() const
{
    const auto until = restEnd(host_, spec_);
    if (!until)
        return jittered(minRetryAfter);
    const Milliseconds rest = until->remaining(host_.now());
    return std::max(minRetryAfter, rest) + jitter(rest);
}

/// Ends the request with this system's own answer. Prevents a false statement to the caller: a status that means "not
/// run" is sent only if no server may have run the request.
void RequestJob::refuse(unsigned status, const std::string& cause, std::optional<Milliseconds> retryAfter)
{
    if (timing_.hasBegun())
        return breakOff(cause);
    // A server's own failure tells the caller more than that no other server succeeded.
    if (failure_)
        return relayAnswer(failure_->head, std::move(failure_->body), "failed_by_server");
    const unsigned reportedStatus = mayHaveRun_ && status == 503 ? 502 : status;
    const bool mayComeBack = reportedStatus == 503 || reportedStatus == 429;
    exchange_->answer(host_.dialect().refusal(reportedStatus, mayComeBack ? retryAfter : std::nullopt), {});
    end("refused", reportedStatus, cause);
}

void RequestJob::refuseAsHopeless(Milliseconds timeUntilLoaded)
{
    if (heldBack_ && heldBack_->until.remaining(host_.now()) < timeUntilLoaded)
        return refuseAsHeldBack();
    // During shutdown the request can wait for the same load at another router, so the caller should retry at once.
    refuse(503, "model not there before the deadline, soonest in " + std::to_string(timeUntilLoaded.count()) + " ms",
        jittered(isCutByShutdown_ ? minRetryAfter : std::max(minRetryAfter, timeUntilLoaded)));
}

void RequestJob::refuseAsOverloaded(Milliseconds expected)
{
    const Milliseconds tooLong = expected - spec_.route->targetLatency;
    refuse(503, "engines overloaded, first event expected in " + std::to_string(expected.count()) + " ms",
        jittered(std::max(minRetryAfter, tooLong)));
}

/// The Retry-After is when a server is expected to take a request again.
void RequestJob::refuseAsHeldBack()
{
    const Milliseconds wait = heldBack_->until.remaining(host_.now());
    const bool isRest = heldBack_->reason == NoUpstream::Resting;
    host_.metrics().count(isRest ? "lagoon_rest_refusals_total" : "lagoon_rate_limited_refusals_total",
        { { "service", spec_.service.value() } });
    const std::string cause = isRest ? "servers rest, next in " : "servers limit their requests, next in ";
    refuse(503, cause + std::to_string(wait.count()) + " ms", std::max(minRetryAfter, wait) + jitter(wait));
}

/// Refuses a stream with which only servers of one version may go on, if none of these can.
void RequestJob::refuseForVersion()
{
    const std::string version = required_->version ? "version " + required_->version->name() : "the unknown version";
    host_.metrics().count("lagoon_streams_without_version_total", { { "service", spec_.service.value() } });
    refuse(503, "no server of " + version + " has the model or can load it in time", jittered(minRetryAfter));
}

/// The Retry-After is the rest of the quarantine: no router serves the request before.
void RequestJob::refuseAsQuarantined()
{
    const auto verdict = host_.quarantine().verdict(spec_.identity);
    const quarantine::Standing standing = verdict ? verdict->standing : quarantine::Standing();
    const quarantine::RequestFingerprint suspect = verdict ? verdict->request : spec_.identity.request;
    host_.metrics().count("lagoon_quarantine_refusals_total", { { "service", spec_.service.value() } });
    refuse(503,
        "quarantined as " + suspect.text() + (suspect == spec_.identity.request ? "" : ", a part of its prompt,")
            + " after " + std::to_string(standing.crashes) + " server crashes in succession",
        std::max(minRetryAfter, standing.until.remaining(host_.now())));
}

void RequestJob::refuseAsRevoked() { refuse(401, "key was taken away", std::nullopt); }

} // namespace lagoon::forwarding
