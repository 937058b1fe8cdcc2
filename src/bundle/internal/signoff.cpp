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
    const auto change = [&](const std::optional<std::string>& current) -> Result<ObjectChange> {
        if (!current)
            return ObjectChange { part.text };
        if (*current != part.text)
            return Error { ErrorCode::BadObject, step, key.value(), "the stored part doesn't match its digest" };
        return ObjectChange {};
    };
    const auto isOwnWrite = [&](const std::string& value) { return value == part.text; };
    BOOST_OUTCOME_TRYV(objectstore::updateObject(store, key, ObjectUpdate { change, isOwnWrite }, deadline));
    return framework::success();
}

Result<ObjectChange> createManifest(const std::optional<std::string>& current, const BundleManifest& newManifest)
{
    if (!current)
        return ObjectChange { bundleManifestText(newManifest) };
    const ObjectKey key = manifestKey(newManifest.version);
    BOOST_OUTCOME_TRY(found, parseBundleManifest(*current, key));
    if (found.common == newManifest.common && found.parts == newManifest.parts)
        return ObjectChange {};
    return Error { ErrorCode::PlatformConflict, step, key.value(),
        "version " + std::to_string(found.version.value()) + " was signed off with other content by "
            + found.signedOffBy + " at " + found.signedOffAt };
}

} // namespace

Result<BundleManifest> signOff(
    objectstore::IObjectStore& store, const Bundle& bundle, const OperatorAction& action, Deadline deadline)
{
    SplitBundle split = splitBundle(bundle);
    split.manifest.signedOffBy = action.operatorName;
    split.manifest.signedOffAt = action.at;
    // The manifest is stored last, so all parts exist once the manifest can be read.
    for (const BundlePart& part : split.parts) {
        BOOST_OUTCOME_TRYV(storePart(store, part, deadline));
    }
    const ObjectKey key = manifestKey(bundle.version);
    const std::string text = bundleManifestText(split.manifest);
    const ObjectUpdate update { [&](const auto& current) { return createManifest(current, split.manifest); },
        [&](const std::string& value) { return value == text; } };
    BOOST_OUTCOME_TRY(stored, objectstore::updateObject(store, key, update, deadline));
    return parseBundleManifest(stored.value, key);
}

} // namespace lagoon::bundle
