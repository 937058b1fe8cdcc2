#include "agent/internal/admissionqueue.h"
#include "agent/internal/httpheaders.h"
#include "agent/internal/memoryaccount.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::agent;
using lagoon::framework::AdapterName;
using lagoon::framework::Deadline;
using lagoon::framework::Incarnation;
using lagoon::framework::MebiBytes;
using lagoon::framework::Milliseconds;
using lagoon::framework::ModelName;
using lagoon::framework::SequenceNumber;
using lagoon::framework::SteadyTime;

namespace {

const SteadyTime start { std::chrono::hours(1) };

ReplicaId model(const char* name) { return { ModelName(name), AdapterName() }; }

WaitingDispatch waiting(std::uint64_t sequence, std::uint8_t priority, int deadlineMs)
{
    return { { Incarnation(1), 1, SequenceNumber(sequence) }, priority,
        Deadline::after(start, Milliseconds(deadlineMs)) };
}

std::vector<WaitingDispatch> takeStartable(AdmissionQueue& admission)
{
    std::vector<WaitingDispatch> started;
    while (admission.hasStartable())
        started.push_back(admission.takeNext());
    return started;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryAccounts)

BOOST_AUTO_TEST_CASE(nothingIsReservedBeforeTheTotalIsKnown)
{
    MemoryAccount account;
    BOOST_TEST(!account.reserve(model("a"), MebiBytes(1)));
    account.setTotal(MebiBytes(100));
    BOOST_TEST(account.reserve(model("a"), MebiBytes(100)));
}

BOOST_AUTO_TEST_CASE(reservationsNeverExceedTheTotal)
{
    MemoryAccount account;
    account.setTotal(MebiBytes(100));
    BOOST_TEST(account.reserve(model("a"), MebiBytes(60)));
    BOOST_TEST(!account.reserve(model("b"), MebiBytes(41)));
    BOOST_TEST(account.reserve(model("b"), MebiBytes(40)));
    BOOST_TEST(account.available().value() == 0u);
    // Reserving again for the same load keeps its reservation.
    BOOST_TEST(account.reserve(model("a"), MebiBytes(60)));
    account.free(model("a"));
    BOOST_TEST(account.available().value() == 60u);
}

BOOST_AUTO_TEST_CASE(theEnginesUseIsRecordedBeyondTheTotal)
{
    MemoryAccount account;
    account.setTotal(MebiBytes(100));
    account.setReservation(model("a"), MebiBytes(130));
    BOOST_TEST(account.used().value() == 130u);
    BOOST_TEST(account.available().value() == 0u);
    BOOST_TEST(!account.reserve(model("b"), MebiBytes(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionQueues)

BOOST_AUTO_TEST_CASE(higherPriorityThenEarlierDeadlineStartsFirst)
{
    AdmissionQueue admission(1, 3);
    BOOST_TEST(admission.enqueue(waiting(1, 4, 500)));
    BOOST_TEST(takeStartable(admission).size() == 1u);
    BOOST_TEST(admission.enqueue(waiting(2, 4, 900)));
    BOOST_TEST(admission.enqueue(waiting(3, 4, 300)));
    BOOST_TEST(admission.enqueue(waiting(4, 9, 950)));
    BOOST_TEST(!admission.enqueue(waiting(5, 9, 950)));
    BOOST_TEST(takeStartable(admission).empty());
    std::vector<std::uint64_t> order;
    for (int turn = 0; turn < 3; ++turn) {
        admission.recordEnd();
        order.push_back(takeStartable(admission).front().key.sequence.value());
    }
    BOOST_TEST(order == (std::vector<std::uint64_t> { 4, 3, 2 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(withoutAQueueOneDispatchStillRuns)
{
    AdmissionQueue admission(1, 0);
    BOOST_TEST(admission.enqueue(waiting(1, 4, 500)));
    BOOST_TEST(takeStartable(admission).size() == 1u);
    BOOST_TEST(!admission.enqueue(waiting(2, 4, 500)));
}

BOOST_AUTO_TEST_CASE(aRemovedDispatchFreesItsSlotInTheQueue)
{
    AdmissionQueue admission(1, 1);
    BOOST_TEST(admission.enqueue(waiting(1, 4, 500)));
    BOOST_TEST(takeStartable(admission).size() == 1u);
    BOOST_TEST(admission.enqueue(waiting(2, 4, 500)));
    admission.remove(waiting(2, 4, 500).key);
    BOOST_TEST(admission.waiting() == 0u);
    BOOST_TEST(admission.enqueue(waiting(3, 4, 500)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Headers)

BOOST_AUTO_TEST_CASE(hopByHopHeadersAreNotForwarded)
{
    const HttpHeaders kept = endToEndHeaders({ { "Accept", "text/plain" }, { "Connection", "close, X-Hop" },
        { "x-hop", "1" }, { "TRANSFER-ENCODING", "chunked" }, { "Content-Type", "application/json" },
        { "Content-Length", "3" }, { "Host", "router" } });
    BOOST_REQUIRE(kept.size() == 2u);
    BOOST_TEST(kept[0].first == "Accept");
    BOOST_TEST(kept[1].first == "Content-Type");
}

BOOST_AUTO_TEST_SUITE_END()
