#include "bundle/rollout.h"

#include "bundle/bundlehead.h"
#include "bundle/decidedcounts.h"
#include "bundle/replicaobject.h"
#include "framework/randomid.h"
#include "objectstore/objectread.h"
#include "objectstore/objectupdate.h"

#include <algorithm>

namespace lagoon::bundle {

namespace {

using framework::BundleVersion;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Result;
using objectstore::ObjectChange;
using objectstore::ObjectKey;
using objectstore::ObjectUpdate;

const std::string step = "roll out bundle";

/// State of one call of `rollOut`.
class RollOut {
public:
    RollOut(objectstore::IObjectStore& store, BundleVersion version, const OperatorAction& action, Deadline deadline)
        : store_(store)
        , version_(version)
        , action_(action)
        , deadline_(deadline)
    {
    }

    Result<RollOutResult> run()
    {
        BOOST_OUTCOME_TRYV(readBase());
        BOOST_OUTCOME_TRYV(readCandidate());
        BOOST_OUTCOME_TRYV(lowerCounts());
        const Result<void> moved = moveHead();
        if (moved)
            return RollOutResult { head_, baseVersion(), loweredCounts_.size() };
        // While the head may still move to this version, its lowered counts must stay in place.
        if (moved.error().execution == framework::Execution::NotRun)
            revertCounts();
        return moved.error();
    }

private:
    BundleVersion baseVersion() const { return base_ ? base_->version : BundleVersion(); }

    Error conflictWith(const BundleHead& current) const
    {
        return Error { ErrorCode::PlatformConflict, step, bundleHeadKey().value(),
            "version " + std::to_string(current.version.value()) + " is in force, rolled out by " + current.operatorName
                + " at " + current.rolledOutAt + "; version " + std::to_string(version_.value()) + " isn't" };
    }

    Result<void> readBase()
    {
        BOOST_OUTCOME_TRY(object, objectstore::readObject(store_, bundleHeadKey(), deadline_));
        if (!object)
            return framework::success();
        BOOST_OUTCOME_TRY(head, parseBundleHead(object->value));
        if (head.version >= version_)
            return conflictWith(head);
        base_ = head;
        BOOST_OUTCOME_TRY(loaded, loadBundle(store_, head, nullptr, deadline_));
        baseBundle_ = loaded.bundle;
        return framework::success();
    }

    /// Reads the bundle to be rolled out, which also checks that all its parts exist: a head that names an unreadable
    /// bundle would prevent every starting process from loading a bundle.
    Result<void> readCandidate()
    {
        const ObjectKey key = manifestKey(version_);
        BOOST_OUTCOME_TRY(object, objectstore::readObject(store_, key, deadline_));
        if (!object)
            return Error { ErrorCode::NotFound, step, key.value(), "this version has not been signed off" };
        head_ = BundleHead { version_, bundleDigest(object->value), framework::newNonce(), action_.operatorName,
            action_.at };
        BOOST_OUTCOME_TRY(loaded, loadBundle(store_, head_, nullptr, deadline_));
        candidate_ = loaded.bundle;
        return framework::success();
    }

    Result<void> lowerCounts()
    {
        if (!baseBundle_)
            return framework::success();
        loweredCounts_ = loweredCounts(*baseBundle_, *candidate_);
        for (const auto& [key, count] : loweredCounts_) {
            Result<void> lowered = lowerCount(key, count);
            if (lowered)
                continue;
            revertCounts();
            return lowered;
        }
        return framework::success();
    }

    Result<void> lowerCount(const ObjectKey& key, std::uint32_t count)
    {
        const auto change = [&](const std::optional<std::string>& current) -> Result<ObjectChange> {
            ReplicaObject object;
            if (current) {
                BOOST_OUTCOME_TRY(parsed, parseReplicaObject(*current, key));
                object = parsed;
            }
            const LoweredCount merged = mergedLoweredCount(object, count);
            if (object.lowered == merged)
                return ObjectChange {};
            object.lowered = merged;
            return ObjectChange { replicaObjectText(object) };
        };
        const auto isOwnWrite = [&](const std::string& value) {
            const auto object = parseReplicaObject(value, key);
            return object && object.value().lowered == mergedLoweredCount(object.value(), count);
        };
        BOOST_OUTCOME_TRYV(objectstore::updateObject(store_, key, ObjectUpdate { change, isOwnWrite }, deadline_));
        return framework::success();
    }

    /// Merges this roll-out's lowered count with the one of another roll-out in progress, which may be even lower. The
    /// lower of both counts is safe whichever roll-out wins.
    LoweredCount mergedLoweredCount(const ReplicaObject& object, std::uint32_t count) const
    {
        if (!object.lowered || object.lowered->bundleVersion <= baseVersion())
            return { count, version_ };
        return { std::min(object.lowered->decided, count), std::max(object.lowered->bundleVersion, version_) };
    }

    Result<void> moveHead()
    {
        // Prevents concurrent roll-outs from both succeeding: of those that started from the same head, only one can
        // move it.
        const auto change = [this](const std::optional<std::string>& current) -> Result<ObjectChange> {
            if (!current && !base_)
                return ObjectChange { bundleHeadText(head_) };
            if (!current)
                return Error { ErrorCode::NotFound, step, bundleHeadKey().value(), "the bundle head no longer exists" };
            BOOST_OUTCOME_TRY(found, parseBundleHead(*current));
            if (base_ && found == *base_)
                return ObjectChange { bundleHeadText(head_) };
            return conflictWith(found);
        };
        const auto isOwnWrite = [this](const std::string& value) {
            const auto found = parseBundleHead(value);
            return found && found.value().nonce == head_.nonce;
        };
        // A later roll-out overwrites the whole head. If the answer to this write was lost, it may therefore be unknown
        // whether this version was in force for a moment.
        const ObjectUpdate update { change, isOwnWrite, true };
        BOOST_OUTCOME_TRYV(objectstore::updateObject(store_, bundleHeadKey(), update, deadline_));
        return framework::success();
    }

    /// Reverts this roll-out's lowered counts after it failed, for example after a lost race. Counts that can't be
    /// reverted stay lower than decided until the next bundle, so there may be fewer replicas than decided, never more.
    void revertCounts()
    {
        const auto object = objectstore::readObject(store_, bundleHeadKey(), deadline_);
        if (!object || !object.value())
            return;
        const auto head = parseBundleHead(object.value()->value);
        if (!head)
            return;
        const auto winner = loadBundle(store_, head.value(), nullptr, deadline_);
        if (!winner)
            return;
        const DecidedCounts counts = decidedCounts(*winner.value().bundle);
        for (const auto& [key, count] : loweredCounts_) {
            const auto found = counts.find(key);
            revertCount(key, { found == counts.end() ? 0 : found->second, head.value().version });
        }
    }

    /// Removes this roll-out's lowered count from one replica object. Restores the winner's lowered count, since this
    /// roll-out's count may have been merged with it.
    void revertCount(const ObjectKey& key, const LoweredCount& winner)
    {
        const auto change = [&](const std::optional<std::string>& current) -> Result<ObjectChange> {
            if (!current)
                return ObjectChange {};
            BOOST_OUTCOME_TRY(object, parseReplicaObject(*current, key));
            if (!object.lowered || object.lowered->bundleVersion != version_)
                return ObjectChange {};
            object.lowered.reset();
            if (winner.bundleVersion > object.bundleVersion)
                object.lowered = winner;
            return ObjectChange { replicaObjectText(object) };
        };
        const auto isOwnWrite = [&](const std::string& value) {
            const auto object = parseReplicaObject(value, key);
            return object && (!object.value().lowered || object.value().lowered->bundleVersion != version_);
        };
        (void)objectstore::updateObject(store_, key, ObjectUpdate { change, isOwnWrite }, deadline_);
    }

    objectstore::IObjectStore& store_;
    const BundleVersion version_;
    const OperatorAction& action_;
    const Deadline deadline_;
    /// The head that this roll-out started from; std::nullopt if no bundle was in force.
    std::optional<BundleHead> base_;
    BundlePointer baseBundle_;
    BundlePointer candidate_;
    /// The head that this roll-out writes.
    BundleHead head_;
    DecidedCounts loweredCounts_;
};

} // namespace

Result<RollOutResult> rollOut(
    objectstore::IObjectStore& store, BundleVersion version, const OperatorAction& action, Deadline deadline)
{
    return RollOut(store, version, action, deadline).run();
}

} // namespace lagoon::bundle
