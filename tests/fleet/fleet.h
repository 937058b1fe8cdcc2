#pragma once

#include "fleet/serverstandins.h"
#include "fleet/storestandin.h"
#include "framework/types/time.h"
#include "support/childprocess.h"
#include "support/temporaryfolder.h"

#include <cpprest/json.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoon::fleet {

/// An answer as its caller receives it.
struct CallerAnswer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the answer was received whole, by its Content-Length or its last chunk.
    bool isComplete = false;
};

/// Parses everything that was received on a connection as one answer.
CallerAnswer parseAnswer(const std::string& received);

/// A caller's request.
struct CallerRequest {
    std::string method = "POST";
    std::string target = {};
    std::string attempt = {};
    std::string model = {};
    int deadlineMs = 20000;
    std::string body = "body";
    std::string prompt = "a1:60,b2:40";
    bool keepsAlive = false;
    std::map<std::string, std::string> headers = {};

    std::string text() const;
};

/// Stand-ins of a store, two engines and two plain servers, and real processes of the product: a direct router, and a
/// direct agent for each engine. All listen on loopback. Each engine has an address of its own, because routers connect
/// to an engine's agent at the engine's address.
class Fleet {
public:
    Fleet();
    ~Fleet();
    /// Creates a fleet that is never destroyed, because the stand-ins' threads run until the test's process ends.
    static Fleet& make();
    /// Kills the processes.
    void stop();

    StoreStandin store;
    PlainStandin plain1 { "p-1", "127.0.0.1" };
    PlainStandin plain2 { "p-2", "127.0.0.1" };
    EngineStandin engine1 { "e-1", "127.0.0.1" };
    EngineStandin engine2 { "e-2", "127.0.0.2" };

    /// Adds an engine at an address of its own, without models and not yet listed in the store. An engine's agent has
    /// the same index as the engine.
    EngineStandin& addEngine();
    EngineStandin& engine(std::size_t index);
    std::size_t engines() const { return 2 + addedEngines_.size(); }

    void startProcesses();
    /// Starts a further router, or restarts one. Indices start at 0.
    void startRouter(std::size_t index);
    /// Starts the agent of an engine, or restarts it. Indices 0 and 1 are those of `engine1` and `engine2`; added
    /// engines follow.
    void startAgent(std::size_t index);
    /// Lets the router, which isn't started yet, listen for callers and load balancers at the same ports each time.
    void fixPorts(std::size_t router);
    /// What the settings files of processes look like that are launched from now on.
    enum class SettingsState : std::uint8_t { Whole, Missing, HalfWritten };
    void setSettingsState(SettingsState state) { settingsState_ = state; }
    /// Rewrites the agent's settings file from the current values and returns its path.
    std::string writeAgentSettings(std::size_t index);
    /// Hands over a process, so that another one can be started beside it.
    std::unique_ptr<testsupport::ChildProcess> releaseRouter(std::size_t index)
    {
        return std::move(routers_.at(index));
    }
    std::unique_ptr<testsupport::ChildProcess> releaseAgent(std::size_t index) { return std::move(agents_.at(index)); }
    /// As `startRouter` and `startAgent`, but without waiting until the process is ready.
    void launchRouter(std::size_t index);
    void launchAgent(std::size_t index);
    /// Rewrites the router's settings file from the current values and returns its path.
    std::string writeRouterSettings(std::size_t index);
    /// Starts the processes and waits until the router is ready, has received a message from both agents, and knows
    /// from them how many routers there are.
    void start();
    testsupport::ChildProcess& router(std::size_t index = 0) { return *routers_.at(index); }
    testsupport::ChildProcess& agent(std::size_t index) { return *agents_.at(index); }
    std::string callers(std::size_t index = 0) { return router(index).readyText("callers"); }
    std::string ops(std::size_t index) { return router(index).readyText("ops"); }
    /// Runs an operator's command and returns its exit code.
    int runCommand(const std::vector<std::string>& arguments, std::string& output);
    std::string readiness(std::size_t index) { return router(index).readyText("readiness"); }
    /// Sets the endpoint at which processes that are started from now on reach the store, such as that of a proxy.
    void setStoreEndpoint(const std::string& endpoint) { storeEndpoint_ = endpoint; }
    /// Sets the memory of the VMs of routers that are started from now on.
    void setMemory(int megabytes) { memoryMb_ = megabytes; }
    /// Sets the grace period of routers that are started from now on: the maximum time from SIGTERM to their end.
    void setGrace(framework::Milliseconds grace) { grace_ = grace; }
    /// Sets the surroundings of routers and agents that are started from now on.
    void setProcessOptions(const testsupport::ProcessOptions& options) { setProcessOptions(options, options); }
    void setProcessOptions(const testsupport::ProcessOptions& ofRouters, const testsupport::ProcessOptions& ofAgents);
    /// Sets the load time of models in configurations that are written from now on.
    void setLoadTime(framework::Milliseconds time) { loadTime_ = time; }
    /// Sets how many requests at once engines take in configurations that are written from now on.
    void setSlots(int slots) { slots_ = slots; }
    /// Sets the customers of configurations that are written from now on, as their array of JSON objects.
    void setCustomers(const web::json::value& customers) { customers_ = customers; }
    /// Puts a proxy that injects faults between a router that isn't started yet and each of the agents.
    void putProxiesBeforeAgents(std::size_t router);
    /// The control endpoint of the proxy before an agent.
    std::string agentProxy(std::size_t index) { return agentProxies_.at(index)->readyText("http"); }
    /// Sets the engines' models in configurations that are written from now on.
    void setModels(std::vector<std::string> models) { models_ = std::move(models); }
    /// A customer of a configuration.
    static web::json::value customer(const std::string& name, const std::vector<std::string>& keys);
    /// Sets how routers whose settings are written from now on end requests whose key is taken away.
    void setRevocation(framework::Milliseconds within) { revocation_ = within; }
    /// Writes a server's entry with the given endpoint, such as that of a proxy, into the store's list of servers.
    void listAt(const ServerStandin&, const std::string& service, const std::string& endpoint,
        const std::string& state = "ready");
    /// The entry that a server writes into the list.
    static web::json::value entry(const ServerStandin&, const std::string& service, const std::string& endpoint,
        const std::string& state = "ready");
    /// Whether the router's readiness endpoint answers a `GET` with 200.
    bool isReady();
    CallerAnswer call(const CallerRequest&, std::size_t router = 0);
    /// Returns the lines that contain the text from the output of all processes, including those that have ended.
    std::string logLinesContaining(const std::string& text) const;
    /// Writes the next version of the configuration: the routes, and the services of the engines and plain servers.
    void configure(const std::vector<web::json::value>& routes);
    /// Writes the next version of the configuration, with these customers and the routes of the last one.
    void putCustomers(const web::json::value& customers);
    /// Sets the tolerance of quotas for routers that are started from now on.
    void setQuotaTolerance(double tolerance) { quotaTolerance_ = tolerance; }
    /// Writes a server's entry into the store's list of servers.
    void list(const ServerStandin&, const std::string& service, const std::string& state = "ready");
    /// The routes of each fleet's first configuration: `/model/` (streams), `/resume/` (streams that may be resumed),
    /// `/get/` (idempotent) and `/post/`.
    static std::vector<web::json::value> defaultRoutes();
    static web::json::value route(const std::string& prefix, const std::string& kind, const std::string& service);

private:
    int takePort();
    std::unique_ptr<testsupport::ChildProcess> launch(
        const std::string& name, const std::vector<std::string>& arguments, const testsupport::ProcessOptions&);
    void writeSettings(
        const std::string& file, const std::string& role, const std::string& vm, web::json::value settings) const;

    testsupport::TemporaryFolder folder_;
    std::uint64_t version_ = 0;
    std::vector<web::json::value> routes_;
    /// Null if the configuration has none.
    web::json::value customers_;
    std::optional<double> quotaTolerance_;
    std::set<int> takenPorts_;
    int agentPort_ = 0;
    int startCount_ = 0;
    struct RouterPorts {
        int callers = 0;
        int readiness = 0;
    };
    /// Of the routers with fixed ports.
    std::map<std::size_t, RouterPorts> routerPorts_;
    SettingsState settingsState_ = SettingsState::Whole;
    /// Of the routers that don't connect to the agents themselves.
    std::map<std::size_t, int> agentPorts_;
    std::vector<std::unique_ptr<testsupport::ChildProcess>> agentProxies_;
    std::string storeEndpoint_;
    testsupport::ProcessOptions routerOptions_;
    testsupport::ProcessOptions agentOptions_;
    framework::Milliseconds grace_ { 8000 };
    framework::Milliseconds loadTime_ { 200 };
    int memoryMb_ = 260;
    std::optional<int> slots_;
    std::optional<framework::Milliseconds> revocation_;
    std::vector<std::string> models_ { "warm", "cold", "colder" };
    std::vector<std::unique_ptr<EngineStandin>> addedEngines_;
    std::vector<std::unique_ptr<testsupport::ChildProcess>> agents_;
    std::vector<std::unique_ptr<testsupport::ChildProcess>> routers_;
};

} // namespace lagoon::fleet
