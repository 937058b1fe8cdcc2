#include "quarantine/evidencewire.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace lagoon::quarantine {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

std::uint32_t ageOf(SteadyTime at, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

std::unique_ptr<wire::fb::ServerCrashT> toTable(const ServerCrash& crash, SteadyTime now)
{
    auto table = std::make_unique<wire::fb::ServerCrashT>();
    table->server = crash.server.value();
    table->ended_ms_ago = ageOf(crash.endedAt, now);
    table->is_confirmed = crash.isConfirmed;
    table->may_be_leaving = crash.mayBeLeaving;
    for (const auto& [request, sentAt] : crash.suspects) {
        auto suspect = std::make_unique<wire::fb::SuspectedRequestT>();
        suspect->fingerprint = bytesOf(request);
        suspect->sent_ms_ago = ageOf(sentAt, now);
        table->suspects.push_back(std::move(suspect));
    }
    return table;
}

ServerCrash fromTable(const wire::fb::ServerCrashT& table, SteadyTime now)
{
    ServerCrash crash { ServerRunId(table.server), now - Milliseconds(table.ended_ms_ago), table.is_confirmed,
        table.may_be_leaving, {} };
    for (const auto& suspect : table.suspects) {
        if (const auto request = fingerprintFrom(suspect->fingerprint))
            crash.suspects.emplace(*request, now - Milliseconds(suspect->sent_ms_ago));
    }
    return crash;
}

} // namespace

std::vector<std::uint8_t> bytesOf(const RequestFingerprint& request)
{
    return { request.bytes().begin(), request.bytes().end() };
}

std::optional<RequestFingerprint> fingerprintFrom(const std::vector<std::uint8_t>& bytes)
{
    if (bytes.size() != RequestFingerprint::size)
        return std::nullopt;
    RequestFingerprint::Bytes copy {};
    std::copy(bytes.begin(), bytes.end(), copy.begin());
    return RequestFingerprint(copy);
}

wire::Message toWire(const EvidenceUpdate& update, SteadyTime now)
{
    wire::fb::CrashEvidenceT body;
    for (const ServerCrash& crash : update.crashes)
        body.crashes.push_back(toTable(crash, now));
    for (const Trial& trial : update.trials) {
        auto table = std::make_unique<wire::fb::RequestTrialT>();
        table->fingerprint = bytesOf(trial.request);
        table->id = trial.id;
        table->server = trial.server.value();
        table->started_ms_ago = ageOf(trial.startedAt, now);
        table->has_ended = trial.hasEnded;
        body.trials.push_back(std::move(table));
    }
    for (const Clearance& clearance : update.clearances) {
        auto table = std::make_unique<wire::fb::RequestClearanceT>();
        table->fingerprint = bytesOf(clearance.request);
        table->id = clearance.id;
        table->ms_ago = ageOf(clearance.at, now);
        table->reason = static_cast<std::uint8_t>(clearance.reason);
        table->server = clearance.server.value();
        body.clearances.push_back(std::move(table));
    }
    return wire::message(std::move(body));
}

EvidenceUpdate fromWire(const wire::fb::CrashEvidenceT& body, SteadyTime now)
{
    EvidenceUpdate update;
    for (const auto& crash : body.crashes) {
        if (!crash->server.empty())
            update.crashes.push_back(fromTable(*crash, now));
    }
    for (const auto& trial : body.trials) {
        if (const auto request = fingerprintFrom(trial->fingerprint))
            update.trials.push_back({ *request, trial->id, ServerRunId(trial->server),
                now - Milliseconds(trial->started_ms_ago), trial->has_ended });
    }
    for (const auto& clearance : body.clearances) {
        const auto request = fingerprintFrom(clearance->fingerprint);
        if (!request)
            continue;
        const ClearanceReason reason = clearance->reason == static_cast<std::uint8_t>(ClearanceReason::Operator)
            ? ClearanceReason::Operator
            : ClearanceReason::Served;
        update.clearances.push_back(
            { *request, clearance->id, now - Milliseconds(clearance->ms_ago), reason, ServerRunId(clearance->server) });
    }
    return update;
}

} // namespace lagoon::quarantine
