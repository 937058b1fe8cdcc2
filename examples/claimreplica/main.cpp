// Uses the replica cap without routers and agents: three VMs claim replicas of a model of which two are decided, in a
// custom object store. The decided count and the holders are stored in one object, so that a single conditional update
// enforces the cap.

#include "bundle/replicaobject.h"
#include "framework/randomid.h"
#include "objectstore/objectupdate.h"
#include "policy/rendezvous.h"

#include <iostream>
#include <map>

using namespace lagoon;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::ObjectVersion;
using framework::Result;

namespace {

/// Keeps objects in a map. Any store with versions and conditional writes can be used instead.
class MapStore final : public objectstore::IObjectStore {
public:
    Result<std::optional<objectstore::StoredObject>> get(const objectstore::ObjectKey& key, Deadline) override
    {
        const auto found = objects_.find(key.value());
        return found == objects_.end() ? std::nullopt : std::optional(found->second);
    }
    Result<ObjectVersion> put(
        const objectstore::ObjectKey& key, const std::string& value, ObjectVersion expected, Deadline) override
    {
        objectstore::StoredObject& object = objects_[key.value()];
        if (object.version != expected)
            return Error { ErrorCode::PlatformConflict, "put", key.value(), "another version" };
        object = { value, ObjectVersion(expected.value() + 1) };
        return object.version;
    }
    Result<std::vector<objectstore::ListedObject>> list(const std::string&, Deadline) override
    {
        return notSupported();
    }
    Result<std::optional<objectstore::StoredObject>> watch(
        const objectstore::ObjectKey&, ObjectVersion, Deadline, std::stop_token) override
    {
        return notSupported();
    }
    Result<void> remove(const objectstore::ObjectKey&, ObjectVersion, Deadline) override { return notSupported(); }

private:
    static Error notSupported() { return { ErrorCode::Internal, "example", "store", "not needed here" }; }

    std::map<std::string, objectstore::StoredObject> objects_;
};

/// Adds the VM as a holder unless the decided count is reached. The nonce shows whether the write was applied even if
/// the store's response was lost.
Result<objectstore::UpdatedObject> claim(objectstore::IObjectStore& store, const framework::VmName& vm)
{
    const auto key = bundle::replicaKey(framework::SiteName("south"), framework::ModelName("notes"));
    const std::string nonce = framework::newNonce();
    objectstore::ObjectUpdate update;
    update.change = [&](const std::optional<std::string>& text) -> Result<objectstore::ObjectChange> {
        bundle::ReplicaObject object;
        if (text) {
            BOOST_OUTCOME_TRY(stored, bundle::parseReplicaObject(*text, key));
            object = stored;
        }
        const std::uint32_t decided = bundle::applyDecision(object, { 2, framework::BundleVersion(1) });
        if (object.holders.size() >= decided)
            return Error { ErrorCode::ReplicaCapReached, "claim", key.value(), "all are held" };
        object.holders.push_back({ vm, framework::Incarnation(1), nonce, bundle::HolderState::Loading });
        return objectstore::ObjectChange { bundle::replicaObjectText(object) };
    };
    update.isOwnWrite = [&](const std::string& text) { return text.find(nonce) != std::string::npos; };
    const auto now = std::chrono::steady_clock::now();
    return objectstore::updateObject(store, key, update, Deadline::after(now, framework::Milliseconds(1000)));
}

} // namespace

int main()
{
    MapStore store;
    std::size_t claimed = 0;
    // The same list gives the same order everywhere, so that a model's checkpoints are cached on few VMs.
    const std::vector<framework::VmName> vms { framework::VmName("up-1"), framework::VmName("up-2"),
        framework::VmName("up-3") };
    for (const framework::VmName& vm : policy::rendezvousOrder("notes", vms)) {
        const auto result = claim(store, vm);
        std::cout << vm << ": " << (result ? "claimed" : framework::describe(result.error())) << "\n";
        claimed += result ? 1 : 0;
    }
    return claimed == 2 ? 0 : 1;
}
