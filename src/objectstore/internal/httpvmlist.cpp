#include "objectstore/internal/httpvmlist.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"
#include "framework/jsonrepair.h"
#include "framework/logging.h"

#include <algorithm>
#include <cpprest/uri_builder.h>

namespace lagoon::objectstore {

namespace {

using framework::CheckedObject;
using framework::Deadline;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::Result;

constexpr std::size_t maxListBytes = 16 * 1024 * 1024;
constexpr Milliseconds maxWatchWait { 30000 };
constexpr unsigned ok = 200;
/// An entry in which the value of one of these can't be parsed must not hide the others.
const std::vector<std::string> entryFields { "vm", "role", "state", "site", "failure_domain", "pool", "endpoint" };

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

/// Unknown keys are ignored, since the platform owns the format and may extend it.
Result<VmEntry> vmEntry(const web::json::value& json)
{
    CheckedObject entry(json, "VM list's entry", "", ErrorCode::BadObject);
    VmEntry vm;
    vm.vm = framework::VmName(entry.text("vm"));
    vm.role = vmRole(entry);
    vm.state = vmState(entry);
    vm.site = framework::SiteName(entry.text("site"));
    vm.failureDomain = framework::FailureDomainName(entry.text("failure_domain"));
    if (vm.role == VmRole::Upstream)
        vm.pool = framework::PoolName(entry.text("pool"));
    vm.endpoint = framework::Endpoint(entry.text("endpoint"));
    BOOST_OUTCOME_TRYV(entry.check());
    return vm;
}

Result<VmListSnapshot> vmList(const std::string& body)
{
    const framework::JsonLimits limits { .bytes = maxListBytes };
    auto json = framework::parseJson(body, "VM list", ErrorCode::BadObject, limits);
    if (json.has_error())
        json = framework::parseJson(
            framework::replaceUnparsableMembers(body, entryFields, limits), "VM list", ErrorCode::BadObject, limits);
    BOOST_OUTCOME_TRYV(json);
    CheckedObject answer(json.value(), "VM list", "", ErrorCode::BadObject);
    VmListSnapshot snapshot;
    snapshot.version = answer.number("version", 0, UINT64_MAX);
    const std::vector<web::json::value> entries = answer.elements("vms");
    BOOST_OUTCOME_TRYV(answer.finish());
    for (const web::json::value& entry : entries) {
        const auto vm = vmEntry(entry);
        if (vm.has_error())
            framework::logWarning("platform", "VM left out: " + describe(vm.error()));
        else
            snapshot.vms.push_back(vm.value());
    }
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
    HttpCall call { "vms", "VM list", CallEffect::Read, { "GET", {}, {}, {} } };
    call.wait = known == 0 ? Milliseconds(0) : wait;
    web::uri_builder uri("/v1/vms");
    uri.append_query("known", known).append_query("timeout_ms", call.wait.count());
    call.request.target = uri.to_string();
    // The server answers at the end of its wait, so the answer may arrive up to one call timeout after the deadline.
    BOOST_OUTCOME_TRY(answer, calls_->send(call, Deadline(framework::SteadyTime::max()), stop));
    if (answer.status != ok) {
        calls_->countResult(call, "refused");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    }
    auto snapshot = vmList(answer.body);
    calls_->countResult(call, snapshot ? "ok" : "malformed");
    return snapshot;
}

} // namespace lagoon::objectstore
