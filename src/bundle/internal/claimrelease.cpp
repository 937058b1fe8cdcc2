#include "bundle/claimrelease.h"

#include "framework/randomid.h"
#include "objectstore/objectupdate.h"

#include <algorithm>

namespace lagoon::bundle {

using framework::Error;
using framework::ErrorCode;
using framework::Result;
using objectstore::ObjectChange;

Result<ReplicaObject> releaseClaim(objectstore::IObjectStore& store, const ClaimRelease& claim,
    const OperatorAction& action, framework::Deadline deadline)
{
    const ReplicaRelease release { claim.vm, action.operatorName, claim.reason, action.at, framework::newNonce() };
    const auto noClaim = [&] {
        return Error { ErrorCode::NotFound, "release claim", claim.key.value(),
            "VM \"" + claim.vm.value() + "\" holds no claim" };
    };
    const auto change = [&](const std::optional<std::string>& current) -> Result<ObjectChange> {
        if (!current)
            return noClaim();
        BOOST_OUTCOME_TRY(object, parseReplicaObject(*current, claim.key));
        if (!object.holder(claim.vm))
            return noClaim();
        std::erase_if(object.holders, [&](const ReplicaHolder& holder) { return holder.vm == claim.vm; });
        object.addRelease(release);
        return ObjectChange { replicaObjectText(object) };
    };
    const auto isOwnWrite = [&](const std::string& value) {
        const auto object = parseReplicaObject(value, claim.key);
        if (!object)
            return false;
        const auto& releases = object.value().releases;
        return std::find(releases.begin(), releases.end(), release) != releases.end();
    };
    BOOST_OUTCOME_TRY(updated,
        objectstore::updateObject(store, claim.key, objectstore::ObjectUpdate { change, isOwnWrite }, deadline));
    return parseReplicaObject(updated.value, claim.key);
}

} // namespace lagoon::bundle
