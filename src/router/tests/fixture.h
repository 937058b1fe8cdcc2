#pragma once

#include "framework/testing/manualcontrol.h"
#include "policy/policysetup.h"
#include "router/internal/agentsessions.h"
#include "router/internal/dispatcher.h"
#include "router/internal/home.h"
#include "router/internal/loadgate.h"
#include "router/internal/peerlinks.h"
#include "router/internal/wakes.h"
#include "wire/testing/faketransport.h"

#include <memory>
#include <string>

namespace lagoon::router {

/// A caller that records the answer, error or refusal that it receives.
class FakeAnswer final : public callers::ICallerAnswer {
public:
    void begin(unsigned short status, const callers::HttpHeaders&, std::uint32_t attempt) override
    {
        status_ = status;
        attempt_ = attempt;
    }
    void write(std::string bytes) override { body_ += bytes; }
    void finish() override { ++finalCount_, isComplete_ = true; }
    void breakOff(const framework::Error& error) override { ++finalCount_, brokenOff_ = error; }
    void refuse(const framework::Error& error, std::uint32_t) override { ++finalCount_, refused_ = error; }
    void onCallerGone(std::function<void()> action) override { onGone_ = std::move(action); }

    unsigned short status_ = 0;
    std::string body_;
    std::uint32_t attempt_ = 0;
    int finalCount_ = 0;
    bool isComplete_ = false;
    std::optional<framework::Error> brokenOff_;
    std::optional<framework::Error> refused_;
    std::function<void()> onGone_;
};

/// The components of a router that run on the control thread, with a manual clock. The test acts as the agents. There
/// is one pool: its upstreams `draft-1` and `draft-2` may load the model `notes` (one replica) and run the service
/// `holds`, whose requests must not run twice. The upstream `far-1` is at another site, for which the bundle decides no
/// replicas.
class RouterFixture {
public:
    RouterFixture();

    /// Answers the hello on the newest link to the agent, and returns that link.
    std::shared_ptr<wire::FakeLink> completeHandshake(
        const std::string& vm, std::uint64_t incarnation = 1, std::uint64_t session = 7);
    std::shared_ptr<wire::FakeLink> link(const std::string& vm) const;
    std::shared_ptr<FakeAnswer> ask(
        const callers::RequestTarget&, framework::Milliseconds timeout, bool isRepeatable, std::uint8_t priority = 0);
    /// Delivers the head of an answer alone.
    void deliverHead(
        wire::FakeLink&, const wire::fb::DispatchIdT&, unsigned short status, const callers::HttpHeaders& fields = {});
    /// Delivers a complete answer of one chunk.
    void answer(wire::FakeLink&, const wire::fb::DispatchIdT&, const std::string& body);
    void refuse(wire::FakeLink&, const wire::fb::DispatchIdT&, framework::ErrorCode, framework::Execution);
    /// Adds a router that precedes this one in the rendezvous order of the key, and returns its name.
    std::string addHomeFor(const std::string& key);
    void runPending() { control_.runPosted(); }

    static framework::Endpoint endpoint(const std::string& vm) { return framework::Endpoint(vm + ":1"); }

    framework::ManualControl control_;
    framework::Metrics metrics_;
    DispatchSettings settings_;
    wire::FakeTransport transport_;
    bundle::BundlePointer bundle_;
    /// Contents of the platform's replica object of every target.
    TargetHolders holders_;
    objectstore::VmEntries vms_;
    VmDirectory directory_;
    PlacementCache placements_;
    SessionContext sessionContext_;
    AgentSessions sessions_;
    std::shared_ptr<PeerLinks> peers_;
    Dispatcher dispatcher_;
    LoadGate gate_;
    Home home_;
    Wakes wakes_;
};

/// The model and the service of the fixture.
callers::RequestTarget notes();
callers::RequestTarget holds();

} // namespace lagoon::router
