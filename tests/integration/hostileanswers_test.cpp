#include "fleet/runningfleet.h"
#include "support/processusage.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;

namespace {

/// The memory of the machines that agents and routers run on. A process that needs more is killed there.
constexpr double agentMib = 192;
constexpr double routerMib = 260;
constexpr std::size_t endlessBytes = 15 * 1024 * 1024;
/// The largest that are read, and the largest object and page of the platform's store.
constexpr std::size_t reportBytes = 256 * 1024;
constexpr std::size_t storeAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t pageBytes = 1024 * 1024;
/// Of each text, so that what is parsed of one may still be in memory when the next one comes.
constexpr int answers = 4;

std::string repeated(std::size_t bytes, const std::string& begin, const std::string& piece, const std::string& end)
{
    std::string text = begin + piece;
    while (text.size() + piece.size() + end.size() < bytes)
        text += "," + piece;
    return text + end;
}

/// Proper JSON whose values take many times as much memory as their text.
std::vector<std::string> largeTexts(std::size_t bytes)
{
    return { repeated(bytes, R"({"coming":[)", R"("a")", "]}"), repeated(bytes, R"({"runs":[)", "1", "]}"),
        repeated(bytes, R"({"models":[)", "{}", "]}"),
        repeated(bytes, R"({"items":[)", R"({"metadata":{"name":"a"}})", R"(],"at":1})"),
        repeated(bytes, R"({"spec":{"routes":[)", "{}", R"(],"version":9},"at":1})"),
        repeated(bytes, R"({"events":[)", R"({"object":{"metadata":{"name":"a"}}})", R"(],"at":1})"),
        R"({"coming":[")" + std::string(bytes - 20, 'a') + R"("]})" };
}

struct HostilePeers : RunningFleet {
    void checkMemory()
    {
        for (const std::size_t agent : { 0, 1 })
            check(fleet.agent(agent), agentMib);
        check(fleet.router(), routerMib);
    }

    void check(ChildProcess& process, double limit)
    {
        BOOST_REQUIRE(process.isRunning());
        const double peak = usageOf(process.pid()).peakResidentMib;
        BOOST_TEST(peak < limit, process.name() << " had " << peak << " MiB");
    }

    bool isServed(const std::string& target, const std::string& model = {})
    {
        const std::string attempt = "a" + std::to_string(++attempts_);
        return fleet.call({ .target = target, .attempt = attempt, .model = model }).status == 200;
    }

    bool hasLogged(const std::string& text) { return !fleet.logLinesContaining(text).empty(); }

private:
    int attempts_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostileAnswers, HostilePeers)

// Prevents the end of an agent for want of memory, and with it that of its engine's loads: an engine reports proper
// JSON that takes many times its size in memory.
BOOST_AUTO_TEST_CASE(reportsOfEnginesFitInMemory)
{
    for (const std::size_t bytes : { endlessBytes, reportBytes }) {
        for (const std::string& text : largeTexts(bytes)) {
            engine1.setReport(text);
            const int before = engine1.reports();
            waitFor("reports are read", [&] { return engine1.reports() >= before + answers; });
            BOOST_TEST(isServed("/get/1"));
            checkMemory();
        }
    }
    BOOST_TEST(hasLogged("\"answer_refused\""));
    engine1.setReport({});
    waitFor("the engine is heard again", [this] { return hasLogged("\"engine_regained\""); });
    BOOST_TEST(isServed("/model/1", "warm"));
}

// Prevents the end of all processes for want of memory, and of all requests that they have read: the store answers
// proper JSON that takes many times its size in memory.
BOOST_AUTO_TEST_CASE(answersOfTheStoreFitInMemory)
{
    for (const std::size_t bytes : { endlessBytes, storeAnswerBytes, pageBytes }) {
        for (const std::string& text : largeTexts(bytes)) {
            store.setReadAnswer(text);
            const std::size_t before = store.calls();
            waitFor("answers are read", [&] { return store.calls() >= before + 3 * answers; });
            // What is refused takes no server away. A smaller list may truly name none.
            if (bytes == endlessBytes)
                BOOST_TEST(isServed("/get/1"));
            checkMemory();
        }
    }
    BOOST_TEST(hasLogged("\"answer_refused\""));
    store.setReadAnswer({});
    waitFor("the store is followed again", [this] { return isServed("/get/1") && isServed("/model/1", "warm"); });
}

// Prevents the end of a router for want of memory, in which another writer's entries are kept that list names without
// end.
BOOST_AUTO_TEST_CASE(entriesOfTheListFitInMemory)
{
    constexpr int entries = 60;
    constexpr std::size_t names = 4000;
    web::json::value large = Fleet::entry(engine1, "engines", "127.0.0.9:80");
    for (const std::string field : { "in-memory", "on-disk" }) {
        large["at-hand"][field] = web::json::value::array(names);
        for (std::size_t index = 0; index < names; ++index)
            large["at-hand"][field][index] = web::json::value::string(std::string(110, 'm'));
    }
    for (int entry = 0; entry < entries; ++entry) {
        const std::string name = "other-" + std::to_string(entry);
        large["address"] = web::json::value::string("127.0.1." + std::to_string(entry + 1) + ":80");
        store.put("servers", name, large);
        waitFor("the entry is read", [&] { return hasLogged("\"server_listed\",\"server\":\"" + name + "\""); });
    }
    checkMemory();
    BOOST_TEST(hasLogged("\"server_names_left_out\""));
    BOOST_TEST(isServed("/get/1"));
    BOOST_TEST(isServed("/model/1", "warm"));
}

BOOST_AUTO_TEST_SUITE_END()
