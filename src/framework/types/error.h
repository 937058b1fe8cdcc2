#pragma once

#include "framework/types/time.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::framework {

/// What is known about whether a refused request was executed by its upstream.
enum class Execution : std::uint8_t {
    NotRun, ///< it was not, and never will be
    Unknown, ///< it may have been, wholly or in part
};

/// Why something was refused or failed. The text form (`errorCodeText`) is stable: it is what callers read in a
/// refusal's `code`, operators in the `code` label of counters.
enum class ErrorCode : std::uint8_t {
    // The caller's request.
    BadRequest,
    TooLarge,
    UnknownModel,
    UnknownAdapter,
    UnknownService,
    DuplicateKey,
    CallerGone,
    // Capacity and time.
    TooManyWaiting,
    DeadlineHopeless,
    DeadlinePassed,
    NoCapacity,
    ReplicaCapReached,
    MemoryShort,
    NotLoaded,
    LoadFailed,
    RetryBudgetSpent,
    // Life cycle.
    ShuttingDown,
    Draining,
    NotReady,
    // Links and upstreams.
    LinkLost,
    AgentRestarted,
    UpstreamFailed,
    UpstreamBroken,
    // The ledger's refusals of frames.
    StaleIncarnation,
    StaleSession,
    BelowFloor,
    Fenced,
    // The platform.
    PlatformUnavailable,
    PlatformConflict,
    NotFound,
    // Input that isn't a caller's.
    BadFrame,
    BadSettings,
    BadBundle,
    BadObject,
    // Everything else is a defect.
    Internal,
};

/// Number of values of ErrorCode, for checks at the wire.
inline constexpr std::uint8_t errorCodeCount = static_cast<std::uint8_t>(ErrorCode::Internal) + 1;

std::string_view errorCodeText(ErrorCode);
std::string_view executionText(Execution);

/// A failure with the step and the peer at which it arose.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    /// What was being done, such as `claim replica`.
    std::string step = {};
    /// The other side: an endpoint, a VM or a key. Empty when there is none.
    std::string peer = {};
    /// For people; its text is not stable.
    std::string detail = {};
    Execution execution = Execution::NotRun;
    /// When asking again makes sense, from now; empty when it never does.
    std::optional<Milliseconds> retryAfter = std::nullopt;
};

/// `step at peer: code: detail`, for logs and the command line.
std::string describe(const Error&);

/// A value or an Error. Observing the wrong one ends the process: it is a defect, not an outcome.
template <typename T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

} // namespace lagoon::framework
