// How RequestJob keeps a stream at the software that began it, also when its caller takes it up at another router.
#include "forwarding/internal/requestjob.h"
#include "forwarding/internal/requestlog.h"
#include "forwarding/internal/retryafter.h"
#include "framework/decisionlog.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// Records of a stream's origin are kept for this time beyond the caller's deadline, as clocks and networks differ.
constexpr Milliseconds recordSlack { 1000 };

bool isRoutedTo(const catalog::Route& route, const framework::ServiceName& service)
{
    return std::any_of(route.targets.begin(), route.targets.end(),
        [&](const catalog::RouteTarget& target) { return target.service == service; });
}

} // namespace

/// Finds out which software began the stream that the caller takes up: only that may go on with it.
void RequestJob::findOrigin()
{
    if (spec_.facts.resumedAttempt.empty())
        return didFindOrigin({});
    awaitsOrigin_ = true;
    const auto attempt = streams::AttemptKey::of(spec_.facts.caller, spec_.facts.resumedAttempt);
    host_.origins().find(attempt, [weak = weak_from_this()](const streams::OriginAnswer& answer) {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->didFindOrigin(answer); });
    });
}

void RequestJob::didFindOrigin(const streams::OriginAnswer& answer)
{
    if (isEnded_)
        return;
    const auto keepAlive = shared_from_this();
    awaitsOrigin_ = false;
    const auto& origin = answer.origin;
    const char* const outcome = takeUpOutcome(origin);
    logDecision(takenUpLine(spec_, answer, outcome));
    host_.metrics().count("lagoon_streams_taken_up_total",
        { { "service", origin ? origin->service.value() : spec_.service.value() }, { "outcome", outcome } });
    if (!origin)
        return refuse(503, "not known which version began the stream", jittered(minRetryAfter));
    if (!isRoutedTo(*spec_.route, origin->service))
        return refuse(503, "the route doesn't lead to the service that began the stream", jittered(minRetryAfter));
    spec_.service = origin->service;
    required_ = RequiredVersion { origin->version };
    advance();
}

const char* RequestJob::takeUpOutcome(const std::optional<streams::StreamOrigin>& origin) const
{
    if (!origin)
        return "unknown";
    return isRoutedTo(*spec_.route, origin->service) ? "recorded" : "other_service";
}

std::optional<streams::StreamOrigin> RequestJob::originAt(const UpstreamRecord& server) const
{
    const auto version = host_.upstreams().softwareVersion(server, host_.now());
    return version ? std::optional(streams::StreamOrigin { spec_.service, *version }) : std::nullopt;
}

streams::DispatchRecord RequestJob::nextRecord(std::optional<streams::StreamOrigin> origin)
{
    const Milliseconds callerTimeout
        = std::min(streams::maxRecordAge, spec_.facts.timeLeft.value_or(spec_.route->timeout));
    return { streams::AttemptKey::of(spec_.facts.caller, spec_.facts.attempt), ++originRecords_, std::move(origin),
        host_.now(), framework::Deadline::after(exchange_->receivedAt(), callerTimeout + recordSlack) };
}

/// Lets the caller take the stream up at any router.
void RequestJob::recordOrigin(const std::optional<streams::StreamOrigin>& origin)
{
    if (!isStream() || !spec_.route->isResumable || recordedOrigin_ == origin)
        return;
    recordedOrigin_ = origin;
    host_.origins().record(nextRecord(origin));
}

/// Takes back what the other routers may know before the request is sent to other software. Prevents the stream from
/// being taken up at a version that has sent none of its events, if the later record is lost.
void RequestJob::retractOrigin()
{
    awaitsOrigin_ = true;
    waitsForLoad_ = false;
    host_.origins().retract(nextRecord(std::nullopt), [weak = weak_from_this()](bool isConfirmed) {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->didRetractOrigin(isConfirmed); });
    });
}

void RequestJob::didRetractOrigin(bool isConfirmed)
{
    if (isEnded_)
        return;
    awaitsOrigin_ = false;
    // Where the record may still be kept, it has to stay true. Others may have dropped it, so it is sent again.
    if (!isConfirmed)
        required_ = RequiredVersion { recordedOrigin_->version };
    recordedOrigin_.reset();
    advance();
}

} // namespace lagoon::forwarding
