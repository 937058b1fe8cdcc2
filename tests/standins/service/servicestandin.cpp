#include "standins/service/servicestandin.h"

#include <unistd.h>

namespace lagoon::standins {

using framework::Milliseconds;
using web::json::value;

namespace {

constexpr std::uint64_t maxWorkMs = 600000;
constexpr int crashExitCode = 9;

value echo(const HttpRequest& request)
{
    value json;
    json["method"] = value::string(request.method);
    json["path"] = value::string(request.path);
    json["query"] = value::object();
    for (const auto& [name, text] : request.query)
        json["query"][name] = value::string(text);
    json["headers"] = value::object();
    for (const auto& [name, text] : request.headers)
        json["headers"][name] = value::string(text);
    json["body"] = value::string(request.body);
    return json;
}

} // namespace

ServiceStandin::ServiceStandin(Milliseconds workTime)
    : workTime_(workTime)
{
}

void ServiceStandin::answer(Exchange& exchange)
{
    const CallFaults::Fault fault = callFaults_.take();
    if (callFaults_.inject(fault, CallStep::Before, exchange))
        return;
    const std::size_t index = beginExecution(exchange.request());
    std::unique_lock lock(mutex_);
    if (!crashBody_.empty() && exchange.request().body == crashBody_)
        _exit(crashExitCode);
    const Milliseconds workTime = workTime_;
    lock.unlock();
    if (exchange.waitForCallerGone(workTime))
        return endExecution(index, "cancelled");
    if (callFaults_.inject(fault, CallStep::During, exchange))
        return endExecution(index, "dropped");
    endExecution(index, "done");
    if (!callFaults_.inject(fault, CallStep::After, exchange))
        replyJson(exchange, 200, echo(exchange.request()));
}

std::size_t ServiceStandin::beginExecution(const HttpRequest& request)
{
    const std::lock_guard lock(mutex_);
    executions_.push_back({ request.header("x-request-id"), request.method, request.path,
        textField(parseBody(request.body), "token"), "running" });
    return executions_.size() - 1;
}

void ServiceStandin::endExecution(std::size_t index, const std::string& state)
{
    const std::lock_guard lock(mutex_);
    executions_[index].state = state;
}

framework::Result<void> ServiceStandin::setFaults(const value& json)
{
    framework::CheckedObject faults(json, "faults", "", framework::ErrorCode::BadRequest);
    const std::lock_guard lock(mutex_);
    workTime_ = Milliseconds(faults.numberOr("work_ms", workTime_.count(), 0, maxWorkMs));
    if (faults.has("crash_on"))
        crashBody_ = faults.text("crash_on");
    if (faults.has("calls"))
        callFaults_.set(faults.object("calls"));
    return faults.finish();
}

value ServiceStandin::record()
{
    const std::lock_guard lock(mutex_);
    value record;
    record["executions"] = value::array();
    for (const Execution& execution : executions_) {
        value json;
        json["request_id"] = value::string(execution.requestId);
        json["method"] = value::string(execution.method);
        json["path"] = value::string(execution.path);
        json["token"] = value::string(execution.token);
        json["state"] = value::string(execution.state);
        record["executions"][record["executions"].size()] = json;
    }
    return record;
}

} // namespace lagoon::standins
