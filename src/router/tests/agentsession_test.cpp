#include "router/tests/fixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::router;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using wire::fb::Body;

namespace {

constexpr Milliseconds longTimeout { 60000 };

/// Sends one dispatch to `draft-1` and records its outcome.
class SessionFixture : public RouterFixture {
public:
    SessionFixture() { dispatch(); }

    void dispatch()
    {
        wire::fb::DispatchT frame;
        frame.target = std::make_unique<wire::fb::TargetT>();
        frame.target->service = "holds";
        frame.body = { 'x' };
        stream_ = std::make_shared<AnswerStream>(answer_, 1);
        session()->dispatch(std::move(frame), framework::Deadline::after(control_.now(), longTimeout), stream_,
            [this](const DispatchOutcome& outcome) { outcomes_.push_back(outcome); });
        runPending();
    }

    std::shared_ptr<AgentSession> session() { return sessions_.session(framework::VmName("draft-1")); }

    wire::fb::DispatchIdT sentId(wire::FakeLink& link) { return *link.takeSent(Body::Dispatch).body.AsDispatch()->id; }

    /// Delivers nothing on the link until the session replaces it, and completes the handshake on the new one.
    std::shared_ptr<wire::FakeLink> replaceSilentLink(std::uint64_t incarnation = 1, std::uint64_t session = 7)
    {
        const std::size_t before = transport_.connections();
        for (int step = 0; step < 50 && transport_.connections() == before; ++step)
            control_.advance(Milliseconds(100));
        BOOST_REQUIRE(transport_.connections() == before + 1);
        return completeHandshake("draft-1", incarnation, session);
    }

    std::shared_ptr<FakeAnswer> answer_ = std::make_shared<FakeAnswer>();
    std::shared_ptr<AnswerStream> stream_;
    std::vector<DispatchOutcome> outcomes_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentSessions, SessionFixture)

BOOST_AUTO_TEST_CASE(anAnswerIsForwardedAndSettled)
{
    const auto link = completeHandshake("draft-1");
    answer(*link, sentId(*link), "done");
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_TEST(outcomes_[0].has_value());
    BOOST_TEST(answer_->body_ == "done");
    BOOST_TEST(link->takeSent(Body::Settle).body.AsSettle()->floor == 2u);
}

// The link to an agent goes silent permanently after a slot hold was sent, and the frame never arrives. The router
// opens another link and resolves the dispatch; the agent fences its id. Only then may the caller receive "not run".
// The dispatch must not be sent twice.
BOOST_AUTO_TEST_CASE(onlyTheAgentCanReportNotRun)
{
    const auto silent = completeHandshake("draft-1");
    const auto id = sentId(*silent);
    const auto fresh = replaceSilentLink();
    BOOST_TEST(outcomes_.empty());
    BOOST_TEST(silent->isClosed());
    BOOST_CHECK_THROW(fresh->takeSent(Body::Dispatch), std::runtime_error);
    BOOST_TEST(fresh->takeSent(Body::Resolve).body.AsResolve()->id->sequence == id.sequence);
    refuse(*fresh, id, ErrorCode::Fenced, Execution::NotRun);
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::NotRun);
}

// The link goes silent after the agent has received a slot hold and runs it. The answer must arrive over the new link,
// from the byte at which the old one ended.
BOOST_AUTO_TEST_CASE(aRunningRequestResumesOnTheNewLink)
{
    const auto silent = completeHandshake("draft-1");
    const auto id = sentId(*silent);
    const auto fresh = replaceSilentLink();
    BOOST_TEST(fresh->takeSent(Body::Resolve).body.AsResolve()->received_bytes == 0u);
    answer(*fresh, id, "held");
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_TEST(outcomes_[0].has_value());
    BOOST_TEST(answer_->body_ == "held");
}

// The agent is killed after a slot hold was sent, and a new agent starts on the VM. Its ledger is empty, so it can't be
// determined whether the hold was made: the outcome must be "unknown", never "not run".
BOOST_AUTO_TEST_CASE(aDispatchIsUnknownAfterTheAgentRestarts)
{
    const auto old = completeHandshake("draft-1", 1);
    sentId(*old);
    old->cut();
    runPending();
    control_.advance(Milliseconds(100));
    completeHandshake("draft-1", 2);
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().code == ErrorCode::AgentRestarted);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::Unknown);
}

// The agent reconnects, but has dropped the session meanwhile, and with it the ledger of the requests that it ran.
BOOST_AUTO_TEST_CASE(aDispatchIsUnknownAfterTheAgentDropsTheSession)
{
    const auto silent = completeHandshake("draft-1", 1, 7);
    sentId(*silent);
    replaceSilentLink(1, 8);
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::Unknown);
}

// A link has been idle for longer than the silence limit, which is normal, when the next hold arrives. The link must be
// used, not treated as silent, or a load order sent on it would be given up at once.
BOOST_AUTO_TEST_CASE(anIdleLinkIsNotTreatedAsSilent)
{
    const auto link = completeHandshake("draft-1");
    answer(*link, sentId(*link), "done");
    control_.advance(Milliseconds(10000));
    const std::size_t before = transport_.connections();
    dispatch();
    control_.advance(Milliseconds(500));
    BOOST_TEST(transport_.connections() == before);
    BOOST_TEST(!link->isClosed());
    answer(*link, sentId(*link), "again");
    BOOST_TEST(outcomes_.size() == 2u);
}

// Nothing listens on the agent's endpoint. The dispatch hasn't left this process, so it must be "not run" at once.
BOOST_AUTO_TEST_CASE(aDispatchOnARefusedConnectionIsNotRun)
{
    link("draft-1")->cut("connect");
    runPending();
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::NotRun);
}

// Bytes of an answer were changed or lost on the way. The length and checksum from the agent reveal this, and the
// answer must not be reported as complete.
BOOST_AUTO_TEST_CASE(anAnswerWithAWrongChecksumIsNotComplete)
{
    const auto link = completeHandshake("draft-1");
    const auto id = sentId(*link);
    deliverHead(*link, id, 200);
    wire::fb::AnswerEndT end;
    end.id = std::make_unique<wire::fb::DispatchIdT>(id);
    end.length = 3;
    link->deliver(wire::message(std::move(end)));
    runPending();
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::Unknown);
}

// Prevents a malformed head from reaching a client through an agent that doesn't check it.
BOOST_AUTO_TEST_CASE(aMalformedHeadFailsItsDispatch)
{
    using namespace std::string_literals;
    using Fields = std::vector<std::pair<std::string, std::string>>;
    const auto link = completeHandshake("draft-1");
    const std::vector<std::pair<unsigned short, Fields>> heads { { 0, {} }, { 101, {} }, { 199, {} }, { 600, {} },
        { 200, { { "", "a" } } }, { 200, { { "X Seal", "a" } } }, { 200, { { "X-A", "a" }, { "X\0Seal"s, "a" } } },
        { 200, { { "X-Seal:", "a" } } }, { 200, { { "X-Seal", "a\r\nX-B: b" } } }, { 200, { { "X-Seal", "a\0"s } } } };
    for (const auto& [status, fields] : heads) {
        const auto id = sentId(*link);
        deliverHead(*link, id, status, fields);
        BOOST_TEST(answer_->status_ == 0);
        BOOST_REQUIRE(outcomes_.size() == 1u);
        BOOST_TEST((outcomes_[0].error().code == ErrorCode::UpstreamBroken));
        BOOST_TEST((outcomes_[0].error().execution == Execution::Unknown));
        BOOST_TEST(outcomes_[0].error().detail.find("Seal") == std::string::npos);
        BOOST_TEST(link->takeSent(Body::Cancel).body.AsCancel()->id->sequence == id.sequence);
        outcomes_.clear();
        dispatch();
    }
    deliverHead(*link, sentId(*link), 599, { { "X-Seal", "\xc3\xa4\ta" } });
    BOOST_TEST(answer_->status_ == 599);
}

// An answer with the id of another router or of another request arrives on the link. It must not reach this caller.
BOOST_AUTO_TEST_CASE(anAnswerToAnotherRequestIsIgnored)
{
    const auto link = completeHandshake("draft-1");
    wire::fb::DispatchIdT other = sentId(*link);
    other.router_incarnation += 1;
    answer(*link, other, "someone else's");
    other = wire::fb::DispatchIdT(other);
    other.router_incarnation -= 1;
    other.sequence += 5;
    answer(*link, other, "someone else's");
    BOOST_TEST(answer_->body_.empty());
    BOOST_TEST(outcomes_.empty());
}

// The platform reports that the VM is gone while a hold is in flight, so no agent can report whether it ran.
BOOST_AUTO_TEST_CASE(aSentDispatchIsUnknownAfterItsVmIsGone)
{
    const auto link = completeHandshake("draft-1");
    sentId(*link);
    session()->setGone();
    BOOST_REQUIRE(outcomes_.size() == 1u);
    BOOST_CHECK(outcomes_[0].error().execution == Execution::Unknown);
}

BOOST_AUTO_TEST_CASE(anIdleLinkIsClosedAfterTheIdleLimit)
{
    const auto link = completeHandshake("draft-1");
    answer(*link, sentId(*link), "done");
    control_.advance(settings_.idleLimit - Milliseconds(1000));
    dispatch();
    answer(*link, sentId(*link), "done again");
    BOOST_TEST(outcomes_.size() == 2u);
    control_.advance(settings_.idleLimit - Milliseconds(1000));
    BOOST_TEST(!link->isClosed());
    control_.advance(Milliseconds(2000));
    BOOST_TEST(link->isClosed());
}

BOOST_AUTO_TEST_SUITE_END()
