#include "router/tests/fixture.h"

#include "policy/rendezvous.h"

namespace lagoon::router {

using framework::Deadline;
using framework::VmName;

namespace {

const framework::SiteName site("nz-south");
const framework::PoolName pool("drafting");
const VmName ownVm("entry-1");
const framework::Incarnation ownIncarnation(99);

bundle::BundlePointer makeBundle()
{
    auto bundle = std::make_shared<bundle::Bundle>();
    bundle->version = framework::BundleVersion(3);
    bundle->pools[pool] = bundle::Pool { pool, site, bundle::PoolKind::Engine, framework::MebiBytes(100) };
    bundle::Model model;
    model.name = framework::ModelName("notes");
    model.memory = framework::MebiBytes(60);
    model.pools = { pool };
    model.replicas[site] = 1;
    bundle->models[model.name] = model;
    bundle::Service service;
    service.name = framework::ServiceName("holds");
    service.pools = { pool };
    bundle->services[service.name] = service;
    return bundle;
}

objectstore::VmEntry entry(const std::string& vm, objectstore::VmRole role)
{
    objectstore::VmEntry entry;
    entry.vm = VmName(vm);
    entry.role = role;
    entry.site = site;
    if (role == objectstore::VmRole::Upstream)
        entry.pool = pool;
    entry.endpoint = RouterFixture::endpoint(vm);
    return entry;
}

} // namespace

callers::RequestTarget notes() { return callers::RequestTarget { framework::ModelName("notes"), {}, {} }; }

callers::RequestTarget holds() { return callers::RequestTarget { {}, {}, framework::ServiceName("holds") }; }

RouterFixture::RouterFixture()
    : bundle_(makeBundle())
    , sessionContext_ { ownVm, ownIncarnation, transport_, control_, control_, metrics_, settings_,
        [this] { return bundle_->version; }, [](framework::BundleVersion) {}, [](const auto&, const auto&) {},
        [this](const quarantine::CutRequest& cut) { dispatcher_.quarantine().didCut(cut); } }
    , sessions_(sessionContext_, directory_)
    , peers_(std::make_shared<PeerLinks>(sessionContext_, directory_))
    , dispatcher_({ site, control_, control_, metrics_, settings_, directory_, placements_, sessions_,
          [this] { return bundle_; } })
    , gate_(control_, control_, metrics_)
    , home_({ site, control_, control_, metrics_, settings_, sessions_, directory_, placements_, gate_,
          [this] { return bundle_; }, [](framework::BundleVersion) {},
          [this](const SiteTarget&, const HoldersHandler& handler) { handler(holders_); } })
    , wakes_({ ownVm, control_, control_, metrics_, directory_, home_, *peers_, [] { return std::size_t(4); },
          [this] { return bundle_->version; },
          [this](const auto& where, const auto& vms, const auto& requests) {
              dispatcher_.handlePlacements(where, vms, requests);
          },
          [this](const auto& error, framework::BundleVersion homeVersion, const auto& requests) {
              dispatcher_.handleRefusal(error, homeVersion, requests);
          },
          [this](const auto& progress, const auto& requests) { dispatcher_.handleForecast(progress, requests); } })
{
    dispatcher_.setWakes(wakes_);
    dispatcher_.setReplicaChoice(policy::makeReplicaChoice({}, 1));
    home_.setLoadPlacement(policy::makeLoadPlacement({}));
    gate_.setPolicy({}, policy::makeLoadOrder({}));
    objectstore::VmEntry far = entry("far-1", objectstore::VmRole::Upstream);
    far.site = framework::SiteName("far");
    far.pool = framework::PoolName("far-drafting");
    vms_ = { entry("entry-1", objectstore::VmRole::Router), entry("draft-1", objectstore::VmRole::Upstream),
        entry("draft-2", objectstore::VmRole::Upstream), far };
    directory_.setEntries(vms_);
}

std::string RouterFixture::addHomeFor(const std::string& key)
{
    std::string name;
    for (int number = 2; policy::rendezvousOrder(key, { ownVm, VmName(name) }).front() == ownVm; ++number)
        name = "entry-" + std::to_string(number);
    vms_.push_back(entry(name, objectstore::VmRole::Router));
    directory_.setEntries(vms_);
    return name;
}

std::shared_ptr<wire::FakeLink> RouterFixture::link(const std::string& vm) const
{
    return transport_.newest(endpoint(vm));
}

std::shared_ptr<wire::FakeLink> RouterFixture::completeHandshake(
    const std::string& vm, std::uint64_t incarnation, std::uint64_t session)
{
    auto found = link(vm);
    wire::fb::HelloAckT hello;
    hello.receiver_vm = vm;
    hello.receiver_incarnation = incarnation;
    hello.session = session;
    found->deliver(wire::message(std::move(hello)));
    runPending();
    return found;
}

std::shared_ptr<FakeAnswer> RouterFixture::ask(
    const callers::RequestTarget& target, framework::Milliseconds timeout, bool isRepeatable, std::uint8_t priority)
{
    callers::CallerRequest request;
    request.name = framework::RequestName("99-1");
    request.target = target;
    request.method = "POST";
    request.path = "/";
    request.body = "question";
    request.deadline = Deadline::after(control_.now(), timeout);
    request.isRepeatable = isRepeatable;
    request.priority = priority;
    auto answer = std::make_shared<FakeAnswer>();
    dispatcher_.accept(std::move(request), answer);
    runPending();
    return answer;
}

void RouterFixture::deliverHead(
    wire::FakeLink& link, const wire::fb::DispatchIdT& id, unsigned short status, const callers::HttpHeaders& fields)
{
    wire::fb::AnswerHeadT head;
    head.id = std::make_unique<wire::fb::DispatchIdT>(id);
    head.status = status;
    for (const auto& [name, value] : fields) {
        head.headers.push_back(std::make_unique<wire::fb::HeaderT>());
        head.headers.back()->name = name;
        head.headers.back()->value = value;
    }
    link.deliver(wire::message(std::move(head)));
    runPending();
}

void RouterFixture::answer(wire::FakeLink& link, const wire::fb::DispatchIdT& id, const std::string& body)
{
    deliverHead(link, id, 200);
    wire::fb::AnswerChunkT chunk;
    chunk.id = std::make_unique<wire::fb::DispatchIdT>(id);
    chunk.bytes.assign(body.begin(), body.end());
    link.deliver(wire::message(std::move(chunk)));
    wire::fb::AnswerEndT end;
    end.id = std::make_unique<wire::fb::DispatchIdT>(id);
    end.length = body.size();
    end.checksum = policy::fnv1a(body.data(), body.size());
    link.deliver(wire::message(std::move(end)));
    runPending();
}

void RouterFixture::refuse(
    wire::FakeLink& link, const wire::fb::DispatchIdT& id, framework::ErrorCode code, framework::Execution execution)
{
    wire::fb::RefusedT refused;
    refused.id = std::make_unique<wire::fb::DispatchIdT>(id);
    refused.code = static_cast<std::uint8_t>(code);
    refused.execution = execution == framework::Execution::NotRun ? 0 : 1;
    link.deliver(wire::message(std::move(refused)));
    runPending();
}

} // namespace lagoon::router
