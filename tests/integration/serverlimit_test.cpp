#include "fleet/runningfleet.h"
#include "support/waitfor.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <thread>

using namespace lagoon::fleet;
using lagoon::framework::Milliseconds;
using lagoon::framework::SteadyTime;
using lagoon::testsupport::waitFor;

namespace {

constexpr std::size_t routers = 5;
/// What a server in need is promised: from this time after it first named its limit, in each window of this length, at
/// most one and a half times what the limit allows and a few requests more.
constexpr Milliseconds noticeTime { 3000 };
constexpr Milliseconds window { 4000 };
constexpr double excess = 1.5;
constexpr int slack = 5;
/// How long a test goes on sending requests once the promise holds.
constexpr Milliseconds observedTime { 5000 };

SteadyTime now() { return std::chrono::steady_clock::now(); }

int allowedInWindow(double limit)
{
    return static_cast<int>(limit * excess * std::chrono::duration<double>(window).count()) + slack;
}

/// The greatest number of arrivals in one window that begins after `from`.
int mostInWindow(const ServerStandin& server, SteadyTime from)
{
    std::vector<SteadyTime> arrivals = server.arrivals();
    std::erase_if(arrivals, [from](SteadyTime at) { return at < from; });
    std::sort(arrivals.begin(), arrivals.end());
    int most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<int>(end - first));
    }
    return most;
}

/// Callers that send requests to all routers in turn until they are stopped.
class Callers {
public:
    using Send = std::function<CallerAnswer(std::size_t router)>;

    Callers(std::size_t count, Milliseconds pause, const Send& send)
    {
        for (std::size_t caller = 0; caller < count; ++caller) {
            threads_.emplace_back([this, caller, pause, send] {
                for (std::size_t sent = caller; !isStopped_; ++sent) {
                    add(send(sent % routers));
                    std::this_thread::sleep_for(pause);
                }
            });
        }
    }
    ~Callers() { stop(); }
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void stop()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }

    /// The answers of the callers. Call after `stop`.
    const std::vector<CallerAnswer>& answers() const { return answers_; }

    std::size_t served() const
    {
        return static_cast<std::size_t>(std::count_if(
            answers_.begin(), answers_.end(), [](const CallerAnswer& answer) { return answer.status == 200; }));
    }

private:
    void add(CallerAnswer answer)
    {
        const std::lock_guard lock(mutex_);
        answers_.push_back(std::move(answer));
    }

    std::atomic<bool> isStopped_ { false };
    std::mutex mutex_;
    std::vector<CallerAnswer> answers_;
    std::vector<std::thread> threads_;
};

/// Several routers, each of which knows all servers.
struct SeveralRouters : RunningFleet {
    SeveralRouters()
    {
        for (std::size_t router = 1; router < routers; ++router)
            fleet.startRouter(router);
        for (std::size_t router = 0; router < routers; ++router)
            waitUntilServing(router);
    }

    void waitUntilServing(std::size_t router)
    {
        waitFor("the router to serve",
            [this, router] { return lookup(router, 8000).status == 200 && generate(router, 8000).status == 200; });
    }

    CallerAnswer lookup(std::size_t router, int deadlineMs)
    {
        return fleet.call({ .target = "/get/1", .attempt = nextAttempt(), .deadlineMs = deadlineMs }, router);
    }

    CallerAnswer generate(std::size_t router, int deadlineMs)
    {
        // Routers prefer other engines for other prompts, so that all engines with the model are asked for.
        const std::string attempt = nextAttempt();
        return fleet.call({ .target = "/model/1",
                              .attempt = attempt,
                              .model = "warm",
                              .deadlineMs = deadlineMs,
                              .prompt = attempt + ":60" },
            router);
    }

    std::string nextAttempt() { return "a" + std::to_string(++attempts_); }

    /// Returns when the promise to a server that has named its limit now holds.
    static SteadyTime waitForNotice()
    {
        const SteadyTime from = now() + noticeTime;
        std::this_thread::sleep_for(noticeTime + observedTime);
        return from;
    }

private:
    std::atomic<int> attempts_ { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLimit, SeveralRouters)

// Prevents routers from sending a server as many requests each as it takes from all together.
BOOST_AUTO_TEST_CASE(allRoutersTogetherKeepToTheLimitOfAPlainServer)
{
    plain1.setLimit("1");
    Callers callers(20, Milliseconds(200), [this](std::size_t router) { return lookup(router, 4000); });
    const SteadyTime from = waitForNotice();
    callers.stop();
    BOOST_TEST(mostInWindow(plain1, from) <= allowedInWindow(1));
    BOOST_TEST(mostInWindow(plain1, from) > 0);
    // The other server takes the rest.
    BOOST_TEST(callers.served() == callers.answers().size());
}

// Prevents the same at an engine; a model that is in greater demand than its engine takes is loaded elsewhere.
BOOST_AUTO_TEST_CASE(allRoutersTogetherKeepToTheLimitOfAnEngine)
{
    engine1.setLimit("1.2");
    Callers callers(10, Milliseconds(200), [this](std::size_t router) { return generate(router, 8000); });
    const SteadyTime from = waitForNotice();
    callers.stop();
    BOOST_TEST(mostInWindow(engine1, from) <= allowedInWindow(1.2));
    BOOST_TEST(mostInWindow(engine1, from) > 0);
    BOOST_TEST(engine2.holds("warm"));
    const auto servedElsewhere = static_cast<std::size_t>(engine2.totalRuns());
    BOOST_TEST(servedElsewhere * 2 > callers.answers().size());
}

// Prevents callers whom no server can take in time from being kept waiting, and untrue times to come back.
BOOST_AUTO_TEST_CASE(whoCannotBeServedInTimeIsRefusedWithATimeToComeBack)
{
    plain1.setLimit("2");
    plain2.setLimit("2");
    Callers callers(40, Milliseconds(50), [this](std::size_t router) { return lookup(router, 3000); });
    const SteadyTime from = waitForNotice();
    callers.stop();
    BOOST_TEST(mostInWindow(plain1, from) <= allowedInWindow(2));
    BOOST_TEST(mostInWindow(plain2, from) <= allowedInWindow(2));
    std::size_t refused = 0;
    for (const CallerAnswer& answer : callers.answers()) {
        if (answer.status == 200)
            continue;
        BOOST_REQUIRE(answer.status == 503);
        BOOST_REQUIRE(answer.headers.contains("Retry-After"));
        refused += std::stod(answer.headers.at("Retry-After")) > 0 ? 1 : 0;
    }
    BOOST_TEST(refused > 0u);
    BOOST_TEST(callers.served() > 0u);
}

// Prevents refusals that name no limit any more, and repeats, from passing by the limit.
BOOST_AUTO_TEST_CASE(refusedRequestsAndRepeatsCount)
{
    plain1.setLimit("1");
    plain2.setLimit("1");
    plain1.refuseNext(1000);
    plain2.failNext(1000);
    Callers callers(20, Milliseconds(100), [this](std::size_t router) { return lookup(router, 2000); });
    const SteadyTime from = waitForNotice();
    callers.stop();
    BOOST_TEST(mostInWindow(plain1, from) <= allowedInWindow(1));
    BOOST_TEST(mostInWindow(plain2, from) <= allowedInWindow(1));
    plain1.refuseNext(0);
    plain2.failNext(0);
}

// Prevents a server that takes nothing for a while from never being asked again.
BOOST_AUTO_TEST_CASE(aServerThatTookNothingIsUsedAgain)
{
    plain1.setLimit("0");
    Callers callers(20, Milliseconds(200), [this](std::size_t router) { return lookup(router, 4000); });
    const SteadyTime from = waitForNotice();
    BOOST_TEST(mostInWindow(plain1, from) <= allowedInWindow(0));
    plain1.setLimit("");
    const std::size_t before = plain1.arrivals().size();
    waitFor("the server to get requests again", [&] { return plain1.arrivals().size() > before + 50; });
    callers.stop();
    BOOST_TEST(callers.served() == callers.answers().size());
}

// Prevents the loss of the limit when those that grant its requests, or a router, are gone or started anew.
BOOST_AUTO_TEST_CASE(theLimitHoldsWithoutAgentsAndAfterRestarts)
{
    engine1.setLimit("1");
    plain1.setLimit("1");
    Callers callers(10, Milliseconds(200), [this](std::size_t router) {
        lookup(router, 1000);
        return generate(router, 1000);
    });
    std::this_thread::sleep_for(noticeTime);
    const SteadyTime from = now();
    fleet.agent(0).kill();
    fleet.agent(1).kill();
    std::this_thread::sleep_for(window);
    fleet.startAgent(0);
    fleet.startAgent(1);
    std::this_thread::sleep_for(window);
    callers.stop();
    BOOST_TEST(mostInWindow(engine1, from) <= allowedInWindow(1));
    BOOST_TEST(mostInWindow(plain1, from) <= allowedInWindow(1));
    BOOST_TEST(mostInWindow(plain1, from) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
