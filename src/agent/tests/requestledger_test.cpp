#include "agent/internal/requestledger.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::agent;
using lagoon::framework::ErrorCode;
using lagoon::framework::Execution;
using lagoon::framework::Incarnation;
using lagoon::framework::Milliseconds;
using lagoon::framework::SequenceNumber;
using lagoon::framework::SteadyTime;

namespace {

const Incarnation own { 100 };
const Incarnation router { 7 };
const SequenceNumber noFloor { 1 };
const SteadyTime start { std::chrono::hours(1) };

struct LedgerFixture {
    RequestLedger ledger = RequestLedger::restart(own, { 4, 100, Milliseconds(1000) });
    std::uint64_t session = ledger.openSession(router, start);

    DispatchKey key(std::uint64_t sequence) const { return { router, session, SequenceNumber(sequence) }; }
    auto dispatch(std::uint64_t sequence, std::uint64_t floor = 1)
    {
        return ledger.dispatch(key(sequence), own, SequenceNumber(floor));
    }
    auto resolve(std::uint64_t sequence, std::uint64_t floor = 1)
    {
        return ledger.resolve(key(sequence), own, SequenceNumber(floor));
    }
};

template <typename Result> void checkRefused(const Result& result, ErrorCode code, Execution execution)
{
    BOOST_REQUIRE(result.has_error());
    BOOST_CHECK(result.error().code == code);
    BOOST_CHECK(result.error().execution == execution);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLedgers)

// Prevents a second run: a router's link goes silent before its dispatch frame arrives. The router resolves the id over
// a new link, gets "not run" and sends the request elsewhere. Minutes later the old frame arrives and must be refused.
BOOST_FIXTURE_TEST_CASE(aLateFrameAfterAResolveDoesNotRun, LedgerFixture)
{
    BOOST_CHECK(resolve(1).value() == ResolveVerdict::Fenced);
    checkRefused(dispatch(1), ErrorCode::Fenced, Execution::NotRun);
    BOOST_CHECK(resolve(1).value() == ResolveVerdict::Fenced);
    BOOST_TEST(!ledger.isRunning(key(1)));
}

BOOST_FIXTURE_TEST_CASE(aCancelBeforeItsDispatchFencesIt, LedgerFixture)
{
    ledger.fence(key(1));
    checkRefused(dispatch(1), ErrorCode::Fenced, Execution::NotRun);
}

BOOST_FIXTURE_TEST_CASE(aRepeatedFrameRunsOnce, LedgerFixture)
{
    BOOST_CHECK(dispatch(1).value() == DispatchVerdict::Started);
    BOOST_CHECK(dispatch(1).value() == DispatchVerdict::AlreadyKnown);
    ledger.complete(key(1), std::nullopt);
    BOOST_CHECK(dispatch(1).value() == DispatchVerdict::AlreadyKnown);
    BOOST_CHECK(resolve(1).value() == ResolveVerdict::Done);
}

// An agent restarts with an empty ledger while a frame to its previous process is still in transit. If the frame were
// run, the upstream could book a slot twice; "not run" as the answer to a resolve could be wrong for the previous
// process.
BOOST_FIXTURE_TEST_CASE(aFrameForThePreviousProcessIsRefused, LedgerFixture)
{
    checkRefused(ledger.dispatch(key(1), Incarnation(99), noFloor), ErrorCode::StaleIncarnation, Execution::NotRun);
    checkRefused(ledger.resolve(key(1), Incarnation(99), noFloor), ErrorCode::StaleIncarnation, Execution::Unknown);
}

BOOST_FIXTURE_TEST_CASE(sessionsDifferAcrossRestarts, LedgerFixture)
{
    auto restarted = RequestLedger::restart(Incarnation(5000), {});
    BOOST_TEST(restarted.openSession(router, start) != session);
}

BOOST_FIXTURE_TEST_CASE(anotherSessionIsRefused, LedgerFixture)
{
    const DispatchKey other { router, session + 1, SequenceNumber(1) };
    checkRefused(ledger.dispatch(other, own, noFloor), ErrorCode::StaleSession, Execution::NotRun);
    checkRefused(ledger.resolve(other, own, noFloor), ErrorCode::StaleSession, Execution::Unknown);
    BOOST_TEST(ledger.openSession(router, start) == session);
}

// Prevents a second run by a frame that the network delays until its request has been settled and its entry dropped:
// only the floor then shows that it was received before.
BOOST_FIXTURE_TEST_CASE(nothingRunsBelowTheFloor, LedgerFixture)
{
    BOOST_REQUIRE(dispatch(1).has_value());
    ledger.complete(key(1), std::nullopt);
    ledger.settle(router, session, SequenceNumber(2));
    BOOST_TEST(ledger.entries() == 0u);
    checkRefused(dispatch(1), ErrorCode::BelowFloor, Execution::NotRun);
    checkRefused(resolve(1), ErrorCode::BelowFloor, Execution::Unknown);
    // A reordered frame with a lower floor doesn't lower the floor.
    checkRefused(dispatch(1, 1), ErrorCode::BelowFloor, Execution::NotRun);
}

BOOST_FIXTURE_TEST_CASE(aRunningEntryBelowTheFloorIsAbandonedOnce, LedgerFixture)
{
    BOOST_REQUIRE(dispatch(1).has_value());
    BOOST_REQUIRE(dispatch(2, 2).has_value());
    const auto abandoned = ledger.takeAbandoned();
    BOOST_REQUIRE(abandoned.size() == 1u);
    BOOST_CHECK(abandoned.front() == key(1));
    BOOST_TEST(ledger.takeAbandoned().empty());
    ledger.complete(key(1), std::nullopt);
    BOOST_TEST(ledger.entries() == 1u);
}

BOOST_FIXTURE_TEST_CASE(answersAreKeptUntilSettled, LedgerFixture)
{
    BOOST_REQUIRE(dispatch(1).has_value());
    ledger.storeHead(key(1), 200, { { "Content-Type", "text/plain" } });
    ledger.storeBytes(key(1), "one ");
    ledger.storeBytes(key(1), "two");
    ledger.complete(key(1), std::nullopt);
    BOOST_REQUIRE(ledger.answer(key(1)));
    BOOST_TEST(ledger.answer(key(1))->bytes == "one two");
    BOOST_TEST(ledger.bytes() == 7u);
    ledger.settle(router, session, SequenceNumber(2));
    BOOST_TEST(!ledger.answer(key(1)));
    BOOST_TEST(ledger.bytes() == 0u);
}

BOOST_FIXTURE_TEST_CASE(entriesAndBytesAreBounded, LedgerFixture)
{
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence)
        BOOST_REQUIRE(dispatch(sequence).has_value());
    checkRefused(dispatch(5), ErrorCode::TooManyWaiting, Execution::NotRun);
    // Without space for a fence the outcome of an unseen id is unknown.
    checkRefused(resolve(6), ErrorCode::TooManyWaiting, Execution::Unknown);
    ledger.storeBytes(key(1), std::string(100, 'x'));
    ledger.complete(key(2), std::nullopt);
    ledger.complete(key(3), std::nullopt);
    ledger.complete(key(4), std::nullopt);
    checkRefused(dispatch(5), ErrorCode::TooManyWaiting, Execution::NotRun);
}

BOOST_FIXTURE_TEST_CASE(onlyRoutersWithoutALinkAreDropped, LedgerFixture)
{
    ledger.linkOpened(router);
    BOOST_REQUIRE(dispatch(1).has_value());
    ledger.forgetDisconnectedRouters(start + std::chrono::hours(1));
    BOOST_TEST(ledger.isRunning(key(1)));
    ledger.linkClosed(router, start);
    ledger.forgetDisconnectedRouters(start + Milliseconds(999));
    BOOST_TEST(ledger.takeAbandoned().empty());
    ledger.forgetDisconnectedRouters(start + Milliseconds(1000));
    BOOST_TEST(ledger.takeAbandoned().size() == 1u);
    ledger.complete(key(1), std::nullopt);
    ledger.forgetDisconnectedRouters(start + Milliseconds(1000));
    BOOST_TEST(ledger.sessions() == 0u);
    checkRefused(resolve(1), ErrorCode::StaleSession, Execution::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
