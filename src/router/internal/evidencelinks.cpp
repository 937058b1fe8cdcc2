#include "router/internal/evidencelinks.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lagoon::router {

namespace {

using framework::Milliseconds;
using framework::VmName;
using PassOn = quarantine::EvidenceSharing::PassOn;

constexpr Milliseconds tickInterval { 1000 };
/// One or two may fail at the same time.
constexpr std::size_t relayCount = 3;
const std::string relayKey = "relays of evidence";

} // namespace

EvidenceLinks::EvidenceLinks(Context context)
    : context_(std::move(context))
    , evidence_({ context_.control, context_.clock, [this](const wire::Message& message) { send(message); } })
    , ticks_(context_.control, context_.clock, tickInterval, [this] { tick(); })
{
}

void EvidenceLinks::start() { ticks_.start(); }

void EvidenceLinks::updateRelays() { setRelays(chooseRelays()); }

void EvidenceLinks::tick()
{
    updateRelays();
    publishMetrics();
}

std::set<VmName> EvidenceLinks::chooseRelays() const
{
    std::set<VmName> relays;
    for (const VmName& vm : policy::rendezvousOrder(relayKey, context_.directory.agents())) {
        if (relays.size() == relayCount)
            break;
        const auto session = context_.sessions.existing(vm);
        if (!session || !session->isSuspect())
            relays.insert(vm);
    }
    return relays;
}

void EvidenceLinks::setRelays(const std::set<VmName>& relays)
{
    const std::set<VmName> before = std::exchange(relays_, relays);
    for (const VmName& vm : before) {
        const auto session = context_.sessions.existing(vm);
        if (session && !relays_.contains(vm))
            session->setKeptOpen(false);
    }
    for (const VmName& vm : relays_) {
        const auto session = context_.sessions.session(vm);
        if (!session)
            continue;
        session->setKeptOpen(true);
        if (!before.contains(vm))
            sendEverything(vm);
    }
}

void EvidenceLinks::didOpen(const VmName& agent)
{
    if (!relays_.contains(agent))
        return;
    sendEverything(agent);
    publishMetrics();
}

void EvidenceLinks::publishMetrics()
{
    const auto open = std::count_if(relays_.begin(), relays_.end(), [this](const VmName& vm) {
        const auto session = context_.sessions.existing(vm);
        return session && session->takesEvidence();
    });
    context_.metrics.setGauge("lagoon_evidence_links", static_cast<double>(open));
}

void EvidenceLinks::sendEverything(const VmName& agent)
{
    const auto session = context_.sessions.existing(agent);
    for (const wire::Message& message : evidence_.everything())
        session->sendEvidence(message);
}

void EvidenceLinks::send(const wire::Message& message)
{
    for (const VmName& vm : relays_) {
        if (const auto session = context_.sessions.existing(vm))
            session->sendEvidence(message);
    }
}

/// Passes evidence on only if it came from an agent that isn't a relay: all others have what came from the relays.
void EvidenceLinks::receive(const VmName& from, const wire::fb::CrashEvidenceT& body)
{
    const quarantine::EvidenceUpdate news = evidence_.receive(body, relays_.contains(from) ? PassOn::No : PassOn::Yes);
    if (!news.isEmpty())
        context_.didReceive(news);
}

} // namespace lagoon::router
