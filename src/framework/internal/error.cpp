#include "framework/types/error.h"

namespace lagoon::framework {

std::string_view errorCodeText(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return "bad_request";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::UnknownModel:
        return "unknown_model";
    case ErrorCode::UnknownAdapter:
        return "unknown_adapter";
    case ErrorCode::UnknownService:
        return "unknown_service";
    case ErrorCode::DuplicateKey:
        return "duplicate_key";
    case ErrorCode::CallerGone:
        return "caller_gone";
    case ErrorCode::TooManyWaiting:
        return "too_many_waiting";
    case ErrorCode::DeadlineHopeless:
        return "deadline_hopeless";
    case ErrorCode::DeadlinePassed:
        return "deadline_passed";
    case ErrorCode::NoCapacity:
        return "no_capacity";
    case ErrorCode::ReplicaCapReached:
        return "replica_cap_reached";
    case ErrorCode::MemoryShort:
        return "memory_short";
    case ErrorCode::NotLoaded:
        return "not_loaded";
    case ErrorCode::LoadFailed:
        return "load_failed";
    case ErrorCode::RetryBudgetSpent:
        return "retry_budget_spent";
    case ErrorCode::ShuttingDown:
        return "shutting_down";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::NotReady:
        return "not_ready";
    case ErrorCode::LinkLost:
        return "link_lost";
    case ErrorCode::AgentRestarted:
        return "agent_restarted";
    case ErrorCode::UpstreamFailed:
        return "upstream_failed";
    case ErrorCode::UpstreamBroken:
        return "upstream_broken";
    case ErrorCode::StaleIncarnation:
        return "stale_incarnation";
    case ErrorCode::StaleSession:
        return "stale_session";
    case ErrorCode::BelowFloor:
        return "below_floor";
    case ErrorCode::Fenced:
        return "fenced";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::PlatformConflict:
        return "platform_conflict";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::BadFrame:
        return "bad_frame";
    case ErrorCode::BadSettings:
        return "bad_settings";
    case ErrorCode::BadBundle:
        return "bad_bundle";
    case ErrorCode::BadObject:
        return "bad_object";
    case ErrorCode::Quarantined:
        return "quarantined";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string_view executionText(Execution execution) { return execution == Execution::NotRun ? "not_run" : "unknown"; }

std::string describe(const Error& error)
{
    std::string text = error.step;
    if (!error.peer.empty())
        text += " at " + error.peer;
    text += ": ";
    text += errorCodeText(error.code);
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

} // namespace lagoon::framework
