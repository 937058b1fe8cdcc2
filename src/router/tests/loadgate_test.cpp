#include "router/internal/loadgate.h"

#include "framework/testing/manualcontrol.h"
#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::router;
using framework::Deadline;
using framework::MebiBytes;
using framework::Milliseconds;

namespace {

const framework::SiteName site("nz-south");

SiteTarget target(const std::string& model) { return { { framework::ModelName(model), {}, {} }, site }; }

/// A gate with one slot at the weight store, occupied by the load of `running`.
class GateFixture {
public:
    GateFixture()
    {
        bundle::PolicyParameters parameters;
        parameters.weightLoadsPerSecond = 10;
        parameters.weightLoadsAtFullSpeed = 1;
        gate_.setPolicy(parameters, policy::makeLoadOrder(parameters));
        gate_.setHomes(1, 0);
        enqueue(load("running"));
    }

    GatedLoad load(const std::string& model) const
    {
        GatedLoad gated;
        gated.where = target(model);
        gated.memory = MebiBytes(60);
        gated.demand.earliest = Deadline::after(control_.now(), Milliseconds(60000));
        gated.demand.waiters = 1;
        return gated;
    }

    void enqueue(const GatedLoad& load)
    {
        gate_.enqueue(load, [this, name = load.where.target.model.value()] { started_.push_back(name); });
    }

    void endRunning()
    {
        gate_.didEnd(target("running"), true);
        control_.advance(Milliseconds(1000));
    }

    Milliseconds soonest(const std::string& model) const { return gate_.forecast(target(model)).soonest; }

    framework::ManualControl control_;
    framework::Metrics metrics_;
    LoadGate gate_ { control_, control_, metrics_ };
    std::vector<std::string> started_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadGates, GateFixture)

// Prevents needless refusals: 50 requests wait for one model, and one request with an earlier deadline for another. The
// load order starts the load for the 50 first. A forecast by deadlines alone would put it second, and the 50 would be
// refused as hopeless.
BOOST_AUTO_TEST_CASE(theForecastFollowsTheLoadOrder)
{
    enqueue(load("single"));
    GatedLoad crowd = load("crowd");
    crowd.demand.earliest = Deadline::after(control_.now(), Milliseconds(90000));
    crowd.demand.waiters = 50;
    enqueue(crowd);
    BOOST_CHECK(soonest("crowd") < soonest("single"));
    endRunning();
    const std::vector<std::string> inOrder { "running", "crowd" };
    BOOST_TEST(started_ == inOrder, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(theHigherPriorityStartsFirst)
{
    enqueue(load("first"));
    GatedLoad urgent = load("urgent");
    urgent.demand.priority = 9;
    enqueue(urgent);
    BOOST_CHECK(soonest("urgent") < soonest("first"));
    endRunning();
    const std::vector<std::string> inOrder { "running", "urgent" };
    BOOST_TEST(started_ == inOrder, boost::test_tools::per_element());
}

// A request of high priority joins the requests that wait for a queued load. The load must move ahead of the other.
BOOST_AUTO_TEST_CASE(aRaisedPriorityMovesAWaitingLoadAhead)
{
    enqueue(load("first"));
    GatedLoad raised = load("raised");
    enqueue(raised);
    BOOST_CHECK(soonest("raised") > soonest("first"));
    raised.demand.priority = 9;
    gate_.setDemand(raised.where, raised.demand);
    BOOST_CHECK(soonest("raised") < soonest("first"));
    endRunning();
    const std::vector<std::string> inOrder { "running", "raised" };
    BOOST_TEST(started_ == inOrder, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
