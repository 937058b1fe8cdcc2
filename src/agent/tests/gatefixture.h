#pragma once

#include "agent/internal/requestgate.h"
#include "agent/tests/fakelink.h"
#include "framework/testing/manualcontrol.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::agent::testing {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Incarnation;
using framework::Milliseconds;
namespace fb = wire::fb;

inline const Incarnation own { 100 };
inline const Incarnation router { 7 };

/// An upstream whose calls the test answers. Cancelling a call fails it, as closing its connection does.
class FakeUpstream final : public IUpstream {
public:
    class Call final : public IUpstreamCall {
    public:
        void cancel() override
        {
            isCancelled = true;
            events.onFailed(Error { ErrorCode::UpstreamFailed, "call upstream", "", "cancelled", Execution::Unknown });
        }

        UpstreamRequest request;
        UpstreamEvents events;
        bool isCancelled = false;
    };

    std::shared_ptr<IUpstreamCall> run(UpstreamRequest request, UpstreamEvents events) override
    {
        auto call = std::make_shared<Call>();
        call->request = std::move(request);
        call->events = std::move(events);
        calls.push_back(call);
        return call;
    }

    std::vector<std::shared_ptr<Call>> calls;
};

/// Serves every target unless the test sets a refusal.
class FakeServedTargets final : public IServedTargets {
public:
    framework::Result<void> beginUse(const Target&, framework::SteadyTime) override
    {
        if (refusal)
            return *refusal;
        ++uses;
        return framework::success();
    }
    void endUse(const Target&, framework::SteadyTime) override { --uses; }

    std::optional<Error> refusal;
    int uses = 0;
};

struct GateFixture {
    /// Starts far in the past of the real clock: code that waits by the real clock (`objectstore::updateObject`) tries
    /// once and gives up.
    framework::ManualControl control { framework::SteadyTime(std::chrono::milliseconds(1)) };
    FakeServedTargets targets;
    std::shared_ptr<FakeUpstream> upstream = std::make_shared<FakeUpstream>();
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    std::shared_ptr<FakeLink> link = std::make_shared<FakeLink>();
    AgentLimits limits { 1, 1, 100, 1000, 100, Milliseconds(10000) };
    std::unique_ptr<RequestGate> gate = makeGate();
    std::uint64_t session = gate->openSession(router);

    std::unique_ptr<RequestGate> makeGate()
    {
        return std::make_unique<RequestGate>(GatePorts { control, control, targets, upstream, metrics }, own, limits);
    }

    std::unique_ptr<fb::DispatchIdT> id(std::uint64_t sequence) const
    {
        auto dispatchId = std::make_unique<fb::DispatchIdT>();
        dispatchId->router_incarnation = router.value();
        dispatchId->session = session;
        dispatchId->sequence = sequence;
        return dispatchId;
    }

    void dispatch(
        std::uint64_t sequence, std::uint32_t remainingMs = 1000, std::uint64_t floor = 1, std::uint8_t priority = 0)
    {
        fb::DispatchT dispatch;
        dispatch.id = id(sequence);
        dispatch.agent_incarnation = own.value();
        dispatch.floor = floor;
        dispatch.target = std::make_unique<fb::TargetT>();
        dispatch.target->model = "a";
        dispatch.request_name = "7-" + std::to_string(sequence);
        dispatch.method = "POST";
        dispatch.path = "/v1/completions";
        dispatch.remaining_ms = remainingMs;
        dispatch.priority = priority;
        gate->dispatch(link, std::move(dispatch));
        control.runPosted();
    }

    void resolve(const std::shared_ptr<FakeLink>& over, std::uint64_t sequence, std::uint64_t receivedBytes)
    {
        fb::ResolveT resolve;
        resolve.id = id(sequence);
        resolve.agent_incarnation = own.value();
        resolve.received_bytes = receivedBytes;
        resolve.floor = 1;
        gate->resolve(over, resolve);
    }

    void cancel(std::uint64_t sequence)
    {
        fb::CancelT cancel;
        cancel.id = id(sequence);
        gate->cancel(cancel);
        control.runPosted();
    }

    void answerHead(std::size_t call, unsigned short status = 200)
    {
        upstream->calls.at(call)->events.onHead(status, { { "Content-Type", "text/plain" } });
        control.runPosted();
    }

    /// A complete answer with these headers.
    void answerWith(std::size_t call, unsigned short status, const HttpHeaders& headers)
    {
        upstream->calls.at(call)->events.onHead(status, headers);
        upstream->calls.at(call)->events.onEnd();
        control.runPosted();
    }

    void answerBytes(std::size_t call, const std::string& bytes)
    {
        upstream->calls.at(call)->events.onBytes(bytes);
        control.runPosted();
    }

    void answerEnd(std::size_t call)
    {
        upstream->calls.at(call)->events.onEnd();
        control.runPosted();
    }

    /// Makes a gate with one slot and a queue of 100, and a measured service time of 100 ms.
    void learnServiceTime()
    {
        limits.waiting = 100;
        gate = makeGate();
        session = gate->openSession(router);
        dispatch(1);
        control.advance(Milliseconds(100));
        answerHead(0);
        answerEnd(0);
    }

    void checkRefused(const FakeLink& over, ErrorCode code, Execution execution) const
    {
        const auto refused = over.all<fb::RefusedT>();
        BOOST_REQUIRE(refused.size() == 1u);
        BOOST_CHECK(refused.front().code == static_cast<std::uint8_t>(code));
        BOOST_CHECK(refused.front().execution == static_cast<std::uint8_t>(execution));
    }
};

} // namespace lagoon::agent::testing
