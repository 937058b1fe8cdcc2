#pragma once

#include "engines/enginecontroller.h"
#include "framework/testing/manualcontrol.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <new>
#include <string>
#include <utility>
#include <vector>

namespace lagoon::engines::testing {

using catalog::InstanceId;
using catalog::MegaBytes;
using catalog::TargetDemand;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::FencingToken;
using framework::ManualControl;
using framework::Milliseconds;
using framework::ModelName;
using framework::VmName;

/// Throws unless `exceptions` is 0, and counts it down.
inline void throwNext(int& exceptions)
{
    if (exceptions == 0)
        return;
    --exceptions;
    throw std::bad_alloc();
}

/// An engine that answers reports with `state` when the control thread runs next; the test answers its orders.
class FakeEngine final : public IEnginePort {
public:
    explicit FakeEngine(ManualControl& control)
        : control_(control)
    {
    }

    void report(Deadline, ReportHandler handler) override
    {
        ++reports;
        throwNext(reportExceptions);
        if (losesNextReport) {
            losesNextReport = false;
            return;
        }
        control_.post([this, handler = std::move(handler)] {
            if (isSilent)
                handler(Error { ErrorCode::PlatformUnavailable, "report", "engine", "silent" }, notice);
            else
                handler(state, notice);
        });
    }

    void order(const Order& order, const OrderPreconditions& preconditions, Deadline, OrderHandler handler) override
    {
        throwNext(orderExceptions);
        orders.push_back({ order, preconditions });
        handlers.push_back(std::move(handler));
    }

    void answer(OrderOutcome outcome, const std::string& instance = {})
    {
        auto handler = std::move(handlers.front());
        handlers.pop_front();
        handler({ outcome, InstanceId(instance), {}, notice });
    }

    EngineReport state;
    /// What the engine's answers say.
    notices::ServerNotice notice;
    bool isSilent = false;
    /// The next report never arrives, not even as an error.
    bool losesNextReport = false;
    /// How many of the next calls throw.
    int reportExceptions = 0;
    int orderExceptions = 0;
    int reports = 0;
    std::vector<std::pair<Order, OrderPreconditions>> orders;
    std::deque<OrderHandler> handlers;

private:
    ManualControl& control_;
};

class FakeFencingTokens final : public IFencingTokenSource {
public:
    void next(Deadline, Handler handler) override
    {
        ++acquisitions;
        throwNext(exceptions);
        if (isUnavailable)
            return handler(Error { ErrorCode::PlatformUnavailable, "fence", "store", "away" });
        handler(FencingToken(++lastToken));
    }

    std::uint64_t lastToken = 40;
    int exceptions = 0;
    int acquisitions = 0;
    bool isUnavailable = false;
};

class FakeProfiles final : public IProfileSource {
public:
    int exceptions = 0;

    void read(Deadline, Handler handler) override
    {
        throwNext(exceptions);
        auto configuration = std::make_shared<catalog::Configuration>();
        configuration->version = catalog::ConfigurationVersion(1);
        catalog::Service service;
        service.name = framework::ServiceName("models");
        service.engine.emplace();
        service.engine->weights = MegaBytes(100);
        service.engine->adapters = 4;
        for (const std::string name : { "a", "b" })
            service.engine->models.add({ ModelName(name), MegaBytes(60), Milliseconds(6000), Milliseconds(800),
                Milliseconds(600), MegaBytes(1), 0 });
        configuration->services.push_back(service);
        handler(std::move(configuration));
    }
};

/// A controller between an engine, a source of fencing tokens and a store that the test commands.
struct ControllerFixture {
    ControllerFixture()
        : engine(control)
        , controller({ control, control, engine, fencingTokens, profiles, std::make_shared<framework::Metrics>(),
                         [this](const catalog::EngineState& state) { didPublish(state); },
                         [this](const catalog::EngineLoad& load) { publishedLoads.push_back(load); },
                         [this](const ratelimits::LimitStatement& limit) { limits.push_back(limit); } },
              { VmName("vm"), framework::ServiceName("models"), framework::Endpoint("10.0.0.1:80") })
    {
    }

    void didPublish(const catalog::EngineState& state)
    {
        throwNext(publishExceptions);
        published.push_back(state);
    }

    /// Does the action as an event loop does, which goes on after an exception.
    template <typename Action> static void runDespiteExceptions(const Action& action)
    {
        try {
            action();
        } catch (const std::bad_alloc&) {
            BOOST_TEST_MESSAGE("an exception reached the event loop");
        }
    }

    void advanceTimeDespiteExceptions(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += Milliseconds(5)) {
            runDespiteExceptions([this] { advanceTime(Milliseconds(5)); });
        }
    }

    void start()
    {
        controller.start();
        control.runPosted();
    }

    void setWaitingRequest(const std::string& model, const std::string& instance = "i-1")
    {
        TargetDemand demand;
        demand.target.model = ModelName(model);
        demand.waiting = 1;
        demand.earliest = Deadline::after(control.now(), Milliseconds(15000));
        controller.setDemand(VmName("router"), InstanceId(instance), { demand });
        control.runPosted();
    }

    void advanceTime(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += Milliseconds(5)) {
            control.advance(Milliseconds(5));
            control.runPosted();
        }
    }

    std::size_t publications() const { return published.size() + publishedLoads.size(); }

    ManualControl control;
    FakeEngine engine;
    FakeFencingTokens fencingTokens;
    FakeProfiles profiles;
    /// How many of the next publications of a state throw.
    int publishExceptions = 0;
    std::vector<catalog::EngineState> published;
    std::vector<catalog::EngineLoad> publishedLoads;
    std::vector<ratelimits::LimitStatement> limits;
    EngineController controller;
};

} // namespace lagoon::engines::testing
