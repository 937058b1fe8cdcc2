#include "bundle/rollout.h"

#include "bundle/bundlehead.h"
#include "bundle/bundletext.h"
#include "bundle/claimrelease.h"
#include "bundle/tests/bundlefixture.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::bundle;
using framework::BundleVersion;
using framework::ErrorCode;
using framework::Execution;
using objectstore::MemoryObjectStore;
using objectstore::WriteFault;
using tests::testDeadline;

namespace {

const OperatorAction ada { "ada", "2026-12-02T20:00:00Z" };
const OperatorAction bob { "bob", "2026-12-02T20:00:01Z" };
const objectstore::ObjectKey notes = replicaKey(framework::SiteName("south"), framework::ModelName("notes"));

void signOffBundle(MemoryObjectStore& store, std::uint64_t version, std::uint32_t replicas)
{
    const auto bundle = parseBundle(tests::bundleText(version, replicas), "fixture");
    BOOST_REQUIRE(signOff(store, bundle.value(), ada, testDeadline()).has_value());
}

framework::Result<RollOutResult> rollOutAs(
    MemoryObjectStore& store, std::uint64_t version, const OperatorAction& action)
{
    return rollOut(store, BundleVersion(version), action, testDeadline());
}

BundleHead headOf(const MemoryObjectStore& store) { return parseBundleHead(*store.valueOf(bundleHeadKey())).value(); }

ReplicaObject notesOf(const MemoryObjectStore& store)
{
    return parseReplicaObject(store.valueOf(notes).value_or(replicaObjectText({})), notes).value();
}

/// Returns how many replicas of the model may be claimed by an agent whose bundle has this decided count and version.
std::uint32_t allowed(const MemoryObjectStore& store, std::uint32_t decided, std::uint64_t version)
{
    ReplicaObject object = notesOf(store);
    return applyDecision(object, { decided, BundleVersion(version) });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RollOuts)

BOOST_AUTO_TEST_CASE(onlyASignedOffBundleAboveTheHeadIsRolledOut)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7);
    BOOST_TEST((rollOutAs(store, 8, bob).error().code == ErrorCode::NotFound));
    signOffBundle(store, 6, 2);
    const auto lower = rollOutAs(store, 6, bob);
    BOOST_TEST((lower.error().code == ErrorCode::PlatformConflict));
    BOOST_TEST(lower.error().detail.find("version 7 is in force, rolled out by ada") != std::string::npos);
    BOOST_TEST((rollOutAs(store, 7, bob).error().code == ErrorCode::PlatformConflict));
    BOOST_TEST(headOf(store).version.value() == 7U);
}

BOOST_AUTO_TEST_CASE(aSignedOffVersionIsNeverChanged)
{
    MemoryObjectStore store;
    signOffBundle(store, 7, 2);
    const auto before = store.valueOf(objectstore::ObjectKey("bundles/7"));
    const auto again = signOff(store, parseBundle(tests::bundleText(7, 2), "").value(), bob, testDeadline());
    BOOST_TEST(again.value().signedOffBy == "ada");
    const auto other = signOff(store, parseBundle(tests::bundleText(7, 1), "").value(), bob, testDeadline());
    BOOST_TEST((other.error().code == ErrorCode::PlatformConflict));
    BOOST_TEST(other.error().detail.find("by ada") != std::string::npos);
    BOOST_TEST((store.valueOf(objectstore::ObjectKey("bundles/7")) == before));
}

// Prevents two concurrent roll-outs from both reporting success although one of the bundles isn't in force anywhere:
// both operators read the same head before either moves it.
BOOST_AUTO_TEST_CASE(ofConcurrentRollOutsOneWinsAndTheErrorNamesItsOperator)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7);
    signOffBundle(store, 8, 2);
    signOffBundle(store, 9, 2);
    store.beforeNextPut([&] { BOOST_TEST(rollOutAs(store, 8, bob).has_value()); });
    const auto lost = rollOutAs(store, 9, ada);
    BOOST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().code == ErrorCode::PlatformConflict));
    BOOST_TEST((lost.error().execution == Execution::NotRun));
    BOOST_TEST(lost.error().detail.find("version 8 is in force, rolled out by bob") != std::string::npos);
    BOOST_TEST(headOf(store).operatorName == "bob");
}

// Prevents a roll-out from reporting a failure although its bundle is in force, so that the operator rolls "back" by
// hand: the head's write took effect, but its answer was lost or was a conflict with its own first transmission.
BOOST_AUTO_TEST_CASE(aRollOutSucceedsAfterALostAnswerOrRequest)
{
    for (const WriteFault fault : { WriteFault::LoseAnswer, WriteFault::SendTwice, WriteFault::LoseRequest }) {
        MemoryObjectStore store;
        tests::rollOutBundle(store, 7);
        signOffBundle(store, 8, 2);
        store.failNextWrites({ fault });
        BOOST_TEST(rollOutAs(store, 8, bob).value().previous.value() == 7U);
        BOOST_TEST(headOf(store).version.value() == 8U);
    }
}

// Prevents a roll-out from reporting a failure and taking effect a moment later without its lowered counts: the head's
// write is still pending when the command reaches its deadline.
BOOST_AUTO_TEST_CASE(aPendingHeadWriteIsUnknownAndKeepsTheLoweredCounts)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7, 2);
    signOffBundle(store, 8, 1);
    std::vector<WriteFault> faults(1000, WriteFault::Hold);
    // The first write is the one of the lowered count; the following ones are those of the head.
    faults.front() = WriteFault::LoseAnswer;
    store.failNextWrites(faults);
    BOOST_TEST((rollOut(store, BundleVersion(8), bob, testDeadline(50)).error().execution == Execution::Unknown));
    BOOST_TEST(allowed(store, 2, 7) == 1U);
    store.deliverHeldWrites();
    BOOST_TEST(headOf(store).version.value() == 8U);
    BOOST_TEST(allowed(store, 2, 7) == 1U);
}

// Bundle 8 lowers `notes` from two replicas to one. An agent that still has the previous bundle, which decides two,
// must not be able to claim the second replica just after the roll-out.
BOOST_AUTO_TEST_CASE(countsAreLoweredBeforeTheHeadMoves)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7, 2);
    signOffBundle(store, 8, 1);
    std::optional<std::uint64_t> headAtFirstWrite;
    store.beforeNextPut([&] { headAtFirstWrite = headOf(store).version.value(); });
    BOOST_TEST(rollOutAs(store, 8, bob).value().lowered == 1U);
    BOOST_TEST(headAtFirstWrite.value() == 7U);
    BOOST_TEST(allowed(store, 2, 7) == 1U);
    BOOST_TEST(allowed(store, 1, 8) == 1U);
}

BOOST_AUTO_TEST_CASE(theLosingRollOutRevertsItsLoweredCounts)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7, 3);
    signOffBundle(store, 8, 3);
    signOffBundle(store, 9, 1);
    store.beforeNextPut([&] { BOOST_TEST(rollOutAs(store, 8, bob).has_value()); });
    BOOST_TEST(rollOutAs(store, 9, ada).has_error());
    BOOST_TEST(allowed(store, 3, 7) == 3U);
    BOOST_TEST(allowed(store, 3, 8) == 3U);
}

// Two concurrent roll-outs lower the same model, the winner to two and the loser to one. After the loser has reverted
// its count, the winner's count must still limit agents that know only bundle 7.
BOOST_AUTO_TEST_CASE(theLosingRollOutKeepsTheWinnersLoweredCounts)
{
    MemoryObjectStore store;
    tests::rollOutBundle(store, 7, 3);
    signOffBundle(store, 8, 2);
    signOffBundle(store, 9, 1);
    store.beforeNextPut([&] { BOOST_TEST(rollOutAs(store, 8, bob).has_value()); });
    BOOST_TEST(rollOutAs(store, 9, ada).has_error());
    BOOST_TEST(headOf(store).version.value() == 8U);
    BOOST_TEST(allowed(store, 3, 7) == 2U);
    BOOST_TEST(allowed(store, 2, 8) == 2U);
}

BOOST_AUTO_TEST_CASE(aForcedReleaseIsRecordedAndTakesEffectOnce)
{
    for (const WriteFault fault : { WriteFault::LoseAnswer, WriteFault::SendTwice, WriteFault::Conflict }) {
        MemoryObjectStore store;
        ReplicaObject object;
        for (const char* vm : { "vm-1", "vm-2" })
            object.holders.push_back({ framework::VmName(vm), framework::Incarnation(3), "n", HolderState::Loaded });
        store.set(notes, replicaObjectText(object));
        store.failNextWrites({ fault });
        const ClaimRelease claim { notes, framework::VmName("vm-1"), "its host burnt down" };
        const auto released = releaseClaim(store, claim, ada, testDeadline());
        BOOST_REQUIRE(released.has_value());
        BOOST_TEST(notesOf(store).holders.size() == 1U);
        BOOST_TEST(notesOf(store).releases.size() == 1U);
        BOOST_TEST(notesOf(store).releases.front().reason == "its host burnt down");
        BOOST_TEST((releaseClaim(store, claim, ada, testDeadline()).error().code == ErrorCode::NotFound));
    }
}

BOOST_AUTO_TEST_SUITE_END()
