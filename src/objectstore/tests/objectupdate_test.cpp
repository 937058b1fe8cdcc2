#include "objectstore/objectupdate.h"

#include "framework/iclock.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::objectstore;

namespace {

const ObjectKey key("counters/a");

framework::Deadline testDeadline(int milliseconds = 5000)
{
    return framework::Deadline::after(framework::SystemClock().now(), framework::Milliseconds(milliseconds));
}

/// Appends `token`, which also serves as the nonce; refuses if the object already has `limit` characters or more.
ObjectUpdate append(const std::string& token, std::size_t limit = 100)
{
    return { [=](const std::optional<std::string>& current) -> framework::Result<ObjectChange> {
                if (current && current->size() >= limit)
                    return framework::Error { framework::ErrorCode::ReplicaCapReached, "append", "", "full" };
                return ObjectChange { current.value_or("") + token };
            },
        [=](const std::string& value) { return value.find(token) != std::string::npos; } };
}

/// A store in which another writer overwrites the object right after each put, before the first writer can read it.
class OverwritingStore final : public IObjectStore {
public:
    framework::Result<std::optional<StoredObject>> get(const ObjectKey& object, framework::Deadline deadline) override
    {
        return store.get(object, deadline);
    }
    framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline deadline) override
    {
        return store.list(prefix, deadline);
    }
    framework::Result<std::optional<StoredObject>> watch(const ObjectKey& object, framework::ObjectVersion known,
        framework::Deadline deadline, std::stop_token stop) override
    {
        return store.watch(object, known, deadline, stop);
    }
    framework::Result<framework::ObjectVersion> put(const ObjectKey& object, const std::string& value,
        framework::ObjectVersion expected, framework::Deadline deadline) override
    {
        auto written = store.put(object, value, expected, deadline);
        store.set(object, "another writer's value, longer than the limit");
        return written;
    }
    framework::Result<void> remove(
        const ObjectKey& object, framework::ObjectVersion expected, framework::Deadline deadline) override
    {
        return store.remove(object, expected, deadline);
    }

    MemoryObjectStore store;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ObjectUpdates)

// An operator rolls out version 8 and the answer is lost; before the command reads the head again, another operator has
// rolled out version 9. The error must be `Execution::Unknown`, since version 8 may have been in force for a moment.
BOOST_AUTO_TEST_CASE(anOverwrittenWriteIsNotReportedAsNotRun)
{
    for (const bool isLost : { true, false }) {
        OverwritingStore store;
        store.store.failNextWrites({ isLost ? WriteFault::LoseAnswer : WriteFault::Conflict });
        ObjectUpdate update = append("#1", 10);
        update.canBeOverwritten = true;
        const auto refused = updateObject(store, key, update, testDeadline());
        BOOST_REQUIRE(refused.has_error());
        BOOST_CHECK(
            refused.error().execution == (isLost ? framework::Execution::Unknown : framework::Execution::NotRun));
    }
}

BOOST_AUTO_TEST_CASE(anUpdateCreatesAndChangesAnObject)
{
    MemoryObjectStore store;
    BOOST_TEST(updateObject(store, key, append("a"), testDeadline()).value().value == "a");
    BOOST_TEST(updateObject(store, key, append("b"), testDeadline()).value().value == "ab");
}

// Prevents a second claim for the same replica: a claim's write took effect, but its answer was lost or was the
// conflict of its second transmission, so the agent claimed again and a model had two replicas instead of one.
BOOST_AUTO_TEST_CASE(aWriteWithALostAnswerTakesEffectOnce)
{
    for (const WriteFault fault : { WriteFault::LoseAnswer, WriteFault::SendTwice }) {
        MemoryObjectStore store;
        store.failNextWrites({ fault });
        BOOST_TEST(updateObject(store, key, append("a"), testDeadline()).value().value == "a");
        BOOST_TEST(store.valueOf(key).value() == "a");
        BOOST_TEST(store.writes() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(aLostOrConflictingWriteIsRetried)
{
    MemoryObjectStore store;
    store.set(key, "x");
    store.failNextWrites({ WriteFault::LoseRequest, WriteFault::Conflict });
    BOOST_TEST(updateObject(store, key, append("a"), testDeadline()).value().value == "xa");
    BOOST_TEST(store.writes() == 3U);
}

// Prevents a claim that was reported as not run from appearing in the object minutes later: its write was still pending
// when the deadline passed.
BOOST_AUTO_TEST_CASE(aWriteThatMayStillTakeEffectIsUnknown)
{
    MemoryObjectStore store;
    store.failNextWrites(std::vector<WriteFault>(1000, WriteFault::Hold));
    const auto result = updateObject(store, key, append("a"), testDeadline(60));
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().execution == framework::Execution::Unknown));
    store.deliverHeldWrites();
    BOOST_TEST(store.valueOf(key).value() == "a");
}

// The outcome is also unknown if a write is pending and the change refuses at the second attempt, while the object is
// unchanged since the first.
BOOST_AUTO_TEST_CASE(aRefusalWhileAWriteIsPendingIsUnknown)
{
    MemoryObjectStore store;
    store.failNextWrites({ WriteFault::Hold });
    unsigned calls = 0;
    const ObjectUpdate update { [&](const std::optional<std::string>&) -> framework::Result<ObjectChange> {
                                   if (++calls > 1)
                                       return framework::Error { framework::ErrorCode::Draining, "claim", "", "" };
                                   return ObjectChange { "a" };
                               },
        [](const std::string& value) { return value == "a"; } };
    const auto result = updateObject(store, key, update, testDeadline());
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().code == framework::ErrorCode::Draining));
    BOOST_TEST((result.error().execution == framework::Execution::Unknown));
}

BOOST_AUTO_TEST_CASE(aRefusalAfterTheObjectChangedIsNotRun)
{
    MemoryObjectStore store;
    store.failNextWrites({ WriteFault::Hold });
    store.beforeNextPut([&] { store.set(key, "full"); });
    const auto result = updateObject(store, key, append("a", 4), testDeadline());
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().code == framework::ErrorCode::ReplicaCapReached));
    BOOST_TEST((result.error().execution == framework::Execution::NotRun));
    store.deliverHeldWrites();
    BOOST_TEST(store.valueOf(key).value() == "full");
}

BOOST_AUTO_TEST_CASE(anOutageBeforeAnyWriteIsNotRun)
{
    MemoryObjectStore store;
    store.setAvailable(false);
    const auto result = updateObject(store, key, append("a"), testDeadline(30));
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().code == framework::ErrorCode::PlatformUnavailable));
    BOOST_TEST((result.error().execution == framework::Execution::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
