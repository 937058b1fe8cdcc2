#include "soak/soakrun.h"

#include "support/waitfor.h"

#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace lagoon::soak {

using fleet::CallerRequest;
using framework::Endpoint;
using framework::Milliseconds;
using web::json::value;

namespace {

constexpr int callers = 4;
constexpr std::size_t routers = 2;
constexpr int streamEvents = 6;

/// The proxies' threads end with the process, like the stand-ins'.
standins::FaultProxy& proxyTo(const std::string& endpoint)
{
    // Never destroyed: their threads still run when the program's static objects go.
    static auto& kept = *new std::vector<std::unique_ptr<standins::FaultProxy>>;
    return *kept.emplace_back(std::make_unique<standins::FaultProxy>(Endpoint(endpoint), standins::Framing::None));
}

std::string started(standins::FaultProxy& proxy, const std::string& address)
{
    return proxy.start(Endpoint(address + ":0")).value().value();
}

value fault(const std::string& name, const value& what)
{
    value json;
    json[name] = what;
    return json;
}

std::string wholeStream()
{
    std::string text;
    for (int event = 1; event <= streamEvents; ++event)
        text += "id: " + std::to_string(event) + "\ndata: word" + std::to_string(event) + "\n\n";
    return text;
}

bool saysNotRun(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

} // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings_(settings)
    , fleet_(fleet::Fleet::make())
    , storeProxy_(proxyTo(fleet_.store.endpoint()))
    , plainProxy_(proxyTo(fleet_.plain1.endpoint()))
    , engineProxy_(proxyTo(fleet_.engine2.endpoint()))
    , random_(settings.seed)
{
    fleet_.setStoreEndpoint(started(storeProxy_, "127.0.0.1"));
    fleet_.listAt(fleet_.plain1, "plain", started(plainProxy_, "127.0.0.1"));
    fleet_.listAt(fleet_.engine2, "engines", started(engineProxy_, "127.0.0.2"));
    fleet_.engine1.setStream(streamEvents, 3);
    fleet_.engine2.setStream(streamEvents, 3);
}

SoakReport SoakRun::run()
{
    fleet_.start();
    for (std::size_t router = 1; router < routers; ++router)
        fleet_.startRouter(router);
    for (std::size_t router = 0; router < routers; ++router)
        endpoints_.push_back(fleet_.callers(router));
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([this, caller] { callersLoop(caller); });
    const auto until = std::chrono::steady_clock::now() + settings_.faults;
    while (std::chrono::steady_clock::now() < until)
        strike();
    heal();
    waitUntilServed();
    isOver_ = true;
    for (std::thread& thread : threads)
        thread.join();
    for (const Sent& sent : sent_)
        check(sent);
    checkEngines();
    fleet_.stop();
    return report_;
}

void SoakRun::callersLoop(int number)
{
    std::mt19937_64 random(settings_.seed * 1000 + static_cast<std::uint64_t>(number));
    Caller caller;
    for (int request = 0; !isOver_; ++request) {
        Sent sent = callOnce(caller, random, number, request);
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back(std::move(sent));
        }
        std::this_thread::sleep_for(Milliseconds(random() % 8));
    }
}

SoakRun::Sent SoakRun::callOnce(Caller& caller, std::mt19937_64& random, int number, int request)
{
    const std::vector<std::string> kinds { "/get/", "/post/", "/model/", "/resume/" };
    const std::vector<std::string> models { "warm", "warm", "cold", "colder", "warm/a1" };
    Sent sent;
    sent.kind = kinds[random() % kinds.size()];
    sent.attempt = "s" + std::to_string(settings_.seed) + "-" + std::to_string(number) + "-" + std::to_string(request);
    CallerRequest made;
    made.method = sent.kind == "/get/" ? "GET" : "POST";
    made.target = sent.kind + sent.attempt;
    made.attempt = sent.attempt;
    made.deadlineMs = 2500;
    made.keepsAlive = true;
    made.prompt = std::to_string(random() % 5) + ":50";
    if (sent.kind == "/model/" || sent.kind == "/resume/")
        made.model = models[random() % models.size()];
    std::string endpoint;
    {
        const std::lock_guard lock(mutex_);
        endpoint = endpoints_[random() % endpoints_.size()];
    }
    sent.outcome = caller.call(endpoint, made.text());
    return sent;
}

void SoakRun::strike()
{
    ++report_.faults;
    switch (draw(4)) {
    case 0:
        strikeProcess();
        break;
    case 1:
        strikeNetwork();
        break;
    case 2:
        strikeServers();
        break;
    default:
        changeConfiguration();
    }
    pause(20, 200);
}

void SoakRun::strikeProcess()
{
    const bool isRouter = draw(2) == 0;
    const std::size_t index = draw(2);
    testsupport::ChildProcess& process = isRouter ? fleet_.router(index) : fleet_.agent(index);
    const std::string name = process.name();
    const auto action = draw(4);
    if (!process.isRunning())
        fail(name + " ended by itself:\n" + process.output());
    if (action == 0) {
        note("SIGSTOP and SIGCONT " + name);
        process.sendSignal(SIGSTOP);
        pause(50, 900);
        return process.sendSignal(SIGCONT);
    }
    if (action == 1) {
        note("SIGHUP " + name);
        return process.sendSignal(SIGHUP);
    }
    if (action == 2 && !isRouter) {
        note("SIGTERM " + name);
        process.sendSignal(SIGTERM);
        if (process.waitForExit() != 0)
            fail(name + " didn't end in order");
    } else {
        note("SIGKILL " + name);
        process.kill();
    }
    pause(0, 300);
    if (!isRouter)
        return fleet_.startAgent(index);
    fleet_.startRouter(index);
    const std::lock_guard lock(mutex_);
    endpoints_[index] = fleet_.callers(index);
}

void SoakRun::strikeNetwork()
{
    standins::FaultProxy* const proxies[] { &storeProxy_, &plainProxy_, &engineProxy_ };
    const std::size_t which = draw(3);
    standins::FaultProxy& proxy = *proxies[which];
    const auto set = [&](const std::string& name, const value& what) {
        note("proxy " + std::to_string(which) + ": " + name + " " + what.serialize());
        if (proxy.setFaults(fault(name, what)).has_error())
            fail("a fault that the proxy doesn't know: " + name);
    };
    const std::vector<std::string> directions { "to_server", "to_client", "both" };
    switch (draw(4)) {
    case 0:
        return set("cut", value::boolean(true));
    case 1:
        return set("silent", value::string(directions[draw(3)]));
    case 2: {
        value delay;
        delay["to_server"] = value::number(draw(40));
        delay["to_client"] = value::number(draw(40));
        return set("delay_ms", delay);
    }
    default: {
        value loss;
        loss["count"] = value::number(1 + draw(2));
        loss["after_bytes"] = value::number(draw(200));
        return set("lose_answer", loss);
    }
    }
}

void SoakRun::strikeServers()
{
    fleet::ServerStandin* const servers[] { &fleet_.plain1, &fleet_.plain2, &fleet_.engine1, &fleet_.engine2 };
    fleet::ServerStandin& server = *servers[draw(4)];
    switch (draw(4)) {
    case 0:
        note("refusals at " + server.instance());
        return server.refuseNext(static_cast<int>(1 + draw(4)));
    case 1:
        note("lost answers at " + server.instance());
        return server.dropNext(static_cast<int>(1 + draw(3)));
    case 2:
        note("a stream cut within an event");
        return fleet_.engine1.breakAfter(static_cast<int>(1 + draw(streamEvents)));
    default:
        note("the store goes away for a while");
        fleet_.store.setAway(true);
        pause(50, 600);
        fleet_.store.setAway(false);
        if (draw(2) == 0)
            fleet_.store.forgetHistory();
    }
}

void SoakRun::changeConfiguration()
{
    hasNewRoute_ = !hasNewRoute_;
    note(hasNewRoute_ ? "a route more" : "a route less");
    auto routes = fleet::Fleet::usualRoutes();
    if (hasNewRoute_)
        routes.push_back(fleet::Fleet::route("/new/", "idempotent", "plain"));
    fleet_.configure(routes);
}

void SoakRun::heal()
{
    note("all heals");
    fleet_.store.setAway(false);
    value none;
    none["to_server"] = value::number(0);
    none["to_client"] = value::number(0);
    for (standins::FaultProxy* const proxy : { &storeProxy_, &plainProxy_, &engineProxy_ }) {
        (void)proxy->setFaults(fault("delay_ms", none));
        (void)proxy->setFaults(fault("cut", value::boolean(true)));
    }
    for (fleet::ServerStandin* const server : std::initializer_list<fleet::ServerStandin*> {
             &fleet_.plain1, &fleet_.plain2, &fleet_.engine1, &fleet_.engine2 }) {
        server->refuseNext(0);
        server->dropNext(0);
    }
    fleet_.engine1.breakAfter(0);
}

/// Each kind of request, at each router.
void SoakRun::waitUntilServed()
{
    int probe = 0;
    for (std::size_t router = 0; router < routers; ++router) {
        for (const std::string kind : { "/get/", "/post/", "/model/", "/resume/" }) {
            const bool isServed = testsupport::isReached([&] {
                CallerRequest made;
                made.method = kind == "/get/" ? "GET" : "POST";
                made.target = kind + "probe";
                made.attempt = "probe" + std::to_string(++probe);
                made.model = kind == "/model/" || kind == "/resume/" ? "cold" : "";
                Caller caller;
                return caller.call(fleet_.callers(router), made.text()).status == 200;
            });
            if (!isServed)
                fail(kind + " isn't served again at router " + std::to_string(router));
        }
    }
}

int SoakRun::runsOf(const std::string& attempt) const
{
    return fleet_.plain1.runs(attempt) + fleet_.plain2.runs(attempt) + fleet_.engine1.runs(attempt)
        + fleet_.engine2.runs(attempt);
}

void SoakRun::check(const Sent& sent)
{
    const int runs = runsOf(sent.attempt);
    const Outcome& outcome = sent.outcome;
    const std::string which
        = sent.kind + sent.attempt + " (" + std::to_string(outcome.status) + ", " + std::to_string(runs) + " runs)";
    ++report_.requests;
    report_.served += outcome.status == 200 && outcome.isWhole ? 1 : 0;
    report_.refused += saysNotRun(outcome.status) ? 1 : 0;
    const bool mayRepeat = sent.kind == "/get/" || sent.kind == "/resume/";
    if (!mayRepeat && runs > 1)
        fail("ran twice: " + which);
    if (!mayRepeat && saysNotRun(outcome.status) && runs > 0)
        fail("refused as not run, but ran: " + which);
    if (outcome.status == 404 || outcome.status == 400)
        fail("denied: " + which);
    if (outcome.status != 200)
        return;
    const bool isStream = sent.kind == "/model/" || sent.kind == "/resume/";
    if (isStream && outcome.isWhole && outcome.body != wholeStream())
        fail("looks whole, but isn't: " + which + "\n" + outcome.body);
    if (isStream && !outcome.isWhole && !wholeStream().starts_with(outcome.body))
        fail("events out of order: " + which + "\n" + outcome.body);
    if (!isStream && outcome.isWhole && outcome.body.find(sent.attempt) == std::string::npos)
        fail("another request's answer: " + which + "\n" + outcome.body);
}

void SoakRun::checkEngines()
{
    if (fleet_.engine1.violations() + fleet_.engine2.violations() > 0)
        fail("an engine was ordered beyond what fits, or with an older fence");
    for (std::size_t index = 0; index < routers; ++index) {
        if (!fleet_.router(index).isRunning() || !fleet_.agent(index).isRunning())
            fail("a process ended by itself");
    }
}

void SoakRun::pause(std::uint64_t least, std::uint64_t more)
{
    std::this_thread::sleep_for(Milliseconds(least + draw(more)));
}

void SoakRun::note(const std::string& what)
{
    if (settings_.isLoud)
        std::cout << "seed " << settings_.seed << ": " << what << std::endl;
}

void SoakRun::fail(const std::string& what) { report_.broken.push_back(what); }

} // namespace lagoon::soak
