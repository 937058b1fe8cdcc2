#include "standins/weights/weightstandin.h"

#include <algorithm>
#include <cmath>

namespace lagoon::standins {

using framework::Milliseconds;
using std::chrono::steady_clock;
using web::json::value;

namespace {

constexpr Milliseconds progressInterval { 10 };
const std::string weightsPrefix = "/v1/weights/";

} // namespace

WeightStandin::WeightStandin(const WeightOptions& options)
    : options_(options)
    , tokens_(std::ceil(options.fetchesPerSecond))
    , refilledAt_(steady_clock::now())
{
}

void WeightStandin::answer(Exchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.method != "GET" || request.path.compare(0, weightsPrefix.size(), weightsPrefix) != 0)
        return replyError(exchange, 404, "no_such_path");
    if (!tryTakeToken())
        return exchange.reply(429, "", { { "retry-after", "1" } });
    transfer(exchange);
}

bool WeightStandin::tryTakeToken()
{
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    const double capacity = std::ceil(options_.fetchesPerSecond);
    tokens_ = std::min(capacity, tokens_ + seconds * options_.fetchesPerSecond);
    refilledAt_ = now;
    if (tokens_ < 1) {
        ++limited_;
        return false;
    }
    tokens_ -= 1;
    ++fetches_;
    return true;
}

void WeightStandin::transfer(Exchange& exchange)
{
    std::unique_lock lock(mutex_);
    peakActive_ = std::max(peakActive_, ++active_);
    double transferredMs = 0;
    auto updatedAt = steady_clock::now();
    bool isCallerGone = false;
    while (transferredMs < static_cast<double>(options_.transferTime.count()) && !isCallerGone) {
        lock.unlock();
        isCallerGone = exchange.waitForCallerGone(progressInterval);
        lock.lock();
        const auto now = steady_clock::now();
        const double share
            = std::min(1.0, static_cast<double>(options_.fullSpeedFetches) / static_cast<double>(active_));
        transferredMs += std::chrono::duration<double, std::milli>(now - updatedAt).count() * share / slowFactor_;
        updatedAt = now;
    }
    --active_;
    lock.unlock();
    if (!isCallerGone)
        exchange.reply(200, "weights");
}

framework::Result<void> WeightStandin::setFaults(const value& json)
{
    framework::CheckedObject faults(json, "faults", "", framework::ErrorCode::BadRequest);
    const std::lock_guard lock(mutex_);
    slowFactor_ = faults.doubleOr("slow_factor", slowFactor_, 1, 1000000);
    return faults.finish();
}

value WeightStandin::record()
{
    const std::lock_guard lock(mutex_);
    value record;
    record["fetches"] = value::number(fetches_);
    record["limited"] = value::number(limited_);
    record["most_at_once"] = value::number(peakActive_);
    return record;
}

} // namespace lagoon::standins
