#include "standins/proxy/faultproxy.h"

#include "standins/common/tcpacceptor.h"

#include <algorithm>
#include <thread>

namespace lagoon::standins {

using web::json::value;

FaultProxy::FaultProxy(framework::Endpoint to, Framing framing)
    : target_(std::move(to))
    , framing_(framing)
{
}

framework::Result<framework::Endpoint> FaultProxy::start(const framework::Endpoint& endpoint)
{
    BOOST_OUTCOME_TRY(boundEndpoint, listenOn(acceptor_, endpoint));
    std::thread([this] { accept(); }).detach();
    return boundEndpoint;
}

void FaultProxy::accept()
{
    while (true) {
        boost::system::error_code error;
        Socket client = acceptor_.accept(error);
        if (!error)
            forwardConnection(std::move(client));
    }
}

void FaultProxy::forwardConnection(Socket client)
{
    const std::lock_guard lock(mutex_);
    ++accepted_;
    const auto target = parseEndpoint(target_);
    Socket server(context_);
    boost::system::error_code error;
    if (!refusesConnections_ && target.has_value())
        server.connect(target.value(), error);
    if (refusesConnections_ || error)
        return;
    boost::system::error_code ignored;
    client.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    server.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    std::erase_if(connections_, [](const auto& connection) { return connection->isFinished(); });
    connections_.push_back(std::make_shared<ProxiedConnection>(
        std::make_shared<Socket>(std::move(client)), std::make_shared<Socket>(std::move(server)), framing_, faults_));
    connections_.back()->start();
}

void FaultProxy::answer(Exchange& exchange) { replyError(exchange, 404, "no_such_path"); }

void FaultProxy::forEachRelay(const std::string& direction, void (StreamRelay::*action)())
{
    for (const auto& connection : connections_) {
        if (direction != "to_client")
            (connection->relay(Direction::ToServer).*action)();
        if (direction != "to_server")
            (connection->relay(Direction::ToClient).*action)();
    }
}

framework::Result<void> FaultProxy::setFaults(const value& json)
{
    framework::CheckedObject faults(json, "faults", "", framework::ErrorCode::BadRequest);
    const std::vector<std::string> directions { "to_server", "to_client", "both" };
    const std::lock_guard lock(mutex_);
    faults_.set(faults);
    refusesConnections_ = faults.flagOr("refuse", refusesConnections_);
    target_ = framework::Endpoint(faults.textOr("to", target_.value()));
    if (faults.flagOr("cut", false)) {
        for (const auto& connection : connections_)
            connection->cut();
    }
    if (faults.has("silent"))
        forEachRelay(faults.choiceOr("silent", "both", directions), &StreamRelay::blackhole);
    if (faults.has("hold"))
        forEachRelay(faults.choiceOr("hold", "both", directions), &StreamRelay::hold);
    if (faults.flagOr("release", false))
        forEachRelay("both", &StreamRelay::release);
    return faults.finish();
}

value FaultProxy::record()
{
    const std::lock_guard lock(mutex_);
    StreamCounts sums[2];
    std::uint64_t open = 0;
    for (const auto& connection : connections_) {
        open += connection->isFinished() ? 0 : 1;
        for (const Direction direction : { Direction::ToServer, Direction::ToClient }) {
            const StreamCounts counts = connection->relay(direction).counts();
            StreamCounts& sum = sums[static_cast<std::size_t>(direction)];
            sum.delivered += counts.delivered;
            sum.held += counts.held;
            sum.discarded += counts.discarded;
        }
    }
    value record;
    record["accepted"] = value::number(accepted_);
    record["open"] = value::number(open);
    record["swapped"] = value::number(faults_.swapped());
    record["lost"] = value::number(faults_.lost());
    const char* names[] = { "to_server", "to_client" };
    for (std::size_t index = 0; index < 2; ++index) {
        record[names[index]]["delivered_bytes"] = value::number(sums[index].delivered);
        record[names[index]]["held_bytes"] = value::number(sums[index].held);
        record[names[index]]["swallowed_bytes"] = value::number(sums[index].discarded);
    }
    return record;
}

} // namespace lagoon::standins
