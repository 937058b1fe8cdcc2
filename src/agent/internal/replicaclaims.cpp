#include "agent/internal/replicaclaims.h"

#include "framework/iclock.h"
#include "objectstore/objectupdate.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace lagoon::agent {

namespace {

using bundle::DecidedCount;
using bundle::HolderState;
using bundle::ReplicaHolder;
using bundle::ReplicaObject;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::FencingToken;
using framework::Milliseconds;
using framework::Result;
using framework::VmName;
using objectstore::ObjectChange;
using objectstore::ObjectKey;
using objectstore::ObjectUpdate;

using StoredText = std::optional<std::string>;

constexpr Milliseconds retryWhenCapReached { 2000 };
constexpr Milliseconds defaultReadRetry { 100 };

Result<ReplicaObject> parse(const StoredText& text, const ObjectKey& key)
{
    if (!text)
        return ReplicaObject {};
    return bundle::parseReplicaObject(*text, key);
}

ObjectChange toChange(const ReplicaObject& object) { return ObjectChange { bundle::replicaObjectText(object) }; }

auto holderOf(ReplicaObject& object, const VmName& vm)
{
    return std::find_if(
        object.holders.begin(), object.holders.end(), [&](const ReplicaHolder& holder) { return holder.vm == vm; });
}

/// Whether the object has this claim in this state.
bool hasClaim(
    const std::string& text, const ObjectKey& key, const VmName& vm, const std::string& nonce, HolderState state)
{
    const auto object = bundle::parseReplicaObject(text, key);
    if (object.has_error())
        return false;
    const ReplicaHolder* holder = object.value().holder(vm);
    return holder && holder->nonce == nonce && holder->state == state;
}

} // namespace

ReplicaClaims::ReplicaClaims(std::shared_ptr<objectstore::IObjectStore> store,
    std::shared_ptr<objectstore::IVmList> vmList, framework::ProcessIdentity identity,
    framework::Incarnation incarnation, std::shared_ptr<framework::Metrics> metrics)
    : store_(std::move(store))
    , vmList_(std::move(vmList))
    , identity_(std::move(identity))
    , incarnation_(incarnation)
    , metrics_(std::move(metrics))
{
}

ObjectKey ReplicaClaims::key(const ReplicaId& id) const
{
    return bundle::replicaKey(identity_.site, id.model, id.adapter);
}

Result<FencingToken> ReplicaClaims::claim(
    const ReplicaId& id, const std::string& nonce, ClaimKind kind, const DecidedCount& decided, Deadline deadline)
{
    auto claimed = tryClaim(id, nonce, kind, decided, {}, deadline);
    if (claimed.has_value() || claimed.error().code != ErrorCode::ReplicaCapReached)
        return claimed;
    // A reclaimed VM can't release its claims, so the model would permanently have one replica too few. A VM listed as
    // "gone" has neither its process nor the content of its accelerators any more, so its replicas can't come back.
    BOOST_OUTCOME_TRY(gone, goneVms(deadline));
    if (gone.empty())
        return claimed;
    return tryClaim(id, nonce, kind, decided, gone, deadline);
}

Result<FencingToken> ReplicaClaims::tryClaim(const ReplicaId& id, const std::string& nonce, ClaimKind kind,
    const DecidedCount& decided, const VmNames& gone, Deadline deadline)
{
    const ObjectKey objectKey = key(id);
    ObjectUpdate update;
    update.change = [&](const StoredText& text) -> Result<ObjectChange> {
        BOOST_OUTCOME_TRY(object, parse(text, objectKey));
        const std::uint32_t allowed = bundle::applyDecision(object, decided);
        const auto dropped = std::erase_if(object.holders,
            [&](const ReplicaHolder& holder) { return holder.vm != identity_.vm && gone.count(holder.vm) > 0; });
        metrics_->count("lagoon_claims_of_gone_vms_dropped_total", {}, static_cast<double>(dropped));
        const ReplicaHolder own { identity_.vm, incarnation_, nonce, HolderState::Loading };
        const auto former = holderOf(object, identity_.vm);
        if (former != object.holders.end()) {
            // The claim is taken over without being released in between: the previous process's load order may still
            // reach the engine, so the slot stays occupied.
            *former = own;
            return toChange(object);
        }
        if (kind == ClaimKind::New && object.holders.size() >= allowed) {
            Error full { ErrorCode::ReplicaCapReached, "claim replica", objectKey.value(),
                std::to_string(object.holders.size()) + " held, " + std::to_string(allowed) + " decided" };
            full.retryAfter = retryWhenCapReached;
            return full;
        }
        object.holders.push_back(own);
        return toChange(object);
    };
    update.isOwnWrite
        = [&](const std::string& text) { return hasClaim(text, objectKey, identity_.vm, nonce, HolderState::Loading); };
    BOOST_OUTCOME_TRY(updated, objectstore::updateObject(*store_, objectKey, update, deadline));
    return FencingToken(updated.version.value());
}

Result<void> ReplicaClaims::confirm(const ReplicaId& id, const std::string& nonce, Deadline deadline)
{
    const ObjectKey objectKey = key(id);
    ObjectUpdate update;
    update.change = [&](const StoredText& text) -> Result<ObjectChange> {
        BOOST_OUTCOME_TRY(object, parse(text, objectKey));
        const auto own = holderOf(object, identity_.vm);
        if (own == object.holders.end() || own->nonce != nonce)
            return Error { ErrorCode::PlatformConflict, "confirm claim", objectKey.value(), "the claim was released" };
        if (own->state == HolderState::Loaded)
            return ObjectChange {};
        own->state = HolderState::Loaded;
        return toChange(object);
    };
    update.isOwnWrite
        = [&](const std::string& text) { return hasClaim(text, objectKey, identity_.vm, nonce, HolderState::Loaded); };
    BOOST_OUTCOME_TRYV(objectstore::updateObject(*store_, objectKey, update, deadline));
    return framework::success();
}

Result<void> ReplicaClaims::release(const ReplicaId& id, const std::string& nonce, Deadline deadline)
{
    const ObjectKey objectKey = key(id);
    ObjectUpdate update;
    update.change = [&](const StoredText& text) -> Result<ObjectChange> {
        BOOST_OUTCOME_TRY(object, parse(text, objectKey));
        const auto own = holderOf(object, identity_.vm);
        // The object is written even if it doesn't have the claim, which changes its version. A claim write whose
        // answer was lost may still be in transit and fails on another version than it expects; otherwise it would take
        // a slot that no agent knows of.
        if (own != object.holders.end() && own->nonce == nonce)
            object.holders.erase(own);
        return toChange(object);
    };
    // After a lost answer the object is read again. If it doesn't have this claim, there is nothing left to do,
    // whichever process wrote it.
    update.isOwnWrite = [&](const std::string& text) {
        const auto object = bundle::parseReplicaObject(text, objectKey);
        const ReplicaHolder* own = object.has_value() ? object.value().holder(identity_.vm) : nullptr;
        return object.has_value() && (!own || own->nonce != nonce);
    };
    BOOST_OUTCOME_TRYV(objectstore::updateObject(*store_, objectKey, update, deadline));
    return framework::success();
}

Result<bool> ReplicaClaims::isOverCount(const ReplicaId& id, const DecidedCount& decided, Deadline deadline)
{
    const ObjectKey objectKey = key(id);
    BOOST_OUTCOME_TRY(stored, store_->get(objectKey, deadline));
    if (!stored)
        return true;
    BOOST_OUTCOME_TRY(object, bundle::parseReplicaObject(stored->value, objectKey));
    const std::uint32_t allowed = bundle::applyDecision(object, decided);
    // If this VM isn't among the holders, an operator has released its claim by force and another VM may use the slot.
    const auto own = holderOf(object, identity_.vm);
    return own - object.holders.begin() >= static_cast<std::ptrdiff_t>(allowed) || own == object.holders.end();
}

Result<std::vector<ReplicaId>> ReplicaClaims::held(Deadline deadline)
{
    const std::string prefix = "replicas/" + identity_.site.value() + "/";
    BOOST_OUTCOME_TRY(listed, store_->list(prefix, deadline));
    std::vector<ReplicaId> own;
    for (const objectstore::ListedObject& entry : listed) {
        BOOST_OUTCOME_TRY(stored, getWithRetry(entry.key, deadline));
        if (!stored)
            continue;
        BOOST_OUTCOME_TRY(object, bundle::parseReplicaObject(stored->value, entry.key));
        if (!object.holder(identity_.vm))
            continue;
        const std::string name = entry.key.value().substr(prefix.size());
        const std::size_t slash = name.find('/');
        const std::string adapter = slash == std::string::npos ? "" : name.substr(slash + 1);
        own.push_back({ framework::ModelName(name.substr(0, slash)), framework::AdapterName(adapter) });
    }
    return own;
}

/// Retries the read of one object until the deadline while the platform is unavailable. A site has more objects than
/// this process may read in one burst; restarting the whole list after a refused read would never finish.
Result<std::optional<objectstore::StoredObject>> ReplicaClaims::getWithRetry(const ObjectKey& key, Deadline deadline)
{
    for (;;) {
        auto stored = store_->get(key, deadline);
        if (stored.has_value() || stored.error().code != ErrorCode::PlatformUnavailable)
            return stored;
        const Milliseconds wait = stored.error().retryAfter.value_or(defaultReadRetry);
        if (wait >= deadline.remaining(framework::SystemClock().now()))
            return stored;
        metrics_->count("lagoon_retries_total", { { "reason", "read_claim" } });
        std::this_thread::sleep_for(wait);
    }
}

Result<ReplicaClaims::VmNames> ReplicaClaims::goneVms(Deadline deadline)
{
    BOOST_OUTCOME_TRY(list, vmList_->waitForChange(0, deadline));
    VmNames gone;
    for (const objectstore::VmEntry& entry : list.vms) {
        if (entry.state == objectstore::VmState::Gone)
            gone.insert(entry.vm);
    }
    return gone;
}

} // namespace lagoon::agent
