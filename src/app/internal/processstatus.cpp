#include "app/internal/processstatus.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"

#include <algorithm>
#include <cpprest/http_client.h>

namespace lagoon::app {

namespace {

using framework::CheckedObject;
using framework::Error;
using framework::ErrorCode;
using framework::Result;

constexpr framework::Milliseconds requestTimeout { 2000 };
const std::string step = "read process status";

Result<ProcessStatus> parseStatus(const std::string& text, const std::string& source)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(text, source, ErrorCode::BadObject));
    CheckedObject object(json, source, "", ErrorCode::BadObject);
    ProcessStatus status;
    status.role = object.text("role");
    status.vm = framework::VmName(object.text("vm"));
    status.bundleVersion = framework::BundleVersion(object.number("bundle_version", 0, UINT64_MAX));
    // `finish` isn't called, as it would refuse the other keys of the status, which depend on the role.
    if (status.role.empty() || status.vm.value().empty() || !object.has("bundle_version"))
        return Error { ErrorCode::BadObject, step, source, "expected \"role\", \"vm\" and \"bundle_version\"" };
    return status;
}

} // namespace

Result<ProcessStatus> readProcessStatus(const framework::Endpoint& ops, framework::Deadline deadline)
{
    const auto wait = std::min(requestTimeout, deadline.remaining(framework::SystemClock().now()));
    web::http::client::http_client_config config;
    config.set_timeout(std::max(wait, framework::Milliseconds(1)));
    try {
        web::http::client::http_client client(web::uri("http://" + ops.value()), config);
        const web::http::http_response response = client.request("GET", "/status").get();
        if (response.status_code() != web::http::status_codes::OK)
            return Error { ErrorCode::NotReady, step, ops.value(), "status " + std::to_string(response.status_code()) };
        return parseStatus(response.extract_utf8string(true).get(), ops.value());
    } catch (const std::exception& exception) {
        return Error { ErrorCode::LinkLost, step, ops.value(), exception.what() };
    }
}

} // namespace lagoon::app
