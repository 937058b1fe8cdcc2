#pragma once

#include "bundle/replicaobject.h"
#include "bundle/signoff.h"

namespace lagoon::bundle {

/// A claim to be freed by force.
struct ClaimRelease {
    objectstore::ObjectKey key;
    framework::VmName vm;
    std::string reason;
};

/// Takes the VM out of the holders and records who did it and why. `NotFound` if it holds no claim. The operator
/// answers for the model really being gone from that VM: nobody asks its engine.
framework::Result<ReplicaObject> releaseClaim(
    objectstore::IObjectStore&, const ClaimRelease&, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
