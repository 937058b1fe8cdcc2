#pragma once

#include "framework/types/time.h"
#include "standins/common/httpserver.h"

#include <atomic>
#include <cpprest/json.h>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lagoon::fleet {

/// All keys of customers in tests have this in them.
inline const std::string keyMark = "key-of-";

/// The common part of plain servers and engines: checks that a request is meant for this instance, sets the headers of
/// answers, and counts runs.
class ServerStandin {
public:
    ServerStandin(std::string instance, const std::string& address);
    virtual ~ServerStandin() = default;
    ServerStandin(const ServerStandin&) = delete;
    ServerStandin& operator=(const ServerStandin&) = delete;

    std::string instance() const;
    std::string endpoint() const { return endpoint_; }
    /// The server's start time in Unix milliseconds. A restart under the same id has a later one.
    std::uint64_t started() const { return started_; }
    /// The version of the server's software, which an engine writes into each event.
    std::string version() const;
    void setVersion(const std::string& version);
    /// Simulates a crash and a restart: streams are cut off and the server's state is lost. The counts of runs are kept
    /// for the tests.
    void restart();
    /// Simulates the end of the server and the start of another one, with other software, at its address.
    void replaceBy(const std::string& instance, const std::string& version);
    /// A request with this body crashes the server as soon as it is started: all connections are dropped, and the
    /// server is back after the time of `setDownTime`. An empty text ends this.
    void crashOn(const std::string& body);
    /// A request whose prompt has one of these parts, not as its last one, crashes the server once it has begun to
    /// write its answer.
    void crashOnParts(const std::set<std::string>& parts);
    void setDownTime(framework::Milliseconds time) { downTimeMs_ = static_cast<int>(time.count()); }
    /// Called on a thread of the server when it starts again after a crash. Set before the first request.
    void setRestartHandler(std::function<void()> handler) { didRestart_ = std::move(handler); }
    int crashes() const { return static_cast<int>(crashTimes().size()); }
    std::vector<framework::SteadyTime> crashTimes() const;
    /// How many times a request with this id was started.
    int runs(const std::string& attempt) const;
    /// Whether the server closed the connection of a request with this id before the end of its answer.
    bool hasBrokenOff(const std::string& attempt) const;
    /// How many times any request was started.
    int totalRuns() const;
    /// When the last request was started; the clock's epoch if there was none.
    framework::SteadyTime lastRunAt() const;
    /// The number of runs whose connection was closed before their end.
    int cancelled() const { return cancelled_; }
    /// Refuses the next requests as not run.
    void refuseNext(int count) { refusals_ = count; }
    /// Sends each refusal a second time, late: before the next answer over its connection.
    void repeatRefusals() { repeatsRefusals_ = true; }
    /// Answers that refuse a request don't name it.
    void refuseWithoutId() { refusesWithoutId_ = true; }
    /// Starts the next requests, but closes their connections without an answer.
    void dropNext(int count) { drops_ = count; }
    /// Starts the next requests, but answers them with the server's own 500.
    void failNext(int count) { failures_ = count; }
    /// Answers name this limit of requests a second, in the header's text form, until it is set to an empty text.
    void setLimit(const std::string& limit);
    /// Answers say that the server leaves.
    void setLeaving(bool isLeaving) { isLeaving_ = isLeaving; }
    /// Turns all requests away and asks for a rest of so many seconds, in the header's text form, until it is set to an
    /// empty text.
    void askForRest(const std::string& seconds);
    /// Requests that were started, with what the server was told of their callers.
    struct Run {
        std::string attempt;
        std::string customer;
        bool hasKey = false;
        framework::SteadyTime at {};
    };
    std::vector<Run> startedRuns() const;
    /// When requests arrived, also those that were refused.
    std::vector<framework::SteadyTime> arrivals() const;
    /// A header of the last request that was started.
    std::string lastHeader(const std::string& name) const;
    std::string lastBody() const;

protected:
    /// Answers requests to the server's own paths. Returns false for all other requests.
    virtual bool answerControlRequest(standins::Exchange&) { return false; }
    /// Whether the server has what the request needs, such as its model. If not, the request is refused as not run.
    virtual bool canRun(const standins::HttpRequest&) { return true; }
    /// One run of the server's process.
    struct Process {
        std::uint64_t started = 0;
        std::string instance;
        std::string version;
    };
    virtual void run(standins::Exchange&, const Process&) = 0;
    /// Discards the state that a crash loses.
    virtual void clearState() { }
    standins::HeaderMap responseHeaders(const standins::HttpRequest&, const Process&) const;
    /// The headers that all answers have.
    standins::HeaderMap commonHeaders() const;
    void noteCancelled() { ++cancelled_; }
    bool isCrashedByPart(const standins::HttpRequest&) const;
    /// Closes the connection before the end of the answer.
    void breakOff(standins::Exchange&);
    void crash();

private:
    Process process() const;
    void answer(standins::Exchange&);
    bool isCrashedBy(const standins::HttpRequest&) const;
    void refuse(standins::Exchange&, standins::HeaderMap);
    void sendDueRefusal(standins::Exchange&);
    /// The rest that the server asks for; empty if it asks for none.
    std::string rest() const;

    std::string instance_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::set<std::string> brokenOff_;
    std::vector<Run> startedRuns_;
    framework::SteadyTime lastRunAt_ {};
    standins::HttpRequest last_;
    std::string crashBody_;
    std::set<std::string> crashParts_;
    std::string limit_;
    std::string rest_;
    std::vector<framework::SteadyTime> arrivals_;
    std::string version_ { "v1" };
    std::function<void()> didRestart_;
    std::atomic<int> downTimeMs_ { 300 };
    std::vector<framework::SteadyTime> crashTimes_;
    std::atomic<bool> isDown_ { false };
    std::atomic<bool> isLeaving_ { false };
    std::atomic<int> cancelled_ { 0 };
    std::atomic<int> refusals_ { 0 };
    std::atomic<bool> repeatsRefusals_ { false };
    std::atomic<bool> refusesWithoutId_ { false };
    /// The refusals that are due a second time, by connection.
    std::map<std::uint64_t, standins::HeaderMap> dueRefusals_;
    std::atomic<int> drops_ { 0 };
    std::atomic<int> failures_ { 0 };
    std::atomic<std::uint64_t> started_ { 1764700000000 };
    standins::HttpServer server_;
    std::string endpoint_;
};

/// A server of a plain service: answers with the method, path and body of the request.
class PlainStandin final : public ServerStandin {
public:
    using ServerStandin::ServerStandin;

    /// Sets the time that each request takes.
    void setWork(framework::Milliseconds time) { workMs_ = static_cast<int>(time.count()); }
    /// Sets how many bytes more each answer has.
    void setPadding(std::size_t bytes) { padding_ = bytes; }

protected:
    void run(standins::Exchange&, const Process&) override;

private:
    std::atomic<int> workMs_ { 0 };
    std::atomic<std::size_t> padding_ { 0 };
};

/// An inference engine: loads and unloads models and adapters as ordered, and answers with a stream of numbered events.
class EngineStandin final : public ServerStandin {
public:
    using ServerStandin::ServerStandin;

    /// Makes the model loaded without an order.
    void hold(const std::string& model);
    bool holds(const std::string& model, const std::string& adapter = {});
    int orders() const { return orders_; }
    /// The number of orders beyond the engine's capacity or with a lower fencing token than an earlier order.
    int violations() const { return violations_; }
    /// Sets the number of events of a stream and the pause before each event.
    void setStream(int events, int pauseMs);
    /// Sets how many bytes more each event has.
    void setPadding(std::size_t bytes) { padding_ = bytes; }
    /// Sets how long a load takes. The engine is busy until the load ends.
    void setLoadTime(framework::Milliseconds loadTime) { loadTimeMs_ = static_cast<int>(loadTime.count()); }
    /// While set, loads are accepted but do not end.
    void setLoadsStalled(bool areStalled) { areLoadsStalled_ = areStalled; }
    /// While not empty, the text is the answer to all requests for reports.
    void setReport(const std::string& text);
    /// The number of reports that were asked for.
    int reports() const { return reports_; }
    /// Cuts the next stream in the middle of the event with this number.
    void cutStreamAt(int event) { cutStreamAt_ = event; }

protected:
    bool answerControlRequest(standins::Exchange&) override;
    bool canRun(const standins::HttpRequest&) override;
    void run(standins::Exchange&, const Process&) override;
    void clearState() override;

private:
    void answerReport(standins::Exchange&);
    void answerOrder(standins::Exchange&);
    void beginLoad(const std::string& model);
    void finishDueLoads();

    mutable std::mutex mutex_;
    std::map<std::string, std::set<std::string>> held_;
    std::uint64_t fence_ = 0;
    std::string report_;
    std::atomic<int> reports_ { 0 };
    std::atomic<int> orders_ { 0 };
    std::atomic<int> violations_ { 0 };
    std::atomic<int> events_ { 3 };
    std::atomic<int> pauseMs_ { 1 };
    std::atomic<std::size_t> padding_ { 0 };
    std::atomic<int> cutStreamAt_ { 0 };
    std::atomic<bool> areLoadsStalled_ { false };
    std::atomic<int> loadTimeMs_ { 0 };
    std::set<std::string> loading_;
    framework::Deadline loadsEndAt_;
};

/// The number of models that an engine stand-in has capacity for.
inline constexpr std::size_t engineCapacity = 2;

} // namespace lagoon::fleet
