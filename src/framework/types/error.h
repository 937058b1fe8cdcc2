#pragma once

#include "framework/types/time.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::framework {

/// Whether the upstream executed a request that was refused or failed.
enum class Execution : std::uint8_t {
    NotRun, ///< the request was not executed and never will be
    Unknown, ///< the request may have been executed, wholly or in part
};

/// Why something was refused or failed. The text form (`errorCodeText`) is stable: callers read it in the `code` of a
/// refusal, and operators in the `code` label of counters.
enum class ErrorCode : std::uint8_t {
    // Faults of the caller's request.
    BadRequest,
    TooLarge,
    UnknownModel,
    UnknownAdapter,
    UnknownService,
    DuplicateKey,
    CallerGone,
    // Lack of capacity or time.
    TooManyWaiting,
    DeadlineHopeless,
    DeadlinePassed,
    NoCapacity,
    ReplicaCapReached,
    MemoryShort,
    NotLoaded,
    LoadFailed,
    RetryBudgetSpent,
    // State of the process.
    ShuttingDown,
    Draining,
    NotReady,
    // Failures of links and upstreams.
    LinkLost,
    AgentRestarted,
    UpstreamFailed,
    UpstreamBroken,
    // Frames that the request ledger refuses.
    StaleIncarnation,
    StaleSession,
    BelowFloor,
    Fenced,
    // Failures of calls to the platform.
    PlatformUnavailable,
    PlatformConflict,
    NotFound,
    // Invalid input from sources other than callers.
    BadFrame,
    BadSettings,
    BadBundle,
    BadObject,
    // Any other failure, which is a defect of this system.
    Internal,
    // Not sent over links. Values are numbered on the wire, so new ones come last.
    Quarantined, ///< copies of the request have crashed the servers that ran them
};

/// Number of values of ErrorCode, used to validate codes read from the wire.
inline constexpr std::uint8_t errorCodeCount = static_cast<std::uint8_t>(ErrorCode::Quarantined) + 1;

std::string_view errorCodeText(ErrorCode);
std::string_view executionText(Execution);

/// A failure, with the step and the peer at which it occurred.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    /// The operation that failed, such as `claim replica`.
    std::string step = {};
    /// The other side of the operation: an endpoint, a VM or a key. Empty if there is none.
    std::string peer = {};
    /// Human-readable explanation, whose text is not stable.
    std::string detail = {};
    Execution execution = Execution::NotRun;
    /// Time from now after which a retry makes sense; std::nullopt if none ever does.
    std::optional<Milliseconds> retryAfter = std::nullopt;
};

/// Formats the error as `step at peer: code: detail` for logs and the command line.
std::string describe(const Error&);

/// A value or an Error. Accessing the one that is absent is a programming error and terminates the process.
template <typename T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

} // namespace lagoon::framework
