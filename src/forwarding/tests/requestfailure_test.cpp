#include "forwarding/tests/oneengine.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// Two requests wait for a model; the handling of one of them throws when it is sent.
struct FailingRequest : OneEngine {
    FailingRequest()
    {
        dialect.failFor("/model/failing");
        onTraffic([this] {
            forwarder.setUpstreams({ silent.upstream() });
            catalog::EngineState state;
            state.engine = silent.upstream().endpoint;
            state.expected.push_back({ framework::ModelName("rare"), Milliseconds(1000) });
            forwarder.setEngineState(state);
            forwarder.handle(failing);
            forwarder.handle(next);
        });
    }
    ~FailingRequest() { traffic.stop(); }

    void loadModel()
    {
        traffic.post([this] { forwarder.setEngineState(silent.stateWithModel()); });
    }

    SilentEngine silent;
    std::shared_ptr<RecordingExchange> failing = std::make_shared<RecordingExchange>("/model/failing");
    std::shared_ptr<RecordingExchange> next = std::make_shared<RecordingExchange>("/model/next");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsThatThrow, FailingRequest)

// Prevents the caller of a request whose handling throws from waiting until its deadline.
BOOST_AUTO_TEST_CASE(aRequestWhoseHandlingThrowsIsAnsweredAtOnce)
{
    loadModel();
    waitUntilAnswered(*failing);
    BOOST_TEST(failing->status() == 500u);
    onTraffic([this] { BOOST_TEST(forwarder.requests() == 1u); });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
