#include "objectstore/objectupdate.h"

#include "framework/randomid.h"
#include "objectstore/backoff.h"
#include "objectstore/objectread.h"

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::ObjectVersion;
using framework::Result;

constexpr Milliseconds initialRetryDelay { 10 };
constexpr Milliseconds maxRetryDelay { 1000 };

/// State of one call of `updateObject`.
class UpdateRun {
public:
    UpdateRun(IObjectStore& store, const ObjectKey& key, const ObjectUpdate& update, Deadline deadline)
        : store_(store)
        , key_(key)
        , update_(update)
        , deadline_(deadline)
        , backoff_(initialRetryDelay, maxRetryDelay, framework::randomNumber())
    {
    }

    Result<UpdatedObject> run()
    {
        for (;;) {
            Result<UpdatedObject> result = tryOnce();
            if (result || isRefused_ || !isWorthRetrying(result.error()))
                return finalResult(std::move(result));
            const Milliseconds wait = backoff_.next(result.error().retryAfter);
            if (!waitBeforeRetry(wait, deadline_))
                return finalResult(std::move(result));
        }
    }

private:
    Result<UpdatedObject> tryOnce()
    {
        BOOST_OUTCOME_TRY(read, store_.get(key_, deadline_));
        const ObjectVersion version = read ? read->version : ObjectVersion();
        // An earlier write may have taken effect although no success was received: its answer was lost, or it arrived
        // twice and the second transmission conflicted with the first. In both cases the object has this update's
        // nonce.
        if (hasWritten_ && read && update_.isOwnWrite(read->value)) {
            pendingWriteVersion_.reset();
            return UpdatedObject { std::move(read->value), version };
        }
        // A pending write can only take effect on the version that it expects, so it can't any more once the object has
        // another version. (A creation could take effect after a removal, but objects updated here are never removed.)
        if (pendingWriteVersion_ && *pendingWriteVersion_ != version) {
            mayHaveBeenOverwritten_ = mayHaveBeenOverwritten_ || (update_.canBeOverwritten && isAnswerLost_);
            pendingWriteVersion_.reset();
        }
        std::optional<std::string> current;
        if (read)
            current = std::move(read->value);
        const Result<ObjectChange> requested = update_.change(current);
        isRefused_ = requested.has_error();
        if (isRefused_)
            return refusal(requested.error());
        if (!requested.value().newValue)
            return UpdatedObject { current.value_or(""), version };
        return write(*requested.value().newValue, version);
    }

    Result<UpdatedObject> write(const std::string& value, ObjectVersion expected)
    {
        hasWritten_ = true;
        const Result<ObjectVersion> written = store_.put(key_, value, expected, deadline_);
        if (written) {
            pendingWriteVersion_.reset();
            return UpdatedObject { value, written.value() };
        }
        isAnswerLost_ = written.error().execution == Execution::Unknown;
        if (isAnswerLost_)
            pendingWriteVersion_ = expected;
        // The conflict may be with the first transmission of this same write, so its outcome is unknown until the
        // object has been read.
        if (written.error().code == ErrorCode::PlatformConflict)
            pendingWriteVersion_ = expected;
        return written.error();
    }

    Error refusal(Error error) const
    {
        if (mayHaveBeenOverwritten_)
            error.execution = Execution::Unknown;
        return error;
    }

    static bool isWorthRetrying(const Error& error)
    {
        return error.code == ErrorCode::PlatformConflict || error.code == ErrorCode::PlatformUnavailable;
    }

    /// While a write of this update may still take effect, no failure is reported as not run.
    Result<UpdatedObject> finalResult(Result<UpdatedObject> result) const
    {
        if (!pendingWriteVersion_)
            return result;
        Error error = result ? Error { ErrorCode::PlatformUnavailable, "update object", key_.value(),
            "an earlier write of this update may still take effect" }
                             : result.error();
        error.execution = Execution::Unknown;
        return error;
    }

    IObjectStore& store_;
    const ObjectKey& key_;
    const ObjectUpdate& update_;
    const Deadline deadline_;
    Backoff backoff_;
    bool hasWritten_ = false;
    /// Whether the answer to the last write was lost.
    bool isAnswerLost_ = false;
    bool mayHaveBeenOverwritten_ = false;
    /// Whether `ObjectUpdate::change` returned an error, which is final whatever its code.
    bool isRefused_ = false;
    /// The version that a write of unknown outcome expects; std::nullopt if there is no such write.
    std::optional<ObjectVersion> pendingWriteVersion_;
};

} // namespace

Result<UpdatedObject> updateObject(
    IObjectStore& store, const ObjectKey& key, const ObjectUpdate& update, Deadline deadline)
{
    return UpdateRun(store, key, update, deadline).run();
}

} // namespace lagoon::objectstore
