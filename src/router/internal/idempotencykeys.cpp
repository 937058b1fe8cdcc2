#include "router/internal/idempotencykeys.h"

#include "framework/checkedjson.h"
#include "framework/logging.h"
#include "framework/randomid.h"
#include "objectstore/objectupdate.h"
#include "router/internal/targets.h"

#include <algorithm>
#include <array>
#include <openssl/sha.h>

namespace lagoon::router {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using objectstore::ObjectChange;
using objectstore::ObjectKey;

namespace {

const std::string keyPrefix = "keys/";
constexpr Milliseconds claimTimeout { 2000 };
constexpr Milliseconds releaseTimeout { 5000 };
constexpr Milliseconds sweepTimeout { 30000 };
constexpr Milliseconds retryAfterDuplicate { 1000 };
constexpr Milliseconds retryAfterOutage { 2000 };

/// The object's name is a digest, since the key may contain any characters, and a caller's secret.
ObjectKey objectFor(const callers::CallerRequest& request)
{
    const std::string text = wire::targetText(toWire(request.target)) + '\n' + *request.idempotencyKey;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr char digits[] = "0123456789abcdef";
    std::string name = keyPrefix;
    for (const unsigned char byte : digest) {
        name += digits[byte >> 4];
        name += digits[byte & 15];
    }
    return ObjectKey(name);
}

std::string keyText(const callers::CallerRequest& request, const std::string& nonce)
{
    web::json::value object;
    object["request"] = web::json::value::string(request.name.value());
    object["nonce"] = web::json::value::string(nonce);
    return object.serialize();
}

bool hasNonce(const std::string& value, const std::string& nonce)
{
    return value.find("\"" + nonce + "\"") != std::string::npos;
}

Error duplicate(const ObjectKey& object)
{
    return Error { ErrorCode::DuplicateKey, "claim idempotency key", object.value(),
        "the key was brought before; that request may have run", Execution::Unknown, retryAfterDuplicate };
}

/// Converts any error of a claim but `DuplicateKey` to "not run": whatever the state of the write, the request itself
/// hasn't been sent.
Error notClaimed(Error error)
{
    if (error.code == ErrorCode::DuplicateKey)
        return error;
    error.step = "claim idempotency key";
    error.execution = Execution::NotRun;
    error.retryAfter = error.retryAfter.value_or(retryAfterOutage);
    return error;
}

} // namespace

IdempotencyKeys::IdempotencyKeys(std::shared_ptr<objectstore::IObjectStore> store, framework::WorkerPool& workers,
    framework::IControlExecutor& control, const framework::IClock& clock, std::shared_ptr<framework::Metrics> metrics,
    Milliseconds retention)
    : store_(std::move(store))
    , workers_(workers)
    , control_(control)
    , clock_(clock)
    , metrics_(std::move(metrics))
    , sweeps_(control, clock, retention, [this] { sweep(); })
{
}

void IdempotencyKeys::claim(const callers::CallerRequest& request, ClaimHandler handler)
{
    const ObjectKey object = objectFor(request);
    const std::string nonce = framework::newNonce();
    const Deadline deadline = std::min(request.deadline, Deadline::after(clock_.now(), claimTimeout));
    beginCall();
    workers_.run([this, object, nonce, deadline, value = keyText(request, nonce), handler = std::move(handler)] {
        objectstore::ObjectUpdate update;
        update.change = [&](const std::optional<std::string>& present) -> framework::Result<ObjectChange> {
            if (present)
                return duplicate(object);
            return ObjectChange { value };
        };
        update.isOwnWrite = [&](const std::string& present) { return hasNonce(present, nonce); };
        const auto updated = objectstore::updateObject(*store_, object, update, deadline);
        framework::Result<ClaimedKey> claimed = ClaimedKey { object, {} };
        if (updated.has_error())
            claimed = notClaimed(updated.error());
        else
            claimed.value().version = updated.value().version;
        control_.post([this, handler, claimed] {
            handler(claimed);
            endCall();
        });
    });
}

void IdempotencyKeys::release(const ClaimedKey& key)
{
    beginCall();
    workers_.run([this, key] {
        const auto removed = store_->remove(key.object, key.version, Deadline::after(clock_.now(), releaseTimeout));
        if (removed.has_error())
            metrics_->count("lagoon_key_release_failures_total");
        endCall();
    });
}

/// Prevents the process from exiting before it has released the key of a request that it refused as not run: the caller
/// would retry with the same key, as instructed, and be told that the request may have run.
void IdempotencyKeys::waitUntilSettled(Deadline deadline)
{
    std::unique_lock lock(callsMutex_);
    settled_.wait_until(lock, deadline.at(), [this] { return calls_ == 0; });
}

void IdempotencyKeys::beginCall()
{
    const std::lock_guard lock(callsMutex_);
    ++calls_;
}

void IdempotencyKeys::endCall()
{
    const std::lock_guard lock(callsMutex_);
    if (--calls_ == 0)
        settled_.notify_all();
}

void IdempotencyKeys::startSweeping(std::function<bool()> isOwner)
{
    isOwner_ = std::move(isOwner);
    sweeps_.startAfterInterval();
}

void IdempotencyKeys::sweep()
{
    if (isOwner_())
        workers_.run([this] { removeExpired(); });
}

/// Removes the keys that were present in the same version one retention period ago and are thus older than that. This
/// needs neither synchronized clocks nor a read of each key.
void IdempotencyKeys::removeExpired()
{
    const Deadline deadline = Deadline::after(clock_.now(), sweepTimeout);
    const auto listed = store_->list(keyPrefix, deadline);
    if (listed.has_error()) {
        metrics_->count("lagoon_key_sweep_failures_total");
        return;
    }
    SeenKeys present;
    for (const objectstore::ListedObject& listedKey : listed.value()) {
        const auto before = seen_.find(listedKey.key.value());
        const bool isOld = before != seen_.end() && before->second == listedKey.version;
        if (isOld && store_->remove(listedKey.key, listedKey.version, deadline).has_value()) {
            metrics_->count("lagoon_keys_swept_total");
            continue;
        }
        present.emplace(listedKey.key.value(), listedKey.version);
    }
    seen_ = std::move(present);
}

} // namespace lagoon::router
