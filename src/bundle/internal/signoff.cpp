#include "bundle/signoff.h"

#include "objectstore/objectupdate.h"

namespace lagoon::bundle {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Result;
using objectstore::ObjectChange;
using objectstore::ObjectKey;
using objectstore::ObjectUpdate;

const std::string step = "sign off bundle";

Result<void> storePart(objectstore::IObjectStore& store, const BundlePart& part, Deadline deadline)
{
    const ObjectKey key = partKey(part.digest);
    const auto change = [&](const std::optional<std::string>& present) -> Result<ObjectChange> {
        if (!present)
            return ObjectChange { part.text };
        if (*present != part.text)
            return Error { ErrorCode::BadObject, step, key.value(), "it isn't what its digest says" };
        return ObjectChange {};
    };
    const auto isOwnWrite = [&](const std::string& value) { return value == part.text; };
    BOOST_OUTCOME_TRYV(objectstore::updateObject(store, key, ObjectUpdate { change, isOwnWrite }, deadline));
    return framework::success();
}

Result<ObjectChange> createManifest(const std::optional<std::string>& present, const BundleManifest& wanted)
{
    if (!present)
        return ObjectChange { bundleManifestText(wanted) };
    const ObjectKey key = manifestKey(wanted.version);
    BOOST_OUTCOME_TRY(found, parseBundleManifest(*present, key));
    if (found.common == wanted.common && found.parts == wanted.parts)
        return ObjectChange {};
    return Error { ErrorCode::PlatformConflict, step, key.value(),
        "version " + std::to_string(found.version.value()) + " was signed off with other content by "
            + found.signedOffBy + " at " + found.signedOffAt };
}

} // namespace

Result<BundleManifest> signOff(
    objectstore::IObjectStore& store, const Bundle& bundle, const OperatorAct& act, Deadline deadline)
{
    SplitBundle split = splitBundle(bundle);
    split.manifest.signedOffBy = act.operatorName;
    split.manifest.signedOffAt = act.at;
    // The manifest last: who can read it finds all its parts.
    for (const BundlePart& part : split.parts) {
        BOOST_OUTCOME_TRYV(storePart(store, part, deadline));
    }
    const ObjectKey key = manifestKey(bundle.version);
    const std::string text = bundleManifestText(split.manifest);
    const ObjectUpdate update { [&](const auto& present) { return createManifest(present, split.manifest); },
        [&](const std::string& value) { return value == text; } };
    BOOST_OUTCOME_TRY(stored, objectstore::updateObject(store, key, update, deadline));
    return parseBundleManifest(stored.value, key);
}

} // namespace lagoon::bundle
