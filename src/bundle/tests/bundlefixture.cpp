#include "bundle/tests/bundlefixture.h"

#include "bundle/bundletext.h"
#include "bundle/rollout.h"
#include "framework/iclock.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::bundle::tests {

std::string bundleText(std::uint64_t version, std::uint32_t replicas)
{
    return R"({"format":1,"version":)" + std::to_string(version) + R"(,
        "policy":{"cold_start_weight":2.5,"weight_loads_per_second":4,"weight_loads_at_full_speed":3},
        "pools":[{"name":"drafting","site":"south","kind":"engine","memory_mib":1000},
                 {"name":"booking","site":"south","kind":"service"}],
        "models":[{"name":"notes","version":"v1","memory_mib":600,"pools":["drafting"],
                   "replicas":{"south":)"
        + std::to_string(replicas) + R"(},"timeout_ms":9000,"repeatable":true,"priority":7}],
        "adapters":[{"name":"kiosk","model":"notes","version":"v2","memory_mib":10,"replicas":{"south":1}}],
        "services":[{"name":"booking","pools":["booking"],"timeout_ms":2000}]})";
}

framework::Deadline testDeadline(int milliseconds)
{
    return framework::Deadline::after(framework::SystemClock().now(), framework::Milliseconds(milliseconds));
}

void rollOutBundle(objectstore::IObjectStore& store, std::uint64_t version, std::uint32_t replicas)
{
    const OperatorAction action { "ada", "2026-12-02T20:00:00Z" };
    const auto bundle = parseBundle(bundleText(version, replicas), "fixture");
    BOOST_REQUIRE(bundle.has_value());
    BOOST_REQUIRE(signOff(store, bundle.value(), action, testDeadline()).has_value());
    const auto result = rollOut(store, framework::BundleVersion(version), action, testDeadline());
    BOOST_REQUIRE_MESSAGE(result.has_value(), (result ? "" : framework::describe(result.error())));
}

} // namespace lagoon::bundle::tests
