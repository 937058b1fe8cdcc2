#include "support/bundlebuilder.h"
#include "support/deployment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

/// A deployment with two sites, each with a router, and an engine at the old site; runs operators' commands against it.
struct OperatorsFixture {
    OperatorsFixture()
    {
        deployment.addUpstream("gpu-1", { .standinArguments = { "--memory-mib", "1000" } });
        deployment.addRouter("entry-1");
        deployment.addRouter("entry-2", { .location = { "new", "b" } });
    }

    static std::string bundleText(std::uint64_t version, std::uint32_t replicas = 1)
    {
        return BundleBuilder(version)
            .enginePool("engines", "old", 1000)
            .model("policy", 700, { "engines" }, { { "old", replicas } })
            .text();
    }

    std::string file(const std::string& name, const std::string& text)
    {
        std::string path = deployment.folder().file(name);
        writeFile(path, text);
        return path;
    }

    /// Runs a command with these arguments, stores its `output` and returns its exit code.
    int run(std::vector<std::string> arguments) { return deployment.runCommand(arguments, &output); }
    /// Appends the platform's URL and, unless empty, the operator's name.
    std::vector<std::string> withPlatform(std::vector<std::string> arguments, const std::string& operatorName = "")
    {
        arguments.insert(arguments.end(), { "--platform", "http://" + deployment.platform() });
        if (!operatorName.empty())
            arguments.insert(arguments.end(), { "--operator", operatorName });
        return arguments;
    }
    int signOff(std::uint64_t version, std::uint32_t replicas = 1)
    {
        const std::string path = file(std::to_string(version) + ".json", bundleText(version, replicas));
        return run(withPlatform({ "bundle", "sign-off", path }, "ada"));
    }
    int rollOut(std::uint64_t version, const std::string& operatorName = "ada")
    {
        return run(withPlatform({ "bundle", "roll-out", std::to_string(version) }, operatorName));
    }
    /// Returns 0 once the bundle version of the head is in force at both routers and the agent.
    int status()
    {
        return run(withPlatform({ "bundle", "status", "--process", deployment.router("entry-1").ops(), "--process",
            deployment.router("entry-2").ops(), "--process", deployment.upstream("gpu-1").ops() }));
    }
    /// Checks that `settings check` rejects settings of this role, valid but for `more`, with this error.
    void checkSettings(const std::string& role, const std::string& more, const std::string& fault)
    {
        const std::string text = R"({"role":")" + role + R"(","vm":"a","site":"old","failure_domain":"a",)"
            + R"("link":"127.0.0.1:0","ops":"127.0.0.1:0","platform":{"url":"http://127.0.0.1:1"},)" + more + "}";
        BOOST_TEST(run({ "settings", "check", file("settings.json", text) }) == 2);
        BOOST_TEST(outputContains(fault), output);
    }
    bool outputContains(const std::string& text) const { return output.find(text) != std::string::npos; }

    Deployment deployment;
    /// The output of the last command.
    std::string output;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorsCommands, OperatorsFixture)

BOOST_AUTO_TEST_CASE(invalidArgumentsAndFilesExitWithTwoAndEachCommandHasHelp)
{
    const std::vector<std::vector<std::string>> commands { { "bundle", "check" }, { "bundle", "sign-off" },
        { "bundle", "roll-out" }, { "bundle", "status" }, { "claim", "release" }, { "settings", "check" }, { "router" },
        { "agent" }, { "bundle" }, { "claim" }, { "settings" } };
    for (std::vector<std::string> arguments : commands) {
        BOOST_TEST_INFO(arguments.back());
        BOOST_TEST(run(arguments) == 2);
        arguments.emplace_back("--help");
        BOOST_TEST(run(arguments) == 0);
        BOOST_TEST(outputContains("usage: lagoonrouter " + arguments.front()), output);
    }
    const std::string bad = file("bad.json", R"({"format":1,"version":1,"models":[{"name":"a"}]})");
    BOOST_TEST(run(withPlatform({ "bundle", "sign-off", bad }, "ada")) == 2);
    BOOST_TEST(outputContains("bad.json: bad_bundle: key \"models[0].version\""), output);
    BOOST_TEST(run({ "bundle", "check", "missing.json" }) == 2);
    BOOST_TEST(run({ "bundle", "roll-out", "1", "--platform", "http://x/y", "--operator", "ada" }) == 2);
    BOOST_TEST(run({ "settings", "check", file("s.json", R"({"role":"agent","vm":3})") }) == 2);
    BOOST_TEST(outputContains("key \"vm\""), output);
    checkSettings("router", R"("callers":"127.0.0.1:0","limits":{"tpyo":1})", "key \"limits.tpyo\": unknown key");
    checkSettings("router", R"("callers":"127.0.0.1:0","dispatch":{"tpyo":1})", "key \"dispatch.tpyo\": unknown key");
    checkSettings("agent", R"("pool":"p","upstream":{"url":"http://127.0.0.1:1","tpyo":1})",
        "key \"upstream.tpyo\": unknown key");
    checkSettings("agent", R"("pool":"p","upstream":{"url":"http://127.0.0.1:1"},"limits":{"tpyo":1})",
        "key \"limits.tpyo\": unknown key");
    BOOST_TEST(run(withPlatform({ "bundle", "status" })) == 0);
    BOOST_TEST(outputContains("none was rolled out"), output);
}

BOOST_AUTO_TEST_CASE(aRolledOutBundleIsInForceAtEveryProcess)
{
    BOOST_TEST(signOff(1) == 0);
    BOOST_TEST(rollOut(1) == 0);
    BOOST_TEST(isReached([&] { return status() == 0; }));
    BOOST_TEST(signOff(2, 0) == 0);
    BOOST_TEST(rollOut(2, "bob") == 0);
    BOOST_TEST(outputContains("1 replica counts lowered"), output);
    BOOST_TEST(isReached([&] { return status() == 0; }));
    BOOST_TEST(outputContains("bundle: version 2, rolled out by bob"), output);
    BOOST_TEST(rollOut(1) == 1);
    BOOST_TEST(outputContains("version 2 is in force, rolled out by bob"), output);
}

// Prevents two operators who roll out at the same moment from each believing that their bundle is in force.
BOOST_AUTO_TEST_CASE(losersOfConcurrentRollOutsAreToldTheWinner)
{
    constexpr std::uint64_t operators = 4;
    for (std::uint64_t version = 1; version <= operators; ++version)
        BOOST_TEST(signOff(version) == 0);
    std::vector<std::unique_ptr<ChildProcess>> racers;
    for (std::uint64_t version = 1; version <= operators; ++version) {
        const std::string name = "operator-" + std::to_string(version);
        const auto arguments = withPlatform({ "bundle", "roll-out", std::to_string(version) }, name);
        racers.push_back(
            std::make_unique<ChildProcess>(name, pathOf(Program::Lagoonrouter), arguments, deployment.folder()));
    }
    std::uint64_t highestWinner = 0;
    for (const auto& racer : racers) {
        const int exitCode = racer->waitForExit();
        BOOST_TEST((exitCode == 0 || exitCode == 1));
        if (exitCode == 1)
            BOOST_TEST(racer->log().find("is in force, rolled out by operator-") != std::string::npos, racer->log());
        else
            highestWinner = std::max<std::uint64_t>(highestWinner, std::stoul(racer->name().substr(9)));
    }
    BOOST_TEST(isReached([&] { return status() == 0; }));
    BOOST_TEST(
        outputContains("bundle: version " + std::to_string(highestWinner) + ", rolled out by operator-"), output);
}

// Prevents a roll-out that is reported as failed although the bundle is in force: the platform has written the object,
// and its response is lost.
BOOST_AUTO_TEST_CASE(aRollOutSucceedsWhenThePlatformsResponseIsLost)
{
    BOOST_TEST(signOff(1) == 0);
    setFaults(deployment.platform(), R"({"lose_answers":{"count":2,"prefix":"bundle"}})");
    BOOST_TEST(rollOut(1) == 0);
    setFaults(deployment.platform(), R"({"lose_answers":{"count":1,"prefix":"replicas"}})");
    BOOST_TEST(signOff(2, 0) == 0);
    BOOST_TEST(rollOut(2) == 0);
    BOOST_TEST(isReached([&] { return status() == 0; }));
}

// A router that starts while the platform is down must become ready once the platform is back, and must never serve an
// older bundle.
BOOST_AUTO_TEST_CASE(aRouterStartedDuringAnOutageBecomesReadyAfterIt)
{
    BOOST_TEST(signOff(1) == 0);
    BOOST_TEST(rollOut(1) == 0);
    BOOST_TEST(isReached([&] { return status() == 0; }));
    setFaults(deployment.platform(), R"({"mode":"refuse"})");
    deployment.router("entry-2").process->kill();
    deployment.restartRouter("entry-2");
    BOOST_TEST(getFrom(deployment.router("entry-2").ops(), "/readyz").status == 503);
    BOOST_TEST(getFrom(deployment.router("entry-1").ops(), "/readyz").status == 200);
    setFaults(deployment.platform(), R"({"mode":"up"})");
    deployment.waitUntilReady();
    BOOST_TEST(status() == 0);
}

BOOST_AUTO_TEST_CASE(aClaimOfALostVmIsReleasedWithItsReason)
{
    const std::string object = R"({"decided":1,"bundle_version":1,"holders":[{"vm":"gpu-9","incarnation":5,)"
                               R"("nonce":"n","state":"loaded"}],"releases":[]})";
    const HttpAnswer stored = call({ .method = "PUT",
        .url = urlOf(deployment.platform(), "/v1/objects/replicas/old/policy"),
        .body = object,
        .headers = { { "If-None-Match", "*" } } });
    BOOST_REQUIRE(stored.status == 200);
    const std::vector<std::string> release { "claim", "release", "--site", "old", "--model", "policy", "--vm", "gpu-9",
        "--reason", "its host burnt down" };
    std::vector<std::string> tooShort = release;
    tooShort.back() = "burnt";
    BOOST_TEST(run(withPlatform(tooShort, "ada")) == 2);
    BOOST_TEST(run(withPlatform(release, "ada")) == 0);
    BOOST_TEST(run(withPlatform(release, "ada")) == 1);
    BOOST_TEST(run(withPlatform({ "bundle", "status" })) == 0);
    BOOST_TEST(outputContains("claimed 0"), output);
    BOOST_TEST(outputContains("gpu-9 released by ada"), output);
    BOOST_TEST(outputContains("its host burnt down"), output);
}

BOOST_AUTO_TEST_SUITE_END()
