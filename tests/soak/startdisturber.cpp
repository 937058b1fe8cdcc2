#include "soak/startdisturber.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fcntl.h>

namespace lagoon::soak {

namespace {

using boost::asio::ip::tcp;
using framework::Milliseconds;
using SettingsState = fleet::Fleet::SettingsState;

constexpr std::uint64_t minDelayMs = 50;
constexpr std::uint64_t delayRangeMs = 500;
/// A start takes less than this time on an idle machine.
constexpr std::uint64_t startRangeUs = 60000;

/// A foreign socket that listens on a port.
class PortHolder {
public:
    explicit PortHolder(const std::string& endpoint)
    {
        const std::size_t colon = endpoint.rfind(':');
        const tcp::endpoint address(boost::asio::ip::make_address(endpoint.substr(0, colon)),
            static_cast<unsigned short>(std::stoul(endpoint.substr(colon + 1))));
        boost::system::error_code error;
        acceptor_.open(address.protocol(), error);
        // Processes that start meanwhile must not inherit the socket.
        ::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(address, error);
        if (!error)
            acceptor_.listen(tcp::acceptor::max_listen_connections, error);
        isHeld_ = !error;
    }

    bool isHeld() const { return isHeld_; }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_ { context_ };
    bool isHeld_ = false;
};

} // namespace

StartDisturber::StartDisturber(
    fleet::Fleet& fleet, ActionScheduler& scheduler, RunLog& runLog, ProcessSupervisor& supervisor)
    : fleet_(fleet)
    , scheduler_(scheduler)
    , runLog_(runLog)
    , supervisor_(supervisor)
{
}

Milliseconds StartDisturber::drawDelay() { return runLog_.drawDuration(minDelayMs, delayRangeMs); }

void StartDisturber::disturbOne()
{
    Chosen chosen;
    chosen.role = runLog_.draw(2) == 0 ? Role::Router : Role::Agent;
    chosen.index = runLog_.draw(supervisor_.count(chosen.role));
    const std::uint64_t kind = runLog_.draw(7);
    if (!supervisor_.isServing(chosen.role, chosen.index))
        return;
    switch (kind) {
    case 0:
        return holdPort(chosen);
    case 1:
        return damageSettings(chosen, SettingsState::Missing);
    case 2:
        return damageSettings(chosen, SettingsState::HalfWritten);
    case 3:
        return takeStoreAway(chosen);
    case 4:
        return supervisor_.replace(chosen.role, chosen.index);
    default:
        return signalStart(chosen);
    }
}

void StartDisturber::holdPort(const Chosen& chosen)
{
    const std::string name = chosen.role == Role::Agent ? "link" : (runLog_.draw(2) == 0 ? "callers" : "readiness");
    const std::string endpoint = supervisor_.endpoint(chosen.role, chosen.index, name);
    supervisor_.kill(chosen.role, chosen.index);
    auto holder = std::make_shared<PortHolder>(endpoint);
    runLog_.note((holder->isHeld() ? "port held: " : "port can't be held: ") + endpoint);
    scheduler_.schedule(drawDelay(), [this, holder, endpoint]() mutable {
        holder.reset();
        runLog_.note("port released: " + endpoint);
    });
}

/// The settings of other processes that start meanwhile are damaged too.
void StartDisturber::damageSettings(const Chosen& chosen, SettingsState state)
{
    runLog_.note(state == SettingsState::Missing ? "settings missing" : "settings half written");
    fleet_.setSettingsState(state);
    supervisor_.kill(chosen.role, chosen.index);
    scheduler_.schedule(drawDelay(), [this] {
        fleet_.setSettingsState(SettingsState::Whole);
        for (std::size_t index = 0; index < supervisor_.count(Role::Router); ++index)
            (void)fleet_.writeRouterSettings(index);
        for (std::size_t index = 0; index < supervisor_.count(Role::Agent); ++index)
            (void)fleet_.writeAgentSettings(index);
        runLog_.note("settings whole");
    });
}

void StartDisturber::takeStoreAway(const Chosen& chosen)
{
    runLog_.note("store unavailable for a while");
    runLog_.beginFault(storeFaults_, FaultScope::store());
    fleet_.store.setUnavailable(true);
    supervisor_.kill(chosen.role, chosen.index);
    scheduler_.schedule(drawDelay(), [this] {
        fleet_.store.setUnavailable(false);
        runLog_.endFaults(storeFaults_);
    });
}

void StartDisturber::signalStart(const Chosen& chosen)
{
    const int signal = runLog_.draw(2) == 0 ? SIGHUP : SIGTERM;
    supervisor_.signalNextStart(
        chosen.role, chosen.index, signal, std::chrono::microseconds(runLog_.draw(startRangeUs)));
    supervisor_.kill(chosen.role, chosen.index);
}

} // namespace lagoon::soak
