#include "app/internal/processstatus.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"
#include "http/blockingcalls.h"

#include <algorithm>

namespace lagoon::app {

namespace {

using framework::CheckedObject;
using framework::Error;
using framework::ErrorCode;
using framework::Result;

constexpr framework::Milliseconds requestTimeout { 2000 };
constexpr http::AnswerLimits answerLimits { std::size_t(1024) * 1024, std::size_t(1024) * 1024 };
constexpr unsigned ok = 200;
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
    const auto end = framework::Deadline::after(framework::SystemClock().now(), requestTimeout);
    http::BlockingCalls calls(ops, answerLimits, http::CallClient::Connections::OnePerCall);
    const auto response = calls.call({ "GET", "/status", {}, {} }, std::min(end, deadline));
    if (response.has_error())
        return Error { ErrorCode::LinkLost, step, ops.value(), response.error().detail };
    if (response.value().head.status != ok)
        return Error { ErrorCode::NotReady, step, ops.value(),
            "status " + std::to_string(response.value().head.status) };
    return parseStatus(response.value().body, ops.value());
}

} // namespace lagoon::app
