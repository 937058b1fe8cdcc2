#include "objectstore/internal/httpvmlist.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"

#include <algorithm>

namespace lagoon::objectstore {

namespace {

using framework::CheckedObject;
using framework::Deadline;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::Result;
using web::http::status_codes;

constexpr std::size_t maxListBytes = 16 * 1024 * 1024;
constexpr Milliseconds maxWatchWait { 30000 };

VmState vmState(CheckedObject& entry)
{
    const std::string value = entry.text("state");
    if (value == "leaving")
        return VmState::Leaving;
    if (value == "gone")
        return VmState::Gone;
    if (value != "live")
        entry.fail("state", "one of \"live\" \"leaving\" \"gone\"");
    return VmState::Live;
}

VmRole vmRole(CheckedObject& entry)
{
    const std::string value = entry.text("role");
    if (value == "router")
        return VmRole::Router;
    if (value != "upstream")
        entry.fail("role", "one of \"router\" \"upstream\"");
    return VmRole::Upstream;
}

VmEntry vmEntry(CheckedObject& entry)
{
    VmEntry vm;
    vm.vm = framework::VmName(entry.text("vm"));
    vm.role = vmRole(entry);
    vm.state = vmState(entry);
    vm.site = framework::SiteName(entry.text("site"));
    vm.failureDomain = framework::FailureDomainName(entry.text("failure_domain"));
    if (vm.role == VmRole::Upstream)
        vm.pool = framework::PoolName(entry.text("pool"));
    vm.endpoint = framework::Endpoint(entry.text("endpoint"));
    return vm;
}

Result<VmListSnapshot> vmList(const std::string& body)
{
    const framework::JsonLimits limits { .bytes = maxListBytes };
    BOOST_OUTCOME_TRY(json, framework::parseJson(body, "VM list", ErrorCode::BadObject, limits));
    CheckedObject answer(json, "VM list", "", ErrorCode::BadObject);
    VmListSnapshot snapshot;
    snapshot.version = answer.number("version", 0, UINT64_MAX);
    // Unknown keys of an entry are ignored, since the platform owns the format and may extend it.
    for (CheckedObject& entry : answer.objects("vms"))
        snapshot.vms.push_back(vmEntry(entry));
    BOOST_OUTCOME_TRYV(answer.finish());
    return snapshot;
}

} // namespace

HttpVmList::HttpVmList(std::shared_ptr<HttpCalls> calls)
    : calls_(std::move(calls))
{
}

Result<VmListSnapshot> HttpVmList::waitForChange(std::uint64_t known, Deadline deadline, std::stop_token stop)
{
    const Milliseconds wait = std::min(deadline.remaining(framework::SystemClock().now()), maxWatchWait);
    HttpCall call { "vms", "VM list", CallEffect::Read, web::http::http_request("GET") };
    call.wait = known == 0 ? Milliseconds(0) : wait;
    web::uri_builder uri("/v1/vms");
    uri.append_query("known", known).append_query("timeout_ms", call.wait.count());
    call.request.set_request_uri(uri.to_uri());
    // The server answers at the end of its wait, so the answer may arrive up to one call timeout after the deadline.
    BOOST_OUTCOME_TRY(answer, calls_->send(call, Deadline(framework::SteadyTime::max()), stop));
    if (answer.status != status_codes::OK) {
        calls_->countResult(call, "refused");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    }
    auto snapshot = vmList(answer.body);
    calls_->countResult(call, snapshot ? "ok" : "malformed");
    return snapshot;
}

} // namespace lagoon::objectstore
