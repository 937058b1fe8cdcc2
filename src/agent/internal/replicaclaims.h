#pragma once

#include "agent/ireplicaclaims.h"
#include "framework/metrics.h"
#include "framework/types/processidentity.h"
#include "objectstore/iobjectstore.h"
#include "objectstore/ivmlist.h"

#include <memory>
#include <optional>
#include <set>

namespace lagoon::agent {

/// Writes claims by conditional updates of `replicas/<site>/<model>[/<adapter>]`. The count and all holders are in one
/// object, so two agents can't both take the last slot. A claim never expires: a paused agent couldn't renew it while
/// its engine still has the model loaded.
class ReplicaClaims final : public IReplicaClaims {
public:
    ReplicaClaims(std::shared_ptr<objectstore::IObjectStore>, std::shared_ptr<objectstore::IVmList>,
        framework::ProcessIdentity, framework::Incarnation, std::shared_ptr<framework::Metrics>);

    framework::Result<framework::FencingToken> claim(const ReplicaId&, const std::string& nonce, ClaimKind,
        const bundle::DecidedCount&, framework::Deadline) override;
    framework::Result<void> confirm(const ReplicaId&, const std::string& nonce, framework::Deadline) override;
    framework::Result<void> release(const ReplicaId&, const std::string& nonce, framework::Deadline) override;
    framework::Result<bool> isOverCount(const ReplicaId&, const bundle::DecidedCount&, framework::Deadline) override;
    framework::Result<std::vector<ReplicaId>> held(framework::Deadline) override;

private:
    using VmNames = std::set<framework::VmName>;

    framework::Result<framework::FencingToken> tryClaim(const ReplicaId&, const std::string& nonce, ClaimKind,
        const bundle::DecidedCount&, const VmNames& gone, framework::Deadline);
    framework::Result<std::optional<objectstore::StoredObject>> getWithRetry(
        const objectstore::ObjectKey&, framework::Deadline);
    framework::Result<VmNames> goneVms(framework::Deadline);
    objectstore::ObjectKey key(const ReplicaId&) const;

    std::shared_ptr<objectstore::IObjectStore> store_;
    std::shared_ptr<objectstore::IVmList> vmList_;
    framework::ProcessIdentity identity_;
    framework::Incarnation incarnation_;
    std::shared_ptr<framework::Metrics> metrics_;
};

} // namespace lagoon::agent
