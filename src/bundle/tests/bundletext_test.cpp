#include "bundle/bundletext.h"

#include "bundle/tests/bundlefixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::bundle;

namespace {

const std::string pools = R"([{"name":"drafting","site":"south","kind":"engine","memory_mib":1000},
    {"name":"north-drafting","site":"north","kind":"engine","memory_mib":500},
    {"name":"booking","site":"south","kind":"service"}])";
const std::string model
    = R"({"name":"notes","version":"v1","memory_mib":600,"pools":["drafting"],"replicas":{"south":2}})";

std::string bundleOf(const std::string& models, const std::string& extraKeys = "")
{
    return R"({"format":1,"version":7,"pools":)" + pools + R"(,"models":[)" + models + "]" + extraKeys + "}";
}

std::string faultOf(const std::string& text)
{
    const auto result = parseBundle(text, "bundle.json");
    return result ? "" : framework::describe(result.error());
}

} // namespace

BOOST_AUTO_TEST_SUITE(BundleText)

BOOST_AUTO_TEST_CASE(aCompleteBundleIsParsed)
{
    const auto result = parseBundle(tests::bundleText(7), "bundle.json");
    BOOST_REQUIRE_MESSAGE(result.has_value(), faultOf(tests::bundleText(7)));
    const Bundle& bundle = result.value();
    BOOST_TEST(bundle.version.value() == 7U);
    BOOST_TEST(bundle.policy.weightLoadsAtFullSpeed == 3U);
    BOOST_TEST(
        bundle.decidedReplicas(framework::ModelName("notes"), framework::AdapterName(), framework::SiteName("south"))
        == 2U);
    BOOST_TEST(
        bundle.decidedReplicas(framework::ModelName("notes"), framework::AdapterName(), framework::SiteName("north"))
        == 0U);
    BOOST_TEST(bundle.adapter(framework::ModelName("notes"), framework::AdapterName("kiosk"))->memory.value() == 10U);
    BOOST_TEST(bundle.service(framework::ServiceName("booking"))->defaults.timeout.count() == 2000);
    BOOST_TEST(bundle.model(framework::ModelName("notes"))->defaults.isRepeatable);
}

BOOST_AUTO_TEST_CASE(errorsNameTheKeyAndTheExpectedValue)
{
    struct Case {
        std::string text;
        std::string key;
        std::string expected;
    };
    const auto with = [](const std::string& from, const std::string& to) {
        std::string changed = model;
        return bundleOf(changed.replace(changed.find(from), from.size(), to));
    };
    const std::string adapter = R"({"name":"a","model":"notes","version":"v1","memory_mib":10,"replicas":{"south":1}})";
    const std::string oversized
        = R"({"name":"a","model":"notes","version":"v1","memory_mib":500,"replicas":{"south":1}})";
    const std::string orphan = R"({"name":"a","model":"x","version":"v1","memory_mib":10,"replicas":{"south":1}})";
    const std::vector<Case> cases {
        { bundleOf(model + "," + model), "models[1].name", "isn't there already" },
        { with("\"south\":2", "\"south\":-2"), "models[0].replicas.south", "whole number from 0" },
        { with("\"south\":2", "\"south\":1.5"), "models[0].replicas.south", "whole number from 0" },
        { with("\"south\":2", "\"east\":2"), "models[0].replicas.east", "a site of one of its pools" },
        { with("[\"drafting\"]", "[\"nowhere\"]"), "models[0].pools", "\"nowhere\" is none" },
        { with("[\"drafting\"]", "[\"booking\"]"), "models[0].pools", "\"booking\" is none" },
        { with("[\"drafting\"]", "[]"), "models[0].pools", "at least one pool" },
        { with("[\"drafting\"]", "[\"drafting\",\"drafting\"]"), "models[0].pools", "there twice" },
        { with("600", "1001"), "models[0].memory_mib", "at most the accelerator memory" },
        { with("\"memory_mib\":600", "\"memory_mib\":\"600\""), "models[0].memory_mib", "whole number" },
        { with("\"name\":\"notes\"", "\"name\":\"no/tes\""), "models[0].name", "letters" },
        { with("\"name\":\"notes\"", "\"name\":\"..\""), "models[0].name", "letters" },
        { with("\"version\"", "\"tpyo\":1,\"version\""), "models[0].tpyo", "unknown key" },
        { with("\"version\":\"v1\",", ""), "models[0].version", "there is none" },
        { bundleOf(model, ",\"adapters\":[" + orphan + "]"), "adapters[0].model", "a model of this bundle" },
        { bundleOf(model, ",\"adapters\":[" + adapter + "," + adapter + "]"), "adapters[1].name", "already" },
        { bundleOf(model, ",\"adapters\":[" + oversized + "]"), "adapters[0].memory_mib", "1100 MiB" },
        { bundleOf(model, R"(,"services":[{"name":"s","pools":["drafting"]}])"), "services[0].pools", "kind service" },
        { bundleOf(model, R"(,"policy":{"cold_start_weight":-1})"), "policy.cold_start_weight", "a number" },
        { R"({"format":2,"version":7})", "format", "from 1 to 1" },
        { R"({"format":1,"version":0})", "version", "from 1" },
        { R"({"format":1,"version":7,"models":{}})", "models", "an array" },
    };
    for (const Case& each : cases) {
        const std::string fault = faultOf(each.text);
        BOOST_TEST_INFO(each.text);
        BOOST_TEST(fault.find("key \"" + each.key + "\"") != std::string::npos, fault);
        BOOST_TEST(fault.find(each.expected) != std::string::npos, fault);
        BOOST_TEST(fault.find("bundle.json: bad_bundle") != std::string::npos, fault);
    }
}

BOOST_AUTO_TEST_CASE(malformedTextsAreRefused)
{
    BOOST_TEST(faultOf("").find("not JSON") != std::string::npos);
    BOOST_TEST(faultOf("[]").find("an object") != std::string::npos);
    BOOST_TEST(faultOf(std::string(40, '[')).find("nested deeper") != std::string::npos);
    BOOST_TEST(faultOf(std::string(20 * 1024 * 1024, ' ')).find("larger than") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
