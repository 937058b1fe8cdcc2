#include "fleet/crashingfleet.h"
#include "support/waitfor.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

using namespace lagoon::fleet;
using lagoon::framework::Milliseconds;
using lagoon::framework::SteadyTime;
using lagoon::testsupport::waitFor;

namespace {

constexpr std::size_t routers = 3;
constexpr std::size_t engines = 5;
/// What operators are promised: once this many servers have ended under requests that share a part, and routers had
/// this time to tell each other, at most so many more such requests reach servers.
constexpr int crashesToNotice = 5;
constexpr Milliseconds noticeTime { 3000 };
constexpr int maxSentAfterNotice = 3;
/// How often sound requests that share the other parts begin, at least, while such requests go on coming.
constexpr double minServedShare = 0.5;

/// Several routers and engines. A crashed engine is back empty after some time, and is listed anew.
struct PoisonPart : RunningFleet {
    PoisonPart()
    {
        for (std::size_t index = 2; index < engines; ++index) {
            fleet.addEngine();
            fleet.startAgent(index);
        }
        for (std::size_t index = 0; index < engines; ++index) {
            EngineStandin& engine = fleet.engine(index);
            engine.setRestartHandler([this, &engine] {
                engine.hold("warm");
                fleet.list(engine, "engines");
            });
            engine.setDownTime(Milliseconds(800));
            engine.setStream(4, 20);
            engine.hold("warm");
            fleet.list(engine, "engines");
        }
        for (std::size_t router = 1; router < routers; ++router)
            fleet.startRouter(router);
        for (std::size_t router = 0; router < routers; ++router)
            waitFor("the router to serve", [this, router] { return generate("", router).status == 200; });
    }

    void crashOnParts(const std::set<std::string>& parts)
    {
        for (std::size_t index = 0; index < engines; ++index)
            fleet.engine(index).crashOnParts(parts);
    }

    /// Sends a request that shares its caller and all parts but the given one with others. Without a part it is sound.
    CallerAnswer generate(const std::string& part, std::size_t router)
    {
        const std::string attempt = "a" + std::to_string(++attempts_);
        const std::string shared = "5c1e07a2:60,91bd3f06:40";
        CallerRequest request;
        request.target = "/resume/1";
        request.attempt = attempt;
        request.model = "warm";
        request.deadlineMs = 4000;
        request.body = attempt;
        request.prompt = shared + (part.empty() ? "" : "," + part + ":30") + "," + attempt + ":20";
        return fleet.call(request, router);
    }

    /// Callers go on sending requests with these parts in turn, to all routers, until the returned object is destroyed.
    std::vector<std::jthread> sendOn(const std::vector<std::string>& parts, std::size_t callers, Milliseconds pause)
    {
        std::vector<std::jthread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            threads.emplace_back([this, parts, pause, caller](const std::stop_token& stop) {
                for (std::size_t sent = caller; !stop.stop_requested(); ++sent) {
                    const std::string& part = parts[sent % parts.size()];
                    (void)generate(part, sent % routers);
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        return threads;
    }

    std::vector<SteadyTime> crashTimes()
    {
        std::vector<SteadyTime> all;
        for (std::size_t index = 0; index < engines; ++index) {
            const auto times = fleet.engine(index).crashTimes();
            all.insert(all.end(), times.begin(), times.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    /// The number of servers that ended later than the promise allows any to.
    int crashesAfterNotice()
    {
        const std::vector<SteadyTime> times = crashTimes();
        if (times.size() < crashesToNotice)
            return 0;
        const SteadyTime from = times[crashesToNotice - 1] + noticeTime;
        return static_cast<int>(std::count_if(times.begin(), times.end(), [from](SteadyTime at) { return at > from; }));
    }

    double servedShare(int requests)
    {
        int served = 0;
        for (int sent = 0; sent < requests; ++sent) {
            served += generate("", static_cast<std::size_t>(sent) % routers).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(Milliseconds(30));
        }
        return static_cast<double>(served) / requests;
    }

private:
    std::atomic<int> attempts_ { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonParts, PoisonPart)

// Prevents requests that are all different, but share the part of the prompt that crashes servers, from crashing one
// server after the other.
BOOST_AUTO_TEST_CASE(requestsWithAPartThatCrashesServersAreRefused)
{
    crashOnParts({ "bad0bad0" });
    {
        const auto callers = sendOn({ "bad0bad0" }, 6, Milliseconds(300));
        std::this_thread::sleep_for(Milliseconds(12000));
    }
    BOOST_TEST(crashesAfterNotice() <= maxSentAfterNotice);
    BOOST_TEST(crashTimes().size() <= static_cast<std::size_t>(crashesToNotice + maxSentAfterNotice));
    for (std::size_t router = 0; router < routers; ++router)
        BOOST_TEST(generate("bad0bad0", router).status == 503);
}

// Prevents sound requests that share the caller and all other parts from being refused or held back meanwhile.
BOOST_AUTO_TEST_CASE(requestsThatShareOnlyTheOtherPartsAreServed)
{
    crashOnParts({ "bad0bad0" });
    const auto callers = sendOn({ "bad0bad0" }, 4, Milliseconds(300));
    const auto sound = sendOn({ "" }, 4, Milliseconds(100));
    std::this_thread::sleep_for(Milliseconds(3000) + 2 * noticeTime);
    BOOST_TEST(servedShare(100) >= minServedShare);
    BOOST_TEST(crashesAfterNotice() <= maxSentAfterNotice);
}

// Prevents a second part that crashes servers from being taken for innocent because the first explains the crashes.
BOOST_AUTO_TEST_CASE(twoPartsThatCrashServersAreBothFound)
{
    crashOnParts({ "bad0bad0", "bad1bad1" });
    {
        const auto callers = sendOn({ "bad0bad0", "bad1bad1" }, 6, Milliseconds(300));
        const auto sound = sendOn({ "" }, 3, Milliseconds(100));
        std::this_thread::sleep_for(Milliseconds(15000));
    }
    // The promise holds for each part.
    BOOST_TEST(crashTimes().size() <= 2U * static_cast<std::size_t>(crashesToNotice + maxSentAfterNotice));
    BOOST_TEST(generate("bad0bad0", 0).status == 503);
    BOOST_TEST(generate("bad1bad1", 1).status == 503);
    BOOST_TEST(servedShare(50) >= minServedShare);
}

// Prevents the last part, which belongs to one request or session, from being taken for one that others share.
BOOST_AUTO_TEST_CASE(theLastPartIsNotJudged)
{
    crashOnParts({ "bad0bad0" });
    {
        const auto callers = sendOn({ "bad0bad0" }, 6, Milliseconds(300));
        waitFor("the part to be refused", [this] { return generate("bad0bad0", 0).status == 503; });
    }
    CallerRequest request;
    request.target = "/resume/1";
    request.attempt = "last";
    request.model = "warm";
    request.prompt = "5c1e07a2:60,bad0bad0:30";
    waitFor("the request to be served", [&] { return fleet.call(request).status == 200; });
}

BOOST_AUTO_TEST_SUITE_END()
