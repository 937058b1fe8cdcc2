#include "bundle/storedbundle.h"

#include "bundle/internal/bundlereader.h"
#include "bundle/internal/bundlewriter.h"
#include "bundle/internal/digest.h"
#include "objectstore/objectread.h"

#include <algorithm>

namespace lagoon::bundle {

namespace {

using framework::CheckedObject;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::ModelName;
using framework::Result;

constexpr std::uint64_t manifestFormat = 1;
/// Target number of models and adapters in one part. Larger parts increase the bytes read after a change of one model;
/// smaller parts increase the calls of a starting process. See docs/MEASUREMENTS.md.
constexpr std::size_t entriesPerPart = 320;
constexpr std::size_t maxParts = 1024;
/// Number of hexadecimal digits of the digest of a model's name that select its part.
constexpr std::size_t partDigits = 8;

bool isPowerOfTwo(std::size_t number) { return number > 0 && (number & (number - 1)) == 0; }

std::size_t partCount(const Bundle& bundle)
{
    std::size_t entries = bundle.models.size();
    for (const auto& [model, adapters] : bundle.adapters)
        entries += adapters.size();
    std::size_t parts = 1;
    while (parts < maxParts && parts * entriesPerPart < entries)
        parts *= 2;
    return parts;
}

/// Returns the index of the model's part. It depends on the name and the number of parts only, so changes to other
/// models don't move a model to another part.
std::size_t partOf(const ModelName& model, std::size_t parts)
{
    return std::stoul(sha256(model.value()).substr(0, partDigits), nullptr, 16) & (parts - 1);
}

/// Returns a bundle with only the given models and their adapters.
Bundle entriesOf(const Bundle& bundle, const std::vector<ModelName>& models)
{
    Bundle part;
    for (const ModelName& name : models) {
        part.models.emplace(name, bundle.models.at(name));
        const auto adapters = bundle.adapters.find(name);
        if (adapters != bundle.adapters.end())
            part.adapters.emplace(name, adapters->second);
    }
    return part;
}

std::vector<std::vector<ModelName>> modelsByPart(const Bundle& bundle, std::size_t parts)
{
    std::vector<std::vector<ModelName>> models(parts);
    for (const auto& [name, model] : bundle.models)
        models[partOf(name, parts)].push_back(name);
    return models;
}

Error badBundle(const objectstore::ObjectKey& key, std::string detail)
{
    return Error { ErrorCode::BadBundle, "load bundle", key.value(), std::move(detail) };
}

/// State of one call of `loadBundle`.
class BundleLoader {
public:
    BundleLoader(
        objectstore::IObjectStore& store, const LoadedBundle* previous, Deadline deadline, const std::stop_token& stop)
        : store_(store)
        , previous_(previous)
        , deadline_(deadline)
        , stop_(stop)
    {
    }

    Result<LoadedBundle> run(const BundleHead& head)
    {
        const objectstore::ObjectKey key = manifestKey(head.version);
        BOOST_OUTCOME_TRY(text, readChecked(key, head.digest));
        BOOST_OUTCOME_TRY(manifest, parseBundleManifest(text, key));
        if (manifest.version != head.version)
            return badBundle(key, "the manifest is of version " + std::to_string(manifest.version.value()));
        bundle_.version = manifest.version;
        BOOST_OUTCOME_TRYV(addCommon(manifest));
        BOOST_OUTCOME_TRYV(addEntries(manifest));
        return LoadedBundle { std::make_shared<const Bundle>(std::move(bundle_)), manifest, head.digest };
    }

private:
    Result<std::string> readChecked(const objectstore::ObjectKey& key, const std::string& digest)
    {
        BOOST_OUTCOME_TRY(object, objectstore::readObject(store_, key, deadline_, stop_));
        if (!object)
            return Error { ErrorCode::NotFound, "load bundle", key.value(), "the object doesn't exist" };
        // Detects a head, manifest and parts of different sign-offs, and a value that was truncated or corrupted.
        if (sha256(object->value) != digest)
            return badBundle(key, "the value doesn't match the expected digest " + digest);
        return std::move(object->value);
    }

    Result<void> readPart(const std::string& digest, void (*read)(CheckedObject&, Bundle&))
    {
        const objectstore::ObjectKey key = partKey(digest);
        BOOST_OUTCOME_TRY(text, readChecked(key, digest));
        BOOST_OUTCOME_TRY(json, framework::parseJson(text, key.value(), ErrorCode::BadBundle));
        CheckedObject object(json, key.value(), "", ErrorCode::BadBundle);
        read(object, bundle_);
        return object.finish();
    }

    Result<void> addCommon(const BundleManifest& manifest)
    {
        if (!previous_ || previous_->manifest.common != manifest.common)
            return readPart(manifest.common, readCommon);
        bundle_.policy = previous_->bundle->policy;
        bundle_.pools = previous_->bundle->pools;
        bundle_.services = previous_->bundle->services;
        return framework::success();
    }

    Result<void> addEntries(const BundleManifest& manifest)
    {
        const std::size_t parts = manifest.parts.size();
        const bool isSameSplit = previous_ && previous_->manifest.parts.size() == parts;
        std::vector<std::vector<ModelName>> copiedModels;
        if (isSameSplit)
            copiedModels = modelsByPart(*previous_->bundle, parts);
        for (std::size_t part = 0; part < parts; ++part) {
            if (!isSameSplit || previous_->manifest.parts[part] != manifest.parts[part]) {
                BOOST_OUTCOME_TRYV(readPart(manifest.parts[part], readEntries));
                continue;
            }
            BOOST_OUTCOME_TRYV(copyEntries(copiedModels[part]));
        }
        return framework::success();
    }

    /// Copies the entries of an unchanged part from the previous bundle. They are validated again, since the pools may
    /// have changed.
    Result<void> copyEntries(const std::vector<ModelName>& models)
    {
        Bundle part = entriesOf(*previous_->bundle, models);
        bundle_.models.merge(part.models);
        bundle_.adapters.merge(part.adapters);
        for (const ModelName& name : models) {
            BOOST_OUTCOME_TRYV(checkEntry(bundle_.models.at(name)));
            const auto adapters = bundle_.adapters.find(name);
            if (adapters == bundle_.adapters.end())
                continue;
            for (const auto& [adapterName, adapter] : adapters->second) {
                BOOST_OUTCOME_TRYV(checkEntry(adapter));
            }
        }
        return framework::success();
    }

    template <typename Entry> Result<void> checkEntry(const Entry& entry)
    {
        if (const auto fault = faultOf(entry, bundle_))
            return badBundle(manifestKey(bundle_.version),
                "\"" + entry.name.value() + "\": key \"" + fault->key + "\": expected " + fault->expected);
        return framework::success();
    }

    objectstore::IObjectStore& store_;
    const LoadedBundle* previous_;
    const Deadline deadline_;
    const std::stop_token& stop_;
    Bundle bundle_;
};

} // namespace

objectstore::ObjectKey manifestKey(framework::BundleVersion version)
{
    return objectstore::ObjectKey("bundles/" + std::to_string(version.value()));
}

objectstore::ObjectKey partKey(const std::string& digest) { return objectstore::ObjectKey("bundle-parts/" + digest); }

Result<BundleManifest> parseBundleManifest(const std::string& text, const objectstore::ObjectKey& key)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, key.value(), ErrorCode::BadBundle));
    CheckedObject object(json, key.value(), "", ErrorCode::BadBundle);
    BundleManifest manifest;
    object.number("manifest_format", manifestFormat, manifestFormat);
    manifest.version = framework::BundleVersion(object.number("version", 1, maxBundleVersion));
    manifest.common = object.text("common");
    manifest.parts = object.texts("parts");
    manifest.signedOffBy = object.text("signed_off_by");
    manifest.signedOffAt = object.text("signed_off_at");
    if (!isPowerOfTwo(manifest.parts.size()) || manifest.parts.size() > maxParts)
        object.fail("parts", "a power of two of digests, at most " + std::to_string(maxParts));
    BOOST_OUTCOME_TRYV(object.finish());
    return manifest;
}

std::string bundleManifestText(const BundleManifest& manifest)
{
    web::json::value json = web::json::value::object(true);
    json["manifest_format"] = web::json::value::number(manifestFormat);
    json["version"] = web::json::value::number(manifest.version.value());
    json["common"] = web::json::value::string(manifest.common);
    std::vector<web::json::value> parts;
    for (const std::string& digest : manifest.parts)
        parts.push_back(web::json::value::string(digest));
    json["parts"] = web::json::value::array(std::move(parts));
    json["signed_off_by"] = web::json::value::string(manifest.signedOffBy);
    json["signed_off_at"] = web::json::value::string(manifest.signedOffAt);
    return json.serialize();
}

std::string bundleDigest(const std::string& manifestText) { return sha256(manifestText); }

SplitBundle splitBundle(const Bundle& bundle) { return splitBundle(bundle, partCount(bundle)); }

SplitBundle splitBundle(const Bundle& bundle, std::size_t parts)
{
    SplitBundle split;
    split.manifest.version = bundle.version;
    const auto add = [&split](std::string text) {
        std::string digest = sha256(text);
        split.parts.push_back({ digest, std::move(text) });
        return digest;
    };
    split.manifest.common = add(commonText(bundle));
    for (const auto& models : modelsByPart(bundle, parts))
        split.manifest.parts.push_back(add(entriesText(entriesOf(bundle, models))));
    return split;
}

Result<LoadedBundle> loadBundle(objectstore::IObjectStore& store, const BundleHead& head, const LoadedBundle* previous,
    Deadline deadline, const std::stop_token& stop)
{
    return BundleLoader(store, previous, deadline, stop).run(head);
}

} // namespace lagoon::bundle
