#include "direct/internal/enginewire.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

namespace lagoon::direct {

namespace {

/// More engines than any fleet has.
constexpr double maxWork = 1e6;

} // namespace

BOOST_AUTO_TEST_SUITE(EngineWire)

// Prevents a number of a faulty sender that is out of range from being converted to an integer, the result of which
// differs between processors.
BOOST_AUTO_TEST_CASE(workThatIsOutOfRangeIsBounded)
{
    constexpr float infinity = std::numeric_limits<float>::infinity();
    for (const float work : { 1e38F, infinity, -infinity, std::nanf(""), -1.0F }) {
        wire::fb::EngineStateT state;
        state.held.push_back(std::make_unique<wire::fb::HeldModelT>());
        state.held.front()->work = work;
        const double held = fromWire(state).held.front().work;
        BOOST_TEST((held >= 0 && held <= maxWork), work);
        wire::fb::EngineLoadT load;
        load.held.emplace_back(work, 0U);
        const double reported = fromWire(framework::Endpoint("e"), load).held.front().work;
        BOOST_TEST((reported >= 0 && reported <= maxWork), work);
        wire::fb::WantedT wanted;
        wanted.models.push_back(std::make_unique<wire::fb::WantedModelT>());
        wanted.models.front()->work = work;
        const double demanded = fromWire(wanted, framework::SteadyTime()).front().work;
        BOOST_TEST((demanded >= 0 && demanded <= maxWork), work);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
