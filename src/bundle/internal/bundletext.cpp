#include "bundle/bundletext.h"

#include "bundle/internal/bundlereader.h"

namespace lagoon::bundle {

namespace {

constexpr std::uint64_t supportedFormat = 1;

} // namespace

framework::Result<Bundle> parseBundle(const std::string& text, const std::string& source)
{
    const framework::JsonLimits limits { .bytes = maxBundleBytes };
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, framework::ErrorCode::BadBundle, limits));
    framework::CheckedObject object(json, source, "", framework::ErrorCode::BadBundle);
    Bundle bundle;
    object.number("format", supportedFormat, supportedFormat);
    bundle.version = framework::BundleVersion(object.number("version", 1, maxBundleVersion));
    readCommon(object, bundle);
    readEntries(object, bundle);
    BOOST_OUTCOME_TRYV(object.finish());
    return bundle;
}

} // namespace lagoon::bundle
