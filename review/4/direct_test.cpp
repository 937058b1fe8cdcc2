// A server leaves as planned: it reports `draining`, serves on for a while, then exits. Before, one of its heartbeats
// got no answer from the store. With TROUBLE=1 the store executes that call 6 s late, after the report of `draining`.
// Looked for: requests that reach the leaving server later than drain-deadline-ms after the store accepted that report.

#include "../common/bookingserver.h"
#include "fleet/fleet.h"

using namespace lagoon;
using review::BookingServer;
using review::Clock;
using review::milliseconds;

namespace {

constexpr milliseconds heartbeat { 1200 };
constexpr milliseconds drainDeadline { 2000 };
/// The server serves a little longer than it must, as the page says.
constexpr milliseconds servesLonger { 1500 };
/// From the heartbeat without an answer to the report of `draining`: longer than contact-ms, so that the store counts
/// as stable again.
constexpr milliseconds untilDraining { 3300 };
/// From the heartbeat without an answer to its execution; the pages name 1 to 6 s.
constexpr milliseconds lateness { 6000 };
constexpr milliseconds work { 300 };
constexpr int rounds = 5;
constexpr int callers = 8;

/// One server leaves. Returns the number of requests that reached it too late.
int leave(fleet::Fleet& fleet, BookingServer& server, review::Record& record)
{
    const std::string& name = server.instance();
    review::beat(fleet, name, server.entry("ready"), record);
    std::this_thread::sleep_for(heartbeat);
    const auto start = Clock::now();
    const web::json::value unanswered = server.entry("ready");
    record.line(name + " sends a heartbeat, ready, and gets no answer from the store");
    for (auto next = start + heartbeat; next < start + untilDraining; next += heartbeat) {
        std::this_thread::sleep_until(next);
        review::beat(fleet, name, server.entry("ready"), record);
    }
    std::this_thread::sleep_until(start + untilDraining);
    const auto acknowledged = review::beat(fleet, name, server.entry("draining"), record);
    auto next = acknowledged + heartbeat;
    const auto beatUntil = [&](Clock::time_point end) {
        for (; next < end; next += heartbeat) {
            std::this_thread::sleep_until(next);
            review::beat(fleet, name, server.entry("draining"), record);
        }
        std::this_thread::sleep_until(end);
    };
    beatUntil(start + lateness);
    if (review::hasTrouble())
        review::beat(fleet, name, unanswered, record, ", the late heartbeat");
    beatUntil(acknowledged + drainDeadline + servesLonger);
    server.exit();
    fleet.store.remove("servers", name);
    record.line(name + " has exited, its entry is removed");
    std::this_thread::sleep_for(heartbeat);
    return review::lateArrivals(server, acknowledged, drainDeadline, record);
}

int play(const std::string& recordFile)
{
    review::Record record(recordFile);
    fleet::Fleet& fleet = fleet::Fleet::make();
    // They live as long as the process, as the threads of their connections do.
    auto& staying = *new BookingServer("booking-0", work, record);
    fleet.store.remove("servers", "p-1");
    fleet.store.remove("servers", "p-2");
    review::beat(fleet, staying.instance(), staying.entry("ready"), record);
    fleet.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    review::Callers calls(fleet, callers, record);
    int late = 0;
    for (int round = 1; round <= rounds; ++round) {
        auto& leaving = *new BookingServer("booking-" + std::to_string(round), work, record);
        late += leave(fleet, leaving, record);
    }
    calls.stop();
    fleet.stop();
    const bool couldRun = calls.statuses()[200] > 100;
    const int result = !couldRun ? 2 : late > 0 ? 1 : 0;
    record.line("result " + std::to_string(result) + ": " + std::to_string(late)
        + " requests reached leaving servers too late");
    return result;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
        return 2;
    try {
        std::_Exit(play(arguments[1]));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        std::_Exit(2);
    }
}
