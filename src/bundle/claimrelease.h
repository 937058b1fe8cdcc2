#pragma once

#include "bundle/replicaobject.h"
#include "bundle/signoff.h"

namespace lagoon::bundle {

/// A claim that an operator releases by force.
struct ClaimRelease {
    objectstore::ObjectKey key;
    framework::VmName vm;
    std::string reason;
};

/// Removes the VM from the holders and records the operator and the reason. Fails with `NotFound` if the VM holds no
/// claim. The operator is responsible for ensuring that the model is no longer loaded on that VM: its engine isn't
/// queried.
framework::Result<ReplicaObject> releaseClaim(
    objectstore::IObjectStore&, const ClaimRelease&, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
