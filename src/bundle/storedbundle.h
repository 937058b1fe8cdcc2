#pragma once

#include "bundle/types/bundle.h"
#include "bundle/types/bundlehead.h"
#include "framework/types/error.h"
#include "objectstore/iobjectstore.h"

#include <cstddef>
#include <stop_token>
#include <string>
#include <vector>

/// Storage format of a bundle in the platform: a manifest `bundles/<version>` and the parts that it names,
/// `bundle-parts/<digest>`.
///
/// A value holds at most 1 MiB, a bundle of the target size is larger, and most changes affect one model. Models, with
/// their adapters, are therefore distributed over parts by the hash of the model's name. The content of a part, and
/// with it its key, stays the same from version to version unless one of its models changes, so processes don't read it
/// again.
namespace lagoon::bundle {

/// The value of `bundles/<version>`. The bundle head names the digest of this value.
struct BundleManifest {
    framework::BundleVersion version;
    /// Digest of the part with policy, pools and services.
    std::string common;
    /// Digests of the parts with models and adapters; their number is a power of two.
    std::vector<std::string> parts;
    std::string signedOffBy;
    /// Time of the sign-off in UTC, for display only.
    std::string signedOffAt;

    friend bool operator==(const BundleManifest&, const BundleManifest&) = default;
};

struct BundlePart {
    std::string digest;
    std::string text;
};

/// A bundle split into parts for storage. `signedOffBy` and `signedOffAt` of the manifest are still empty.
struct SplitBundle {
    BundleManifest manifest;
    /// All parts that the manifest names; the common part is the first.
    std::vector<BundlePart> parts;
};

/// A bundle with the manifest that it was loaded from.
struct LoadedBundle {
    BundlePointer bundle;
    BundleManifest manifest;
    /// Digest of the manifest's text.
    std::string digest;
};

objectstore::ObjectKey manifestKey(framework::BundleVersion);
objectstore::ObjectKey partKey(const std::string& digest);
framework::Result<BundleManifest> parseBundleManifest(const std::string& text, const objectstore::ObjectKey&);
std::string bundleManifestText(const BundleManifest&);
/// Returns the digest by which the bundle head names a manifest.
std::string bundleDigest(const std::string& manifestText);

/// Splits a bundle into parts; the number of parts depends on the number of models and adapters.
SplitBundle splitBundle(const Bundle&);
/// Splits a bundle into the given number of parts, which must be a power of two; for benchmarks and tests.
SplitBundle splitBundle(const Bundle&, std::size_t parts);

/// Reads the bundle that the head names. Parts that `previous` (may be null) was loaded from aren't read again. Fails
/// with `BadBundle` if an object doesn't match its digest or is invalid.
framework::Result<LoadedBundle> loadBundle(objectstore::IObjectStore&, const BundleHead&, const LoadedBundle* previous,
    framework::Deadline, const std::stop_token& = {});

} // namespace lagoon::bundle
