#pragma once

#include "fleet/fleet.h"
#include "record.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// The parts that several cases have in common.
namespace lagoon::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A server of the service `plain`, for bookings that must not run twice.
class BookingServer {
public:
    BookingServer(std::string instance, milliseconds work, Record& record)
        : instance_(std::move(instance))
        , work_(work)
        , record_(record)
        , server_([this](standins::Exchange& exchange) { answer(exchange); })
        , endpoint_(server_.start(framework::Endpoint("127.0.0.1:0")).value().value())
    {
    }

    /// What the server writes into the list with its next heartbeat.
    web::json::value entry(const std::string& state)
    {
        web::json::value json;
        json["service"] = web::json::value::string("plain");
        json["address"] = web::json::value::string(endpoint_);
        json["zone"] = web::json::value::string("hall");
        json["version"] = web::json::value::string("v1");
        json["slot-count"] = web::json::value::number(16);
        json["state"] = web::json::value::string(state);
        json["cold-remaining-ms"] = web::json::value::number(0);
        json["seq"] = web::json::value::number(++beats_);
        json["born"] = web::json::value::number(static_cast<std::uint64_t>(1764700000000));
        return json;
    }

    const std::string& instance() const { return instance_; }
    /// The process exits: it accepts nothing more, and its connections are closed.
    void exit() { hasExited_ = true; }

    struct Arrival {
        std::string attempt;
        Clock::time_point at;
    };
    std::vector<Arrival> arrivals() const
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

private:
    void answer(standins::Exchange& exchange)
    {
        const std::string attempt = exchange.request().header("x-request-attempt");
        if (hasExited_)
            return exchange.dropConnection();
        if (exchange.request().header("x-expect-instance") != instance_)
            return exchange.reply(421, "", { { "X-Request-Attempt", attempt }, { "X-Instance-Id", instance_ } });
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back({ attempt, Clock::now() });
        }
        record_.line(instance_ + " runs " + attempt);
        for (const auto end = Clock::now() + work_; Clock::now() < end;) {
            if (exchange.waitForCallerGone(milliseconds(5)))
                return;
            if (hasExited_) {
                record_.line(instance_ + " exits and cuts " + attempt);
                return exchange.dropConnection();
            }
        }
        exchange.reply(200, "booked", { { "X-Request-Attempt", attempt }, { "X-Response-Seal", "seal-" + attempt } });
    }

    std::string instance_;
    milliseconds work_;
    Record& record_;
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::atomic<int> beats_ { 0 };
    std::atomic<bool> hasExited_ { false };
    standins::HttpServer server_;
    std::string endpoint_;
};

/// Writes a server's entry as its heartbeat does, and returns when the store has accepted it.
inline Clock::time_point beat(fleet::Fleet& fleet, const std::string& instance, const web::json::value& entry,
    Record& record, const std::string& note = {})
{
    fleet.store.put("servers", instance, entry);
    record.line("store accepts of " + instance + ": " + entry.at("state").as_string() + note);
    return Clock::now();
}

/// Writes to the record which requests reached the server later than it allows after the acknowledgement. Returns their
/// number.
inline int lateArrivals(
    const BookingServer& server, Clock::time_point acknowledged, milliseconds drainDeadline, Record& record)
{
    int late = 0;
    for (const BookingServer::Arrival& arrival : server.arrivals()) {
        const auto after = std::chrono::duration_cast<milliseconds>(arrival.at - acknowledged);
        if (after <= drainDeadline)
            continue;
        ++late;
        record.line("DRAIN: " + arrival.attempt + " reached " + server.instance() + " " + std::to_string(after.count())
            + " ms after the store accepted that it is draining");
    }
    return late;
}

/// Callers that make one booking after the other until they are stopped.
class Callers {
public:
    Callers(fleet::Fleet& fleet, int count, Record& record)
        : fleet_(fleet)
        , record_(record)
    {
        threads_.reserve(static_cast<std::size_t>(count));
        for (int caller = 0; caller < count; ++caller)
            threads_.emplace_back([this, caller] { callUntilStopped(caller); });
    }

    /// How often callers have got each status so far.
    std::map<int, int> statuses()
    {
        const std::lock_guard lock(mutex_);
        return statuses_;
    }

    void stop()
    {
        stops_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        for (const auto& [status, count] : statuses())
            record_.line("callers got " + std::to_string(status) + ": " + std::to_string(count));
    }

private:
    void callUntilStopped(int caller)
    {
        for (int number = 0; !stops_; ++number) {
            fleet::CallerRequest request;
            request.target = "/post/slot";
            request.attempt = "a-" + std::to_string(caller) + "-" + std::to_string(number);
            request.deadlineMs = 3000;
            const int status = fleet_.call(request).status;
            if (status != 200) {
                record_.line("caller got " + std::to_string(status) + " for " + request.attempt);
                std::this_thread::sleep_for(milliseconds(250));
            }
            const std::lock_guard lock(mutex_);
            ++statuses_[status];
        }
    }

    fleet::Fleet& fleet_;
    Record& record_;
    std::mutex mutex_;
    std::map<int, int> statuses_;
    std::atomic<bool> stops_ { false };
    std::vector<std::thread> threads_;
};

inline bool hasTrouble()
{
    const char* const trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace lagoon::review
