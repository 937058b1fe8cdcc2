#include "soak/crowdcallers.h"

namespace lagoon::soak {

namespace {

using testsupport::CrowdMessage;

constexpr std::size_t maxCrowds = 3;
constexpr std::uint64_t minClients = 10;
constexpr std::uint64_t clientsRange = 60;
constexpr std::uint64_t minStayMs = 400;
constexpr std::uint64_t stayRangeMs = 3000;
constexpr std::size_t largeBody = 4 * 1000 * 1000;
constexpr std::size_t longestFrame = 8 * 1024 * 1024;
constexpr std::uint64_t messageKinds = 8;
const std::string target = "/post/crowd";

} // namespace

CrowdCallers::CrowdCallers(
    fleet::Fleet& fleet, ActionScheduler& scheduler, RunLog& runLog, ProcessSupervisor& supervisor, std::size_t routers)
    : fleet_(fleet)
    , scheduler_(scheduler)
    , runLog_(runLog)
    , supervisor_(supervisor)
    , routers_(routers)
{
}

void CrowdCallers::perform()
{
    for (std::uint64_t begins = runLog_.draw(maxCrowds + 1); begins > 0 && crowds_.size() < maxCrowds; --begins)
        begin();
}

void CrowdCallers::begin()
{
    const Port port = drawPort();
    CrowdMessage message = drawMessage(port);
    const std::size_t clients = minClients + runLog_.draw(clientsRange);
    const framework::Milliseconds stay = runLog_.drawDuration(minStayMs, stayRangeMs);
    if (port.endpoint.empty())
        return;
    const std::uint64_t number = ++begun_;
    runLog_.note("crowd " + std::to_string(number) + ": " + std::to_string(clients) + " clients at " + port.name + ", "
        + std::to_string(message.pieces) + " pieces after " + message.begin.substr(0, target.size()));
    crowds_[number]
        = std::make_unique<testsupport::Crowd>(port.endpoint, clients, [&](std::size_t) { return message; });
    scheduler_.schedule(stay, [this, number] {
        crowds_.erase(number);
        runLog_.note("crowd " + std::to_string(number) + " leaves");
    });
}

CrowdCallers::Port CrowdCallers::drawPort()
{
    constexpr std::uint64_t ports = 8;
    const std::uint64_t port = runLog_.draw(ports);
    const std::size_t router = runLog_.draw(routers_);
    const std::size_t agent = runLog_.draw(fleet_.engines());
    const bool isOfAgent = port < 2;
    const std::size_t index = isOfAgent ? agent : router;
    if (!supervisor_.isServing(isOfAgent ? Role::Agent : Role::Router, index))
        return {};
    const std::string of = (isOfAgent ? " of agent " : " of router ") + std::to_string(index);
    if (isOfAgent)
        return { (port == 0 ? "link" : "ops") + of, fleet_.agent(index).readyText(port == 0 ? "link" : "ops"),
            port == 0 };
    if (port == 2)
        return { "readiness" + of, fleet_.readiness(index) };
    if (port == 3)
        return { "ops" + of, fleet_.ops(index) };
    return { "callers" + of, fleet_.callers(index) };
}

CrowdMessage CrowdCallers::drawMessage(const Port& port)
{
    const std::uint64_t kind = runLog_.draw(messageKinds);
    if (port.isLink)
        return testsupport::frameOf(longestFrame, kind % 2 == 0 ? longestFrame - 1 : 1);
    switch (kind) {
    case 0:
        return testsupport::framingWithoutEnd(target, "0\r\nX-Long: ");
    case 1:
        return testsupport::framingWithoutEnd(target, "5;a=");
    case 2:
        return testsupport::headWithoutEnd(target);
    case 3:
        return testsupport::chunksWithoutEnd(target);
    case 4:
        return testsupport::bodyOf(target, 100 * largeBody, largeBody);
    case 5:
        return testsupport::bodyOf(target, largeBody, largeBody);
    case 6:
        return { "POST " };
    default:
        return testsupport::bodyOf(target, largeBody, largeBody - 1, "host-" + std::to_string(begun_));
    }
}

void CrowdCallers::check() const
{
    runLog_.note("crowds: " + std::to_string(begun_));
    if (begun_ > 0 && fleet_.logLinesContaining("\"request_refused_unread\"").empty())
        runLog_.fail("no router has refused a client of a crowd");
}

} // namespace lagoon::soak
