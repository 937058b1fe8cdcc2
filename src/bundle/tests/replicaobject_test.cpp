#include "bundle/replicaobject.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::bundle;
using framework::BundleVersion;

namespace {

const objectstore::ObjectKey key = replicaKey(framework::SiteName("ikeja"), framework::ModelName("policy"));

ReplicaObject decided(std::uint32_t count, std::uint64_t version)
{
    ReplicaObject object;
    object.decided = count;
    object.bundleVersion = BundleVersion(version);
    return object;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaObjects)

BOOST_AUTO_TEST_CASE(aWrittenObjectIsReadBack)
{
    ReplicaObject object = decided(2, 7);
    object.lowered = LoweredCount { 1, BundleVersion(8) };
    object.holders.push_back(
        { framework::VmName("vm-1"), framework::Incarnation(UINT64_MAX), "n", HolderState::Loaded });
    object.addRelease({ framework::VmName("vm-2"), "ada", "VM is lost \"for good\"", "2026-12-02T20:00:00Z", "m" });
    const auto read = parseReplicaObject(replicaObjectText(object), key);
    BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : framework::describe(read.error())));
    BOOST_TEST((read.value() == object));
    BOOST_TEST(key.value() == "replicas/ikeja/policy");
}

BOOST_AUTO_TEST_CASE(errorsNameTheKey)
{
    const auto fault = [](const std::string& text) {
        const auto result = parseReplicaObject(text, key);
        return result ? std::string() : result.error().detail;
    };
    BOOST_TEST(fault("{}").find("decided") != std::string::npos);
    BOOST_TEST(fault(R"({"decided":-1,"bundle_version":1})").find("decided") != std::string::npos);
    const std::string holder = R"({"vm":"a","incarnation":1,"nonce":"n","state":"loaded"})";
    const std::string duplicateHolder = R"({"decided":1,"bundle_version":1,"holders":[)" + holder + "," + holder + "]}";
    BOOST_TEST(fault(duplicateHolder).find("holders[1].vm") != std::string::npos);
}

// Prevents a model from having two replicas when the bundle in force decides one: bundle 8 lowers the count from two to
// one, and an agent that still has bundle 7, which allows two, claims the second replica.
BOOST_AUTO_TEST_CASE(aLoweredCountLimitsAgentsWithAnOlderBundle)
{
    ReplicaObject object = decided(2, 7);
    object.lowered = LoweredCount { 1, BundleVersion(8) };
    BOOST_TEST(applyDecision(object, { 2, BundleVersion(7) }) == 1U);
    BOOST_TEST(object.lowered.has_value());
    BOOST_TEST(applyDecision(object, { 1, BundleVersion(8) }) == 1U);
    BOOST_TEST(!object.lowered.has_value());
    BOOST_TEST(applyDecision(object, { 2, BundleVersion(7) }) == 1U);
}

BOOST_AUTO_TEST_CASE(anAbandonedLoweredCountEndsWithTheNextBundle)
{
    ReplicaObject object = decided(2, 7);
    object.lowered = LoweredCount { 1, BundleVersion(8) };
    BOOST_TEST(applyDecision(object, { 3, BundleVersion(9) }) == 3U);
    BOOST_TEST(!object.lowered.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
