#include "forwarding/internal/requestlog.h"

#include "forwarding/internal/requestjob.h"

namespace lagoon::forwarding {

using framework::LogLine;

namespace {

constexpr std::size_t maxLoggedParts = 8;
constexpr std::size_t maxLoggedIdLength = 32;

void addCustomer(LogLine& line, const JobSpec& spec)
{
    if (spec.customer)
        line.text("customer", spec.customer->name.value());
}

/// Whether callers expect the answer to go on without long pauses.
bool hasMaxPause(const JobSpec& spec)
{
    return spec.route->kind == catalog::RouteKind::Streaming && spec.route->maxEventGap.count() > 0;
}

} // namespace

std::string sharedPartIds(const RequestFacts& facts)
{
    std::string ids;
    for (std::size_t index = 0; index + 1 < facts.prompt.size() && index < maxLoggedParts; ++index)
        ids += (ids.empty() ? "" : " ") + facts.prompt[index].id.substr(0, maxLoggedIdLength);
    return ids;
}

LogLine sentLine(const JobSpec& spec, const ChosenUpstream& chosen, std::uint32_t sends, framework::SteadyTime now)
{
    LogLine line("sent");
    line.text("id", spec.facts.attempt)
        .text("fingerprint", spec.identity.request.text())
        .text("route", spec.route->name.value())
        .number("configuration", spec.configuration->version.value())
        .number("send", sends)
        .text("server", chosen.upstream->facts.instance.value())
        .text("at", chosen.upstream->facts.endpoint.value())
        .number("candidates", chosen.candidates)
        .number("in_flight", chosen.upstream->inFlight)
        .number("left_ms", spec.deadline.remaining(now).count());
    addCustomer(line, spec);
    if (chosen.upstream->facts.version)
        line.text("version", chosen.upstream->facts.version->name());
    if (spec.facts.lastEvent)
        line.text("resumes", spec.facts.resumedAttempt).number("last_event", *spec.facts.lastEvent);
    if (!spec.facts.model.value().empty())
        line.text("model", spec.facts.model.value())
            .text("adapter", spec.facts.adapter.value())
            .text("parts", sharedPartIds(spec.facts))
            .number("new_tokens", chosen.newTokens)
            .number("expected_ms", chosen.expected.count());
    if (chosen.stateAge)
        line.number("state_age_ms", chosen.stateAge->count());
    if (chosen.listAge)
        line.number("list_age_ms", chosen.listAge->count());
    return line;
}

LogLine takenUpLine(const JobSpec& spec, const streams::OriginAnswer& answer, const char* outcome)
{
    const auto& origin = answer.origin;
    LogLine line("stream_taken_up");
    line.text("id", spec.facts.attempt)
        .text("route", spec.route->name.value())
        .text("resumes", spec.facts.resumedAttempt)
        .number("last_event", spec.facts.lastEvent.value_or(0))
        .text("service", origin ? origin->service.value() : "")
        .text("version", origin ? origin->version.name() : "")
        .text("known_from", answer.source)
        .number("age_ms", answer.age.count())
        .text("outcome", outcome);
    return line;
}

LogLine endedLine(const JobSpec& spec, const RequestEnd& end)
{
    LogLine line("ended");
    line.text("id", spec.facts.attempt)
        .text("route", spec.route->name.value())
        .text("service", spec.service.value())
        .text("outcome", end.outcome)
        .number("status", end.status)
        .number("sends", end.sends)
        .text("server", end.server)
        .number("total_ms", end.total.count());
    addCustomer(line, spec);
    if (end.untilFirstByte)
        line.number("first_ms", end.untilFirstByte->count());
    if (end.untilFirstByte && hasMaxPause(spec))
        line.number("longest_pause_ms", end.pause.count())
            .number("pause_at_ms", end.untilPause.count())
            .number("max_pause_ms", spec.route->maxEventGap.count());
    if (!spec.facts.model.value().empty())
        line.text("model", spec.facts.model.value()).text("adapter", spec.facts.adapter.value());
    if (!end.cause.empty())
        line.text("cause", end.cause);
    return line;
}

bool hasPausedTooLong(const JobSpec& spec, const RequestEnd& end)
{
    return hasMaxPause(spec) && end.pause > spec.route->maxEventGap;
}

void countEnded(framework::Metrics& metrics, const JobSpec& spec, const RequestEnd& end)
{
    const std::string service = spec.service.value();
    metrics.count("lagoon_forwarded_total", { { "service", service }, { "outcome", end.outcome } });
    if (end.untilFirstByte)
        metrics.observeSeconds("lagoon_forwarded_first_byte_seconds",
            static_cast<double>(end.untilFirstByte->count()) / 1000.0, { { "service", service } });
    if (hasPausedTooLong(spec, end))
        metrics.count("lagoon_streams_paused_total", { { "service", service } });
}

} // namespace lagoon::forwarding
