#include "standins/engine/enginestandin.h"

#include "framework/randomid.h"
#include "standins/engine/weightfetch.h"

#include <thread>
#include <unistd.h>

namespace lagoon::standins {

using framework::CheckedObject;
using framework::Milliseconds;
using std::chrono::steady_clock;
using web::json::value;

namespace {

constexpr std::uint64_t maxFaultCount = 1000000;
constexpr std::uint64_t maxDelayMs = 600000;
constexpr int crashExitCode = 9;

value keyJson(const ReplicaKey& key)
{
    value json;
    json["model"] = value::string(key.model);
    json["adapter"] = value::string(key.adapter);
    json["version"] = value::string(key.version);
    return json;
}

value eventJson(const ReplicaEvent& event)
{
    value json = keyJson(event.key);
    json["event"] = value::string(event.kind);
    const auto at = std::chrono::duration_cast<std::chrono::microseconds>(event.at.time_since_epoch());
    json["at_us"] = value::number(static_cast<std::uint64_t>(at.count()));
    return json;
}

} // namespace

EngineStandin::EngineStandin(const EngineOptions& options)
    : options_(options)
    , incarnation_(framework::randomNumber() >> 16)
    , replicas_(options.memoryMib, options.checksFencing)
{
}

void EngineStandin::answer(Exchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path == "/v1/state" && request.method == "GET")
        replyState(exchange);
    else if (request.path == "/v1/orders" && request.method == "POST")
        handleOrder(exchange);
    else if (request.path == "/v1/completions" || request.path == "/v1/chat/completions")
        handleCompletion(exchange);
    else
        replyError(exchange, 404, "no_such_path");
}

void EngineStandin::replyState(Exchange& exchange)
{
    std::unique_lock lock(mutex_);
    value state;
    state["incarnation"] = value::number(incarnation_);
    state["memory_mib"] = value::number(replicas_.memoryMib());
    state["running"] = value::number(running_);
    state["waiting"] = value::number(waiting_);
    state["replicas"] = value::array();
    for (const auto& [key, replica] : replicas_.replicas()) {
        value json = keyJson(key);
        json["memory_mib"] = value::number(replica.memoryMib);
        json["state"] = value::string(replicaStateText(replica.state));
        state["replicas"][state["replicas"].size()] = json;
    }
    state["checkpoints"] = value::array();
    for (const ReplicaKey& key : checkpoints_) {
        value json = keyJson(key);
        json["place"] = value::string("disk");
        state["checkpoints"][state["checkpoints"].size()] = json;
    }
    lock.unlock();
    replyJson(exchange, 200, state);
}

void EngineStandin::handleOrder(Exchange& exchange)
{
    const value body = parseBody(exchange.request().body);
    const ReplicaKey key { textField(body, "model"), textField(body, "adapter"), textField(body, "version") };
    const std::string order = textField(body, "order");
    const bool isComplete = !key.model.empty() && !key.version.empty();
    if (isComplete && order == "load")
        load(exchange, key, numberField(body, "memory_mib"), numberField(body, "fence"));
    else if (isComplete && order == "unload")
        unload(exchange, key, numberField(body, "fence"));
    else
        replyError(exchange, 400, "bad_order");
}

void EngineStandin::load(Exchange& exchange, const ReplicaKey& key, std::uint64_t memoryMib, std::uint64_t fence)
{
    std::unique_lock lock(mutex_);
    if (lateLoadsLeft_ > 0) {
        --lateLoadsLeft_;
        ++heldLoads_;
        const Milliseconds delay = lateLoadDelay_;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        startLoad(key, memoryMib, fence);
        lock.lock();
        --heldLoads_;
        lock.unlock();
        return exchange.dropConnection();
    }
    lock.unlock();
    replyOrder(exchange, key, startLoad(key, memoryMib, fence));
}

OrderOutcome EngineStandin::startLoad(const ReplicaKey& key, std::uint64_t memoryMib, std::uint64_t fence)
{
    std::unique_lock lock(mutex_);
    const OrderOutcome outcome = replicas_.load(key, memoryMib, fence, steady_clock::now());
    lock.unlock();
    if (outcome == OrderOutcome::Started)
        std::thread([self = shared_from_this(), key] { self->runLoad(key); }).detach();
    return outcome;
}

void EngineStandin::unload(Exchange& exchange, const ReplicaKey& key, std::uint64_t fence)
{
    std::unique_lock lock(mutex_);
    if (ignoredUnloadsLeft_ > 0) {
        --ignoredUnloadsLeft_;
        lock.unlock();
        return exchange.reply(202, "{}");
    }
    const OrderOutcome outcome = replicas_.unload(key, fence, steady_clock::now());
    lock.unlock();
    if (outcome == OrderOutcome::Started) {
        std::thread([self = shared_from_this(), key] {
            std::this_thread::sleep_for(self->options_.unloadTime);
            const std::lock_guard guard(self->mutex_);
            self->replicas_.finishUnload(key, steady_clock::now());
        }).detach();
    }
    replyOrder(exchange, key, outcome);
}

void EngineStandin::replyOrder(Exchange& exchange, const ReplicaKey& key, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::MemoryShort)
        return replyError(exchange, 507, "memory");
    if (outcome == OrderOutcome::NotLoaded)
        return replyError(exchange, 409, "not_loaded");
    if (outcome != OrderOutcome::StaleFence)
        return exchange.reply(202, "{}");
    value body;
    body["error"] = value::string("stale_fence");
    std::unique_lock lock(mutex_);
    body["fence"] = value::number(replicas_.highestFence(key));
    lock.unlock();
    replyJson(exchange, 409, body);
}

bool EngineStandin::fetchCheckpoint(const ReplicaKey& key)
{
    std::unique_lock lock(mutex_);
    if (checkpoints_.count(key) > 0)
        return true;
    lock.unlock();
    if (!fetchWeights(options_.weightsUrl, key))
        return false;
    lock.lock();
    checkpoints_.insert(key);
    return true;
}

void EngineStandin::runLoad(const ReplicaKey& key)
{
    const bool isFetched = fetchCheckpoint(key);
    std::unique_lock lock(mutex_);
    const Milliseconds half = (options_.loadTime + slowLoad_) / 2;
    lock.unlock();
    std::this_thread::sleep_for(half);
    const LoadFault fault = takeLoadFault();
    if (fault == LoadFault::Die)
        _exit(crashExitCode);
    std::this_thread::sleep_for(half);
    lock.lock();
    replicas_.finishLoad(key, isFetched && fault == LoadFault::None, steady_clock::now());
}

EngineStandin::LoadFault EngineStandin::takeLoadFault()
{
    const std::lock_guard lock(mutex_);
    if (loadFaultsLeft_ == 0)
        return LoadFault::None;
    --loadFaultsLeft_;
    return loadFault_;
}

void EngineStandin::handleCompletion(Exchange& exchange)
{
    CompletionRequest request = parseCompletion(exchange.request());
    std::unique_lock lock(mutex_);
    const bool isLoaded = replicas_.acquire(request.target);
    lock.unlock();
    if (!isLoaded)
        return replyError(exchange, 404, "not_loaded");
    takeSlot();
    runCompletion(exchange, request, callFaults_.take());
    freeSlot();
    lock.lock();
    replicas_.release(request.target);
}

void EngineStandin::runCompletion(Exchange& exchange, const CompletionRequest& request, const CallFaults::Fault& fault)
{
    if (callFaults_.inject(fault, CallStep::Before, exchange))
        return;
    const std::size_t index = beginExecution(exchange, request);
    const std::string end = generate(exchange, request, fault);
    endExecution(index, end);
    if (end != "done" || callFaults_.inject(fault, CallStep::After, exchange))
        return;
    if (!request.isStream)
        return exchange.reply(200, completionJson(request), { { "content-type", "application/json" } });
    exchange.sendChunk("data: [DONE]\n\n");
    exchange.endStream();
}

std::string EngineStandin::generate(
    Exchange& exchange, const CompletionRequest& request, const CallFaults::Fault& fault)
{
    if (request.isStream)
        exchange.beginStream(200, { { "content-type", "text/event-stream" } });
    for (std::uint64_t index = 0; index < request.tokens; ++index) {
        std::unique_lock lock(mutex_);
        const Milliseconds duration = options_.tokenTime + slowToken_;
        lock.unlock();
        if (exchange.waitForCallerGone(duration))
            return "cancelled";
        if (index == request.tokens / 2 && callFaults_.inject(fault, CallStep::During, exchange))
            return "dropped";
        if (request.isStream)
            exchange.sendChunk(completionEvent(request, index));
    }
    return "done";
}

void EngineStandin::takeSlot()
{
    std::unique_lock lock(mutex_);
    ++waiting_;
    slotFreed_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
    ++running_;
}

void EngineStandin::freeSlot()
{
    const std::lock_guard lock(mutex_);
    --running_;
    slotFreed_.notify_one();
}

std::size_t EngineStandin::beginExecution(const Exchange& exchange, const CompletionRequest& request)
{
    const std::lock_guard lock(mutex_);
    executions_.push_back({ exchange.request().header("x-request-id"), request.model, request.prompt, "running" });
    return executions_.size() - 1;
}

void EngineStandin::endExecution(std::size_t index, const std::string& state)
{
    const std::lock_guard lock(mutex_);
    executions_[index].state = state;
}

framework::Result<void> EngineStandin::setFaults(const value& json)
{
    CheckedObject faults(json, "faults", "", framework::ErrorCode::BadRequest);
    const std::lock_guard lock(mutex_);
    if (faults.has("checks_fencing"))
        replicas_.setChecksFencing(faults.flagOr("checks_fencing", true));
    if (faults.has("loads")) {
        CheckedObject loads = faults.object("loads");
        loadFault_ = loads.choiceOr("do", "fail", { "fail", "die" }) == "die" ? LoadFault::Die : LoadFault::Fail;
        loadFaultsLeft_ = loads.numberOr("count", 1, 0, maxFaultCount);
    }
    if (faults.has("late_loads")) {
        CheckedObject late = faults.object("late_loads");
        lateLoadsLeft_ = late.numberOr("count", 1, 0, maxFaultCount);
        lateLoadDelay_ = Milliseconds(late.number("delay_ms", 0, maxDelayMs));
    }
    ignoredUnloadsLeft_ = faults.numberOr("ignored_unloads", ignoredUnloadsLeft_, 0, maxFaultCount);
    slowLoad_ = Milliseconds(faults.numberOr("slow_load_ms", slowLoad_.count(), 0, maxDelayMs));
    slowToken_ = Milliseconds(faults.numberOr("slow_token_ms", slowToken_.count(), 0, maxDelayMs));
    if (faults.has("calls"))
        callFaults_.set(faults.object("calls"));
    return faults.finish();
}

value EngineStandin::record()
{
    const std::lock_guard lock(mutex_);
    value record;
    record["most_used_mib"] = value::number(replicas_.peakUsedMib());
    record["held_loads"] = value::number(heldLoads_);
    record["events"] = value::array();
    for (const ReplicaEvent& event : replicas_.events())
        record["events"][record["events"].size()] = eventJson(event);
    record["violations"] = value::array();
    for (const std::string& violation : replicas_.violations())
        record["violations"][record["violations"].size()] = value::string(violation);
    record["executions"] = value::array();
    for (const Execution& execution : executions_) {
        value json;
        json["request_id"] = value::string(execution.requestId);
        json["model"] = value::string(execution.model);
        json["prompt"] = value::string(execution.prompt);
        json["state"] = value::string(execution.state);
        record["executions"][record["executions"].size()] = json;
    }
    return record;
}

} // namespace lagoon::standins
