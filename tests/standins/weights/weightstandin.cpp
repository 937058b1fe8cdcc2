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
    , tokensAt_(steady_clock::now())
{
}

void WeightStandin::answer(Exchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.method != "GET" || request.path.compare(0, weightsPrefix.size(), weightsPrefix) != 0)
        return replyError(exchange, 404, "no_such_path");
    if (!takesToken())
        return exchange.reply(429, "", { { "retry-after", "1" } });
    transfer(exchange);
}

bool WeightStandin::takesToken()
{
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - tokensAt_).count();
    const double most = std::ceil(options_.fetchesPerSecond);
    tokens_ = std::min(most, tokens_ + seconds * options_.fetchesPerSecond);
    tokensAt_ = now;
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
    mostActive_ = std::max(mostActive_, ++active_);
    double done = 0;
    auto last = steady_clock::now();
    bool isCallerGone = false;
    while (done < static_cast<double>(options_.transfer.count()) && !isCallerGone) {
        lock.unlock();
        isCallerGone = exchange.waitForCallerGone(progressInterval);
        lock.lock();
        const auto now = steady_clock::now();
        const double share = std::min(1.0, static_cast<double>(options_.atFullSpeed) / static_cast<double>(active_));
        done += std::chrono::duration<double, std::milli>(now - last).count() * share / slowFactor_;
        last = now;
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
    record["most_at_once"] = value::number(mostActive_);
    return record;
}

} // namespace lagoon::standins
