#include "bundle/replicaobject.h"

#include "framework/checkedjson.h"

#include <algorithm>
#include <limits>

namespace lagoon::bundle {

namespace {

using framework::BundleVersion;
using framework::CheckedObject;
using framework::ErrorCode;
using framework::VmName;
using web::json::value;

constexpr std::uint64_t maxVersion = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t maxReplicas = std::numeric_limits<std::uint32_t>::max();

std::string stateText(HolderState state)
{
    switch (state) {
    case HolderState::Loading:
        return "loading";
    case HolderState::Loaded:
        return "loaded";
    case HolderState::Unloading:
        return "unloading";
    }
    return "loading";
}

HolderState readState(CheckedObject& holder)
{
    const std::string stateName = holder.text("state");
    if (stateName == "loaded")
        return HolderState::Loaded;
    if (stateName == "unloading")
        return HolderState::Unloading;
    if (stateName != "loading")
        holder.fail("state", "one of \"loading\" \"loaded\" \"unloading\"");
    return HolderState::Loading;
}

std::uint32_t readDecided(CheckedObject& object)
{
    return static_cast<std::uint32_t>(object.number("decided", 0, maxReplicas));
}

BundleVersion readBundleVersion(CheckedObject& object)
{
    return BundleVersion(object.number("bundle_version", 0, maxVersion));
}

ReplicaHolder readHolder(CheckedObject& object)
{
    ReplicaHolder holder;
    holder.vm = VmName(object.text("vm"));
    holder.incarnation = framework::Incarnation(object.number("incarnation", 1, maxVersion));
    holder.nonce = object.text("nonce");
    holder.state = readState(object);
    (void)object.finish();
    return holder;
}

ReplicaRelease readRelease(CheckedObject& object)
{
    ReplicaRelease release;
    release.vm = VmName(object.text("vm"));
    release.operatorName = object.text("operator");
    release.reason = object.text("reason");
    release.releasedAt = object.text("released_at");
    release.nonce = object.text("nonce");
    (void)object.finish();
    return release;
}

value holderJson(const ReplicaHolder& holder)
{
    value json = value::object(true);
    json["vm"] = value::string(holder.vm.value());
    json["incarnation"] = value::number(holder.incarnation.value());
    json["nonce"] = value::string(holder.nonce);
    json["state"] = value::string(stateText(holder.state));
    return json;
}

value releaseJson(const ReplicaRelease& release)
{
    value json = value::object(true);
    json["vm"] = value::string(release.vm.value());
    json["operator"] = value::string(release.operatorName);
    json["reason"] = value::string(release.reason);
    json["released_at"] = value::string(release.releasedAt);
    json["nonce"] = value::string(release.nonce);
    return json;
}

template <typename Parts, typename Writer> value arrayJson(const Parts& parts, Writer writer)
{
    std::vector<value> values;
    for (const auto& part : parts)
        values.push_back(writer(part));
    return value::array(std::move(values));
}

} // namespace

const ReplicaHolder* ReplicaObject::holder(const VmName& vm) const
{
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const auto& each) { return each.vm == vm; });
    return found == holders.end() ? nullptr : &*found;
}

void ReplicaObject::addRelease(ReplicaRelease release)
{
    releases.push_back(std::move(release));
    if (releases.size() > maxReleases)
        releases.erase(releases.begin());
}

std::uint32_t applyDecision(ReplicaObject& object, const DecidedCount& known)
{
    if (known.bundleVersion >= object.bundleVersion) {
        object.decided = known.decided;
        object.bundleVersion = known.bundleVersion;
    }
    // Prevents an agent that hasn't read the newer bundle yet from claiming under the old, higher count: the number of
    // replicas would exceed the cap although each agent complied with the bundle that it knows.
    if (object.lowered && object.lowered->bundleVersion <= object.bundleVersion)
        object.lowered.reset();
    return object.lowered ? std::min(object.lowered->decided, object.decided) : object.decided;
}

objectstore::ObjectKey replicaKey(
    const framework::SiteName& site, const framework::ModelName& model, const framework::AdapterName& adapter)
{
    std::string key = "replicas/" + site.value() + "/" + model.value();
    if (!adapter.value().empty())
        key += "/" + adapter.value();
    return objectstore::ObjectKey(key);
}

framework::Result<ReplicaObject> parseReplicaObject(const std::string& text, const objectstore::ObjectKey& key)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, key.value(), ErrorCode::BadObject));
    CheckedObject object(json, key.value(), "", ErrorCode::BadObject);
    ReplicaObject result;
    result.decided = readDecided(object);
    result.bundleVersion = readBundleVersion(object);
    if (object.has("lowered")) {
        CheckedObject lowered = object.object("lowered");
        result.lowered = LoweredCount { readDecided(lowered), readBundleVersion(lowered) };
        (void)lowered.finish();
    }
    for (CheckedObject& holder : object.objects("holders")) {
        result.holders.push_back(readHolder(holder));
        const VmName& vm = result.holders.back().vm;
        if (result.holder(vm) != &result.holders.back())
            holder.fail("vm", "a VM that isn't a holder already");
    }
    for (CheckedObject& release : object.objects("releases"))
        result.releases.push_back(readRelease(release));
    BOOST_OUTCOME_TRYV(object.finish());
    return result;
}

std::string replicaObjectText(const ReplicaObject& object)
{
    value json = value::object(true);
    json["decided"] = value::number(object.decided);
    json["bundle_version"] = value::number(object.bundleVersion.value());
    if (object.lowered) {
        value lowered = value::object(true);
        lowered["decided"] = value::number(object.lowered->decided);
        lowered["bundle_version"] = value::number(object.lowered->bundleVersion.value());
        json["lowered"] = lowered;
    }
    json["holders"] = arrayJson(object.holders, holderJson);
    json["releases"] = arrayJson(object.releases, releaseJson);
    return json.serialize();
}

} // namespace lagoon::bundle
