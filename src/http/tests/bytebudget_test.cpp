#include "http/bytebudget.h"

#include <boost/test/unit_test.hpp>

using lagoon::http::ByteBudget;
using lagoon::http::ByteReservation;

namespace {

struct SmallBudget {
    using Use = ByteBudget::Use;

    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(ByteBudget::Limits { 100, 60, 40, 70 });
    ByteReservation first { budget, Use::Request, "first" };
    ByteReservation second { budget, Use::Request, "second" };
    ByteReservation answer { budget, Use::Answer, "server" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ByteBudgets, SmallBudget)

// Prevents one caller from using up the memory for requests.
BOOST_AUTO_TEST_CASE(aCallerHasAPartOfTheRoomForRequests)
{
    BOOST_TEST(first.grow(40));
    BOOST_TEST(!first.grow(1));
    BOOST_TEST(second.grow(20));
}

// Prevents requests from using up the memory for the answers to them.
BOOST_AUTO_TEST_CASE(requestsLeaveRoomForAnswers)
{
    BOOST_TEST(first.grow(40));
    BOOST_TEST(!second.grow(21));
    BOOST_TEST(second.grow(20));
    BOOST_TEST(answer.grow(40));
    BOOST_TEST(!answer.grow(1));
}

// Prevents one server from using up the memory.
BOOST_AUTO_TEST_CASE(aServerHasAPartOfTheRoomForAnswers)
{
    BOOST_TEST(answer.grow(70));
    BOOST_TEST(!answer.grow(1));
    BOOST_TEST(first.grow(30));
}

// Prevents a leak of the budget: what was refused or has ended takes no room.
BOOST_AUTO_TEST_CASE(whatEndsGivesItsRoomBack)
{
    {
        ByteReservation ended { budget, Use::Answer, "server" };
        BOOST_TEST(ended.grow(60));
        BOOST_TEST(!ended.grow(60));
        ended.growAnyway(60);
        BOOST_TEST(budget->used() == 120U);
        BOOST_TEST(!first.grow(1));
    }
    BOOST_TEST(budget->used() == 0U);
    BOOST_TEST(answer.grow(70));
}

BOOST_AUTO_TEST_SUITE_END()
