#include "framework/testing/manualcontrol.h"
#include "streams/originexchange.h"
#include "streams/originkeeper.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::streams {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ServiceName;

const StreamOrigin first { ServiceName("engines"), catalog::SoftwareVersion("v1") };
const StreamOrigin second { ServiceName("engines"), catalog::SoftwareVersion("v2") };
const AttemptKey attempt = AttemptKey::of("callers", "a1");

/// One router's exchange.
struct Router {
    Router(framework::ManualControl& control, std::function<void(const Endpoint&, const wire::Message&)> send)
        : exchange({ control, control, metrics, std::move(send) })
    {
    }

    framework::Metrics metrics;
    OriginExchange exchange;
};

/// Two routers and the agents of five engines in three failure domains. Messages arrive at once unless the link between
/// a router and an agent is silent.
struct Fixture {
    Fixture()
    {
        const std::vector<std::string> domains { "a", "a", "b", "b", "c" };
        std::vector<Keeper> keepers;
        for (std::size_t index = 0; index < domains.size(); ++index) {
            const Endpoint engine("10.0.0." + std::to_string(index + 1) + ":80");
            keepers.push_back({ engine, framework::FailureDomainName(domains[index]) });
            agents[engine] = std::make_unique<OriginKeeper>();
        }
        choice.setKeepers(keepers);
        for (std::size_t index = 0; index < 2; ++index) {
            routers.push_back(
                std::make_unique<Router>(control, [this, index](const Endpoint& engine, const wire::Message& message) {
                    deliver(index, engine, message);
                }));
            router(index).setKeepers(keepers);
            for (const auto& [engine, agent] : agents)
                router(index).didOpen(engine);
        }
    }

    OriginExchange& router(std::size_t index) { return routers.at(index)->exchange; }

    void deliver(std::size_t index, const Endpoint& engine, const wire::Message& message)
    {
        ++messages;
        if (silent.contains({ index, engine }))
            return;
        const auto answer = agents.at(engine)->receive(*message.body.AsStreamOrigins(), control.now());
        if (answer)
            control.post([this, index, engine, answer = *answer] {
                router(index).receive(engine, *answer.body.AsStreamOrigins());
            });
    }

    DispatchRecord recordOf(std::uint32_t dispatch, std::optional<StreamOrigin> origin)
    {
        return { attempt, dispatch, std::move(origin), control.now(),
            Deadline::after(control.now(), Milliseconds(15000)) };
    }

    void record(std::size_t index, std::uint32_t dispatch, const StreamOrigin& origin)
    {
        router(index).record(recordOf(dispatch, origin));
        control.advance(Milliseconds(20));
    }

    /// Returns what the router knows; std::nullopt if the search hasn't ended.
    std::optional<OriginAnswer> find(std::size_t index, Milliseconds within = Milliseconds(0))
    {
        const auto found = std::make_shared<std::optional<OriginAnswer>>();
        router(index).find(attempt, [found](const OriginAnswer& answer) { *found = answer; });
        control.runPosted();
        if (within.count() > 0)
            control.advance(within);
        return *found;
    }

    std::optional<bool> retract(std::size_t index, std::uint32_t dispatch, Milliseconds within = Milliseconds(0))
    {
        const auto confirmed = std::make_shared<std::optional<bool>>();
        router(index).retract(
            recordOf(dispatch, std::nullopt), [confirmed](bool isConfirmed) { *confirmed = isConfirmed; });
        control.runPosted();
        if (within.count() > 0)
            control.advance(within);
        return *confirmed;
    }

    /// The agents that have a record.
    std::vector<Endpoint> keepersNow()
    {
        std::vector<Endpoint> found;
        for (const Endpoint& engine : choice.order(attempt)) {
            if (agents.at(engine)->size() > 0)
                found.push_back(engine);
        }
        return found;
    }

    void silence(std::size_t index, const Endpoint& engine) { silent.insert({ index, engine }); }
    /// The agent's process is replaced by one that knows nothing.
    void restart(const Endpoint& engine) { agents.at(engine) = std::make_unique<OriginKeeper>(); }

    framework::ManualControl control;
    std::map<Endpoint, std::unique_ptr<OriginKeeper>> agents;
    std::set<std::pair<std::size_t, Endpoint>> silent;
    std::vector<std::unique_ptr<Router>> routers;
    KeeperChoice choice;
    int messages = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOrigins, Fixture)

BOOST_AUTO_TEST_CASE(anotherRouterFindsWhatWasRecorded)
{
    record(0, 1, first);
    const auto found = find(1);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->origin == first));
    BOOST_TEST(found->age.count() == 20);
    BOOST_TEST(!found->source.empty());
}

// Prevents the loss of the records of all streams with one failure domain.
BOOST_AUTO_TEST_CASE(recordsAreKeptInDifferentFailureDomains)
{
    record(0, 1, first);
    const std::vector<Endpoint> keepers = keepersNow();
    BOOST_TEST(keepers.size() == 3u);
    const std::vector<Endpoint> order = choice.order(attempt);
    BOOST_TEST((keepers == std::vector<Endpoint>(order.begin(), order.begin() + 3)));
    std::set<char> domains;
    for (const Endpoint& engine : keepers)
        domains.insert("aabbc"[engine.value().at(7) - '1']);
    BOOST_TEST(domains.size() == 3u);
}

BOOST_AUTO_TEST_CASE(recordsSurviveTheLossOfTwoAgents)
{
    record(0, 1, first);
    const std::vector<Endpoint> keepers = keepersNow();
    restart(keepers[0]);
    restart(keepers[2]);
    const auto found = find(1);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->origin == first));
}

// Prevents a take-up from being refused because an agent that was restarted lost its records.
BOOST_AUTO_TEST_CASE(anAgentThatIsBackIsToldAgain)
{
    record(0, 1, first);
    const std::vector<Endpoint> keepers = keepersNow();
    for (const Endpoint& engine : keepers) {
        restart(engine);
        router(0).didClose(engine);
        router(0).didOpen(engine);
    }
    control.advance(Milliseconds(20));
    BOOST_TEST((find(1).value().origin == first));
}

// Prevents a caller from waiting where all agents have answered that they know nothing.
BOOST_AUTO_TEST_CASE(anUnknownAttemptIsKnownToBeUnknownAtOnce)
{
    const auto found = find(1);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(!found->origin.has_value());
}

BOOST_AUTO_TEST_CASE(aSearchWithoutAnswersEnds)
{
    record(0, 1, first);
    for (const auto& [engine, agent] : agents)
        silence(1, engine);
    BOOST_TEST(!find(1).has_value());
    const auto found = find(1, Milliseconds(400));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(!found->origin.has_value());
}

// Prevents a refusal right after the connections of all routers were reset.
BOOST_AUTO_TEST_CASE(aSearchWaitsForLinksThatAreOpenedAgain)
{
    record(0, 1, first);
    for (const auto& [engine, agent] : agents)
        router(1).didClose(engine);
    std::optional<OriginAnswer> found;
    router(1).find(attempt, [&found](const OriginAnswer& answer) { found = answer; });
    control.advance(Milliseconds(150));
    BOOST_TEST(!found.has_value());
    for (const auto& [engine, agent] : agents)
        router(1).didOpen(engine);
    control.runPosted();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->origin == first));
}

// Prevents a refusal because the links broke between a question and its answer.
BOOST_AUTO_TEST_CASE(aQuestionIsAskedAgainOverANewLink)
{
    record(0, 1, first);
    for (const auto& [engine, agent] : agents)
        silence(1, engine);
    std::optional<OriginAnswer> found;
    router(1).find(attempt, [&found](const OriginAnswer& answer) { found = answer; });
    control.advance(Milliseconds(50));
    for (const auto& [engine, agent] : agents)
        router(1).didClose(engine);
    silent.clear();
    for (const auto& [engine, agent] : agents)
        router(1).didOpen(engine);
    control.runPosted();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((found->origin == first));
}

BOOST_AUTO_TEST_CASE(aRouterKnowsItsOwnStreamsWithoutAgents)
{
    for (const auto& [engine, agent] : agents)
        router(0).didClose(engine);
    record(0, 1, first);
    BOOST_TEST((find(0).value().origin == first));
}

// Prevents an agent from keeping a record that says another version than the one that the attempt was sent to.
BOOST_AUTO_TEST_CASE(aRetractionIsConfirmedByAllAgentsThatMayHaveTheRecord)
{
    record(0, 1, first);
    silence(0, keepersNow()[1]);
    BOOST_TEST(!retract(0, 2).has_value());
    BOOST_TEST(retract(0, 3, Milliseconds(250)).value() == false);
    silent.clear();
    BOOST_TEST(retract(0, 4).value() == true);
    BOOST_TEST(!find(1).value().origin.has_value());
    record(0, 5, second);
    BOOST_TEST((find(1).value().origin == second));
}

BOOST_AUTO_TEST_CASE(aRetractionReachesAnAgentWhoseLinkIsOpenedAgain)
{
    record(0, 1, first);
    const Endpoint engine = keepersNow()[0];
    router(0).didClose(engine);
    std::optional<bool> confirmed;
    router(0).retract(recordOf(2, std::nullopt), [&confirmed](bool isConfirmed) { confirmed = isConfirmed; });
    control.advance(Milliseconds(100));
    BOOST_TEST(!confirmed.has_value());
    router(0).didOpen(engine);
    control.runPosted();
    BOOST_TEST(confirmed.value() == true);
}

// Prevents a record from being taken for retracted after the router has forgotten whom it told.
BOOST_AUTO_TEST_CASE(aForgottenRecordCanNotBeRetracted)
{
    record(0, 1, first);
    constexpr int others = 20000;
    for (int number = 0; number < others; ++number) {
        DispatchRecord other = recordOf(1, first);
        other.attempt = AttemptKey::of("callers", "other" + std::to_string(number));
        router(0).record(other);
    }
    BOOST_TEST(retract(0, 2).value() == false);
}

// Prevents a record that was delayed on a former link from replacing a later one.
BOOST_AUTO_TEST_CASE(anEarlierDispatchDoesNotReplaceALaterOne)
{
    DispatchTable table(10);
    table.add(recordOf(2, second), control.now());
    table.add(recordOf(1, first), control.now());
    BOOST_TEST((table.find(attempt, control.now())->origin == second));
}

// Prevents a guess if two requests bear the id of one attempt.
BOOST_AUTO_TEST_CASE(contradictingRecordsMakeAnUnknownOrigin)
{
    DispatchTable table(10);
    table.add(recordOf(1, first), control.now());
    table.add(recordOf(1, second), control.now());
    BOOST_TEST(!table.find(attempt, control.now())->origin.has_value());
}

// Prevents an agent's memory from growing with the number of streams.
BOOST_AUTO_TEST_CASE(recordsAreBoundedInNumberAndAge)
{
    DispatchTable table(10);
    for (int number = 0; number < 100; ++number) {
        DispatchRecord other = recordOf(1, first);
        other.attempt = AttemptKey::of("callers", std::to_string(number));
        other.keptUntil = Deadline::after(control.now(), Milliseconds(1000 + number));
        table.add(other, control.now());
    }
    BOOST_TEST(table.size() == 10u);
    BOOST_TEST(table.find(AttemptKey::of("callers", "99"), control.now()));
    BOOST_TEST(!table.find(AttemptKey::of("callers", "0"), control.now()));
    BOOST_TEST(!table.find(AttemptKey::of("callers", "99"), control.now() + Milliseconds(1099)));
    table.add(recordOf(1, first), control.now() + Milliseconds(1099));
    BOOST_TEST(table.size() == 1u);
}

// Prevents a caller from learning, or changing, where the stream of another caller goes on.
BOOST_AUTO_TEST_CASE(attemptsOfDifferentCallersAreDifferent)
{
    BOOST_TEST((AttemptKey::of("callers", "a1") != AttemptKey::of("others", "a1")));
    BOOST_TEST((AttemptKey::of("callers", "a1") != AttemptKey::of("callersa", "1")));
}

// Prevents a burst of streams from flooding the links to the agents.
BOOST_AUTO_TEST_CASE(recordsToAnAgentAreSentTogether)
{
    messages = 0;
    constexpr int streams = 600;
    for (int number = 0; number < streams; ++number) {
        DispatchRecord other = recordOf(1, first);
        other.attempt = AttemptKey::of("callers", std::to_string(number));
        router(0).record(other);
    }
    control.advance(Milliseconds(100));
    BOOST_TEST(messages <= 5 * 10);
}

BOOST_AUTO_TEST_CASE(recordsKeepTheirContentOnTheWire)
{
    OriginUpdate update;
    update.dispatches = { recordOf(3, first), recordOf(4, std::nullopt), recordOf(5, second), recordOf(6, first) };
    update.asked = { attempt };
    update.unknown = { AttemptKey::of("callers", "b") };
    const wire::Message message = toWire(update, control.now());
    BOOST_TEST(message.body.AsStreamOrigins()->versions.size() == 2u);
    const std::vector<std::uint8_t> bytes = wire::encode(message);
    const auto decoded = wire::decode(bytes.data() + wire::lengthPrefixBytes, bytes.size() - wire::lengthPrefixBytes);
    BOOST_REQUIRE(decoded.has_value());
    const OriginUpdate read = fromWire(*decoded.value().body.AsStreamOrigins(), control.now());
    BOOST_REQUIRE(read.dispatches.size() == 4u);
    BOOST_TEST((read.dispatches[0].origin == first));
    BOOST_TEST(!read.dispatches[1].origin.has_value());
    BOOST_TEST((read.dispatches[2].origin == second));
    BOOST_TEST(read.dispatches[3].dispatch == 6u);
    BOOST_TEST((read.dispatches[3].keptUntil == update.dispatches[3].keptUntil));
    BOOST_TEST((read.asked == update.asked));
    BOOST_TEST((read.unknown == update.unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::streams
