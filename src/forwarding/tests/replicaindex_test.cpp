#include "forwarding/replicaindex.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::ModelName;

using Engines = ReplicaIndex::Engines;

const Endpoint first("1");
const Endpoint second("2");
const ModelName chat("chat");
const ModelName review("review");

Engines orderOf(const ReplicaIndex& index, const ModelName& model)
{
    Engines engines;
    for (const Endpoint* const engine : index.order(model))
        engines.push_back(*engine);
    return engines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheReplicaIndex)

BOOST_AUTO_TEST_CASE(findsWhereAModelIsLoadedOrCached)
{
    ReplicaIndex index;
    index.set(first, { { chat }, { review } });
    index.set(second, { { review }, { review } });
    BOOST_TEST(index.loadedAt(chat) == Engines { first });
    BOOST_TEST(index.loadedAt(review) == Engines { second });
    BOOST_TEST(index.availableAt(review) == (Engines { first, second }));
    BOOST_TEST(index.loadedAt(ModelName("none")).empty());
}

BOOST_AUTO_TEST_CASE(anUpdateReplacesTheContentsOfTheEngine)
{
    ReplicaIndex index;
    index.set(first, { { chat }, {} });
    index.set(first, { { review }, { chat } });
    BOOST_TEST(index.loadedAt(chat).empty());
    BOOST_TEST(index.availableAt(chat) == Engines { first });
    index.remove(first);
    BOOST_TEST(index.availableAt(chat).empty());
    BOOST_TEST(index.availableAt(review).empty());
    BOOST_TEST(index.size() == 0u);
}

// Prevents routers that learn of engines in different orders from asking different ones to load the same model.
BOOST_AUTO_TEST_CASE(theOrderOfAModelIsTheSameEverywhere)
{
    ReplicaIndex index;
    ReplicaIndex other;
    for (int number = 0; number < 40; ++number) {
        index.set(Endpoint(std::to_string(number)), {});
        other.set(Endpoint(std::to_string(39 - number)), {});
    }
    const Engines order = orderOf(index, chat);
    BOOST_TEST(order.size() == 40u);
    BOOST_TEST(order == orderOf(other, chat));
    BOOST_TEST(order != orderOf(index, review));
    BOOST_TEST(index.rank(chat, order[3], 5) == 3u);
    BOOST_TEST(index.rank(chat, order[5], 5) == 5u);
}

// Prevents memory use from growing with the number of models times engines.
BOOST_AUTO_TEST_CASE(evictedOrdersAreRecreatedIdentically)
{
    ReplicaIndex index;
    for (int number = 0; number < 10; ++number)
        index.set(Endpoint(std::to_string(number)), {});
    const Engines order = orderOf(index, chat);
    for (int number = 0; number < 1000; ++number)
        (void)index.order(ModelName(std::to_string(number)));
    BOOST_TEST(orderOf(index, chat) == order);
}

// Prevents an engine that was added from missing in the orders of models, and one that was removed from remaining in
// them.
BOOST_AUTO_TEST_CASE(theOrderFollowsTheEngines)
{
    ReplicaIndex index;
    index.set(first, {});
    index.set(second, {});
    const Endpoint best = *index.order(chat)[0];
    index.remove(best);
    BOOST_TEST(orderOf(index, chat) == Engines { best == first ? second : first });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
