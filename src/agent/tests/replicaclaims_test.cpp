#include "agent/internal/replicaclaims.h"
#include "agent/tests/fakevmlist.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using namespace lagoon::agent::testing;
using bundle::DecidedCount;
using bundle::HolderState;
using framework::AdapterName;
using framework::BundleVersion;
using framework::Deadline;
using framework::ErrorCode;
using framework::FailureDomainName;
using framework::Incarnation;
using framework::Milliseconds;
using framework::ModelName;
using framework::SiteName;
using framework::VmName;
using objectstore::MemoryObjectStore;
using objectstore::VmState;
using objectstore::WriteFault;

namespace {

const SiteName site { "lagos" };
const ReplicaId drafts { ModelName("drafts"), AdapterName() };
const ReplicaId fine { ModelName("drafts"), AdapterName("fine") };

struct ClaimsFixture {
    std::shared_ptr<MemoryObjectStore> store = std::make_shared<MemoryObjectStore>();
    std::shared_ptr<FakeVmList> vmList = std::make_shared<FakeVmList>();
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();

    ReplicaClaims agentOn(const std::string& vm, std::uint64_t incarnation = 1) const
    {
        return ReplicaClaims(
            store, vmList, { VmName(vm), site, FailureDomainName("ikeja") }, Incarnation(incarnation), metrics);
    }

    static Deadline deadline() { return Deadline::after(std::chrono::steady_clock::now(), Milliseconds(10000)); }
    static DecidedCount decided(std::uint32_t count, std::uint64_t version = 1)
    {
        return { count, BundleVersion(version) };
    }

    auto claim(ReplicaClaims claims, const std::string& nonce, const DecidedCount& count,
        ClaimKind kind = ClaimKind::New) const
    {
        return claims.claim(drafts, nonce, kind, count, deadline());
    }

    bundle::ReplicaObject object() const
    {
        const auto key = bundle::replicaKey(site, drafts.model);
        return bundle::parseReplicaObject(store->valueOf(key).value(), key).value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaClaimsOfAVm, ClaimsFixture)

BOOST_AUTO_TEST_CASE(claimsStopAtTheDecidedCount)
{
    BOOST_TEST(claim(agentOn("one"), "n1", decided(2)).has_value());
    BOOST_TEST(claim(agentOn("two"), "n2", decided(2)).has_value());
    const auto third = claim(agentOn("three"), "n3", decided(2));
    BOOST_REQUIRE(third.has_error());
    BOOST_CHECK(third.error().code == ErrorCode::ReplicaCapReached);
    BOOST_TEST(object().holders.size() == 2u);
}

// Two agents see the last slot free and claim it at the same time. The conditional write succeeds for one of them; the
// other must read the object again instead of overwriting it.
BOOST_AUTO_TEST_CASE(twoAgentsCannotTakeTheLastSlot)
{
    store->beforeNextPut([this] { BOOST_TEST(claim(agentOn("two"), "n2", decided(1)).has_value()); });
    const auto loser = claim(agentOn("one"), "n1", decided(1));
    BOOST_REQUIRE(loser.has_error());
    BOOST_CHECK(loser.error().code == ErrorCode::ReplicaCapReached);
    BOOST_TEST(object().holders.size() == 1u);
}

// A claim write takes effect, but its answer is lost. The nonce in the object shows that the claim was made, so it
// isn't made twice.
BOOST_AUTO_TEST_CASE(aLostAnswerIsResolvedByTheNonce)
{
    store->failNextWrites({ WriteFault::LoseAnswer });
    BOOST_TEST(claim(agentOn("one"), "n1", decided(1)).has_value());
    BOOST_TEST(object().holders.size() == 1u);
    BOOST_TEST(object().holders.front().nonce == "n1");
}

BOOST_AUTO_TEST_CASE(fencingTokensIncrease)
{
    const auto first = claim(agentOn("one"), "n1", decided(1));
    const auto taken = claim(agentOn("one", 2), "n2", decided(1));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(taken.value() > first.value());
    BOOST_TEST(object().holders.size() == 1u);
    BOOST_TEST(object().holders.front().incarnation.value() == 2u);
}

// A process is paused while another process on the same VM takes over its claim. After it resumes, it must not release
// the claim, which it no longer owns.
BOOST_AUTO_TEST_CASE(aPreviousProcessCannotReleaseTheClaim)
{
    ReplicaClaims former = agentOn("one", 1);
    BOOST_REQUIRE(claim(former, "n1", decided(1)).has_value());
    BOOST_REQUIRE(claim(agentOn("one", 2), "n2", decided(1)).has_value());
    BOOST_TEST(former.release(drafts, "n1", deadline()).has_value());
    BOOST_TEST(object().holders.size() == 1u);
    const auto confirmed = former.confirm(drafts, "n1", deadline());
    BOOST_REQUIRE(confirmed.has_error());
    BOOST_CHECK(confirmed.error().code == ErrorCode::PlatformConflict);
}

BOOST_AUTO_TEST_CASE(aReleasedSlotCanBeClaimed)
{
    ReplicaClaims one = agentOn("one");
    BOOST_REQUIRE(claim(one, "n1", decided(1)).has_value());
    BOOST_TEST(one.confirm(drafts, "n1", deadline()).has_value());
    BOOST_CHECK(object().holders.front().state == HolderState::Loaded);
    BOOST_TEST(one.release(drafts, "n1", deadline()).has_value());
    BOOST_TEST(claim(agentOn("two"), "n2", decided(1)).has_value());
}

// A VM that the platform lists as leaving, or doesn't list at all, may still have the model in its accelerator. Only
// "gone" frees its slot.
BOOST_AUTO_TEST_CASE(onlyGoneVmsLoseTheirClaims)
{
    BOOST_REQUIRE(claim(agentOn("unlisted"), "n1", decided(2)).has_value());
    BOOST_REQUIRE(claim(agentOn("leaving"), "n2", decided(2)).has_value());
    vmList->add("leaving", VmState::Leaving);
    BOOST_TEST(claim(agentOn("three"), "n3", decided(2)).has_error());
    vmList->add("unlisted", VmState::Gone);
    BOOST_TEST(claim(agentOn("three"), "n3", decided(2)).has_value());
    BOOST_TEST(object().holders.size() == 2u);
    BOOST_TEST(object().holder(VmName("unlisted")) == nullptr);
}

// An agent that hasn't read the newer bundle claims by the older, higher count. The object has the newer count, which
// must be applied.
BOOST_AUTO_TEST_CASE(theCountOfAnOlderBundleIsIgnored)
{
    BOOST_REQUIRE(claim(agentOn("one"), "n1", decided(1, 5)).has_value());
    BOOST_TEST(claim(agentOn("two"), "n2", decided(3, 4)).has_error());
    BOOST_TEST(object().decided == 1u);
    BOOST_TEST(claim(agentOn("two"), "n2", decided(2, 6)).has_value());
}

BOOST_AUTO_TEST_CASE(theLastHoldersExceedALoweredCount)
{
    ReplicaClaims one = agentOn("one");
    ReplicaClaims two = agentOn("two");
    BOOST_REQUIRE(claim(one, "n1", decided(2)).has_value());
    BOOST_REQUIRE(claim(two, "n2", decided(2)).has_value());
    BOOST_TEST(!one.isOverCount(drafts, decided(1, 2), deadline()).value());
    BOOST_TEST(two.isOverCount(drafts, decided(1, 2), deadline()).value());
}

BOOST_AUTO_TEST_CASE(adoptedClaimsAreWrittenWhateverTheCount)
{
    BOOST_REQUIRE(claim(agentOn("one"), "n1", decided(1)).has_value());
    BOOST_TEST(claim(agentOn("two"), "n2", decided(1), ClaimKind::Adopted).has_value());
    BOOST_TEST(object().holders.size() == 2u);
    BOOST_TEST(claim(agentOn("three"), "n3", decided(2, 2)).has_error());
}

BOOST_AUTO_TEST_CASE(heldListsModelsAndAdapters)
{
    ReplicaClaims one = agentOn("one");
    BOOST_REQUIRE(claim(one, "n1", decided(2)).has_value());
    BOOST_REQUIRE(claim(agentOn("two"), "n2", decided(2)).has_value());
    BOOST_REQUIRE(one.claim(fine, "n3", ClaimKind::New, decided(1), deadline()).has_value());
    const auto held = agentOn("one", 2).held(deadline());
    BOOST_REQUIRE(held.has_value());
    BOOST_REQUIRE(held.value().size() == 2u);
    BOOST_CHECK(held.value()[0] == drafts);
    BOOST_CHECK(held.value()[1] == fine);
    BOOST_TEST(agentOn("three").held(deadline()).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()
