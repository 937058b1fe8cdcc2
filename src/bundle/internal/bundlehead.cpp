#include "bundle/bundlehead.h"

#include "bundle/internal/bundlereader.h"

namespace lagoon::bundle {

objectstore::ObjectKey bundleHeadKey() { return objectstore::ObjectKey("bundle-head"); }

framework::Result<BundleHead> parseBundleHead(const std::string& text)
{
    const std::string source = bundleHeadKey().value();
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, framework::ErrorCode::BadObject));
    framework::CheckedObject object(json, source, "", framework::ErrorCode::BadObject);
    BundleHead head;
    head.version = framework::BundleVersion(object.number("version", 1, maxBundleVersion));
    head.digest = object.text("digest");
    head.nonce = object.text("nonce");
    head.operatorName = object.text("operator");
    head.rolledOutAt = object.text("rolled_out_at");
    BOOST_OUTCOME_TRYV(object.finish());
    return head;
}

std::string bundleHeadText(const BundleHead& head)
{
    web::json::value json = web::json::value::object(true);
    json["version"] = web::json::value::number(head.version.value());
    json["digest"] = web::json::value::string(head.digest);
    json["nonce"] = web::json::value::string(head.nonce);
    json["operator"] = web::json::value::string(head.operatorName);
    json["rolled_out_at"] = web::json::value::string(head.rolledOutAt);
    return json.serialize();
}

} // namespace lagoon::bundle
