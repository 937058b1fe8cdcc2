#include "http/opsserver.h"

#include <boost/test/unit_test.hpp>
#include <cpprest/http_client.h>

using namespace lagoon;

namespace {

web::http::http_response get(const framework::Endpoint& endpoint, const std::string& path)
{
    return web::http::client::http_client(web::uri("http://" + endpoint.value())).request("GET", path).get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OpsServer)

BOOST_AUTO_TEST_CASE(showsMetricsAndReadiness)
{
    auto metrics = std::make_shared<framework::Metrics>();
    metrics->count("lagoon_refusals_total", { { "code", "no_capacity" } });
    std::atomic<bool> isReady = false;
    http::OpsServer server({ [&] { return isReady.load(); }, [] { return std::string("{}"); } }, metrics);
    const auto endpoint = server.start(framework::Endpoint("127.0.0.1:0"));
    BOOST_REQUIRE(endpoint.has_value());
    BOOST_TEST(get(endpoint.value(), "/readyz").status_code() == 503);
    isReady = true;
    BOOST_TEST(get(endpoint.value(), "/readyz").status_code() == 200);
    const std::string text = get(endpoint.value(), "/metrics").extract_utf8string(true).get();
    BOOST_TEST(text.find("lagoon_refusals_total{code=\"no_capacity\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
