#pragma once

#include "bundle/types/bundle.h"
#include "bundle/types/bundlehead.h"
#include "framework/types/error.h"
#include "objectstore/iobjectstore.h"

#include <cstddef>
#include <stop_token>
#include <string>
#include <vector>

/// How a bundle lies in the platform: a manifest `bundles/<version>` and the parts it names, `bundle-parts/<digest>`.
///
/// A value holds at most 1 MiB, a bundle of the target size is larger, and most changes touch one model. So models,
/// with their adapters, are spread over parts by the hash of the model's name: a part's content, and with it its name,
/// stays the same from version to version unless one of its own models changed, and nobody reads it again.
namespace lagoon::bundle {

/// The value of `bundles/<version>`. Its own digest is what the head names.
struct BundleManifest {
    framework::BundleVersion version;
    /// Digest of the part with policy, pools and services.
    std::string common;
    /// Digests of the parts with models and adapters; a power of two of them.
    std::vector<std::string> parts;
    std::string signedOffBy;
    /// UTC, for people.
    std::string signedOffAt;

    friend bool operator==(const BundleManifest&, const BundleManifest&) = default;
};

/// A part's text under its digest.
struct BundlePart {
    std::string digest;
    std::string text;
};

/// A bundle ready to be stored. The manifest's sign-off is still empty.
struct SplitBundle {
    BundleManifest manifest;
    /// All that the manifest names, the common one first.
    std::vector<BundlePart> parts;
};

/// A bundle with the manifest that it was put together from.
struct LoadedBundle {
    BundlePointer bundle;
    BundleManifest manifest;
    /// Of the manifest's text.
    std::string digest;
};

objectstore::ObjectKey manifestKey(framework::BundleVersion);
objectstore::ObjectKey partKey(const std::string& digest);
framework::Result<BundleManifest> parseBundleManifest(const std::string& text, const objectstore::ObjectKey&);
std::string bundleManifestText(const BundleManifest&);
/// What the head names a manifest by.
std::string bundleDigest(const std::string& manifestText);

/// Splits into the number of parts that the number of entries calls for.
SplitBundle splitBundle(const Bundle&);
/// With a given number of parts, a power of two; for measurements.
SplitBundle splitBundle(const Bundle&, std::size_t parts);

/// Reads the bundle that the head names. Parts that `previous` (may be null) was put together from aren't read again.
/// `BadBundle` if something isn't what its digest says.
framework::Result<LoadedBundle> loadBundle(objectstore::IObjectStore&, const BundleHead&, const LoadedBundle* previous,
    framework::Deadline, const std::stop_token& = {});

} // namespace lagoon::bundle
