#pragma once

#include "framework/types/time.h"
#include "standins/common/httpserver.h"

#include <atomic>
#include <cpprest/json.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lagoon::fleet {

/// What servers of both kinds have in common: they check whom a request is meant for, mark their answers, and keep
/// count.
class ServerStandin {
public:
    ServerStandin(std::string instance, const std::string& address);
    virtual ~ServerStandin() = default;
    ServerStandin(const ServerStandin&) = delete;
    ServerStandin& operator=(const ServerStandin&) = delete;

    const std::string& instance() const { return instance_; }
    std::string endpoint() const { return endpoint_; }
    /// Unix milliseconds of its start. Another start under the same id has a later one.
    std::uint64_t started() const { return started_; }
    /// As a crash and a new start: streams are cut in the middle, and nothing is known of before, but for the counts of
    /// runs that tests ask for.
    void restart();
    /// How often a request of this id was begun.
    int runs(const std::string& attempt) const;
    int totalRuns() const;
    /// When a request was begun last; the clock's epoch if none was.
    framework::SteadyTime lastRunAt() const;
    /// Runs whose caller closed the connection before their end.
    int cancelled() const { return cancelled_; }
    /// The next requests are refused as not run.
    void refuseNext(int count) { refusals_ = count; }
    /// The next ones are begun, and their connection is closed without an answer.
    void dropNext(int count) { drops_ = count; }
    /// The next ones are begun, and answered with 500 as the server's own.
    void failNext(int count) { failures_ = count; }
    std::string lastHeader(const std::string& name) const;
    std::string lastBody() const;

protected:
    virtual bool answerControlRequest(standins::Exchange&) { return false; }
    /// Whether the server has what the request needs; else it is refused as not run.
    virtual bool canRun(const standins::HttpRequest&) { return true; }
    virtual void run(standins::Exchange&) = 0;
    virtual void clearState() { }
    standins::HeaderMap responseHeaders(const standins::HttpRequest&) const;
    void noteCancelled() { ++cancelled_; }

private:
    void answer(standins::Exchange&);

    std::string instance_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    framework::SteadyTime lastRunAt_ {};
    standins::HttpRequest last_;
    std::atomic<int> cancelled_ { 0 };
    std::atomic<int> refusals_ { 0 };
    std::atomic<int> drops_ { 0 };
    std::atomic<int> failures_ { 0 };
    std::atomic<std::uint64_t> started_ { 1764700000000 };
    standins::HttpServer server_;
    std::string endpoint_;
};

/// A plain service's server: answers with what it got.
class PlainStandin final : public ServerStandin {
public:
    using ServerStandin::ServerStandin;

protected:
    void run(standins::Exchange&) override;
};

/// A model engine: holds models and adapters as it is ordered, and streams numbered events.
class EngineStandin final : public ServerStandin {
public:
    using ServerStandin::ServerStandin;

    void hold(const std::string& model);
    bool holds(const std::string& model, const std::string& adapter = {});
    int orders() const { return orders_; }
    /// Orders beyond what fits, or with a lower fence than one before.
    int violations() const { return violations_; }
    /// Events of a stream, and the pause before each.
    void setStream(int events, int pauseMs);
    /// A load takes so long; the engine is busy until its end.
    void setLoadTime(framework::Milliseconds loadTime) { loadTimeMs_ = static_cast<int>(loadTime.count()); }
    /// Loads are accepted, and don't end while this is set.
    void setLoadsStalled(bool areStalled) { areLoadsStalled_ = areStalled; }
    /// The next stream ends in the middle of its event of this number.
    void cutStreamAt(int event) { cutStreamAt_ = event; }

protected:
    bool answerControlRequest(standins::Exchange&) override;
    bool canRun(const standins::HttpRequest&) override;
    void run(standins::Exchange&) override;
    void clearState() override;

private:
    void answerReport(standins::Exchange&);
    void answerOrder(standins::Exchange&);
    void beginLoad(const std::string& model);
    void finishDueLoads();

    mutable std::mutex mutex_;
    std::map<std::string, std::set<std::string>> held_;
    std::uint64_t fence_ = 0;
    std::atomic<int> orders_ { 0 };
    std::atomic<int> violations_ { 0 };
    std::atomic<int> events_ { 3 };
    std::atomic<int> pauseMs_ { 1 };
    std::atomic<int> cutStreamAt_ { 0 };
    std::atomic<bool> areLoadsStalled_ { false };
    std::atomic<int> loadTimeMs_ { 0 };
    std::set<std::string> loading_;
    framework::Deadline loadsEndAt_;
};

/// Models that an engine stand-in has room for.
inline constexpr std::size_t engineCapacity = 2;

} // namespace lagoon::fleet
