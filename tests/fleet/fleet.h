#pragma once

#include "fleet/serverstandins.h"
#include "fleet/storestandin.h"
#include "framework/types/time.h"
#include "support/childprocess.h"
#include "support/temporaryfolder.h"

#include <cpprest/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::fleet {

/// What a caller sees of its answer.
struct CallerAnswer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// By its length or its last chunk.
    bool isComplete = false;
};

/// Of all that came on the connection.
CallerAnswer parseAnswer(const std::string& received);

/// How a caller asks.
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

/// A store, two engines, two plain servers, and the product's real processes between: a direct router, and a direct
/// agent beside each engine. All on loopback; each engine has an address of its own, as its agent is found there.
class Fleet {
public:
    Fleet();
    ~Fleet();
    /// The stand-ins' threads end only with the test's process, so what they use is kept until then.
    static Fleet& make();
    /// Ends the processes.
    void stop();

    StoreStandin store;
    PlainStandin plain1 { "p-1", "127.0.0.1" };
    PlainStandin plain2 { "p-2", "127.0.0.1" };
    EngineStandin engine1 { "e-1", "127.0.0.1" };
    EngineStandin engine2 { "e-2", "127.0.0.2" };

    /// One more engine, at an address of its own, empty and not listed yet; agents and engines have the same numbers.
    EngineStandin& addEngine();
    EngineStandin& engine(std::size_t index);
    std::size_t engines() const { return 2 + addedEngines_.size(); }

    void startProcesses();
    /// Starts one more process, or one that has ended again. Agents are 0 and 1 and those of added engines, routers
    /// from 0.
    void startRouter(std::size_t index);
    void startAgent(std::size_t index);
    /// Anew, as they are to be by now; returns the file.
    std::string writeRouterSettings(std::size_t index);
    /// Starts the processes and waits until the router is ready and has heard both agents.
    void start();
    testsupport::ChildProcess& router(std::size_t index = 0) { return *routers_.at(index); }
    testsupport::ChildProcess& agent(std::size_t index) { return *agents_.at(index); }
    std::string callers(std::size_t index = 0) { return router(index).readyText("callers"); }
    std::string readiness(std::size_t index) { return router(index).readyText("readiness"); }
    /// Processes reach the store under this endpoint in place of its own, and callers' requests reach a server so.
    void setStoreEndpoint(const std::string& endpoint) { storeEndpoint_ = endpoint; }
    /// For routers that start from now on: from the signal to end until they would be ended by force.
    void setGrace(framework::Milliseconds grace) { grace_ = grace; }
    /// What the next configurations say that a model's load takes.
    void setLoadTime(framework::Milliseconds time) { loadTime_ = time; }
    /// The models that the next configurations name for the engines.
    void setModels(std::vector<std::string> models) { models_ = std::move(models); }
    void listAt(const ServerStandin&, const std::string& service, const std::string& endpoint,
        const std::string& state = "ready");
    /// What a server writes into the list.
    static web::json::value entry(const ServerStandin&, const std::string& service, const std::string& endpoint,
        const std::string& state = "ready");
    /// Whether a `GET` at the router's readiness endpoint is answered 200.
    bool isReady();
    CallerAnswer call(const CallerRequest&, std::size_t router = 0);
    /// The lines of all processes' output, also of ended ones, that hold the text.
    std::string logLinesContaining(const std::string& text) const;
    /// Writes the next version of the configuration: the routes, and the services of the engines and plain servers.
    void configure(const std::vector<web::json::value>& routes);
    void list(const ServerStandin&, const std::string& service, const std::string& state = "ready");
    /// The routes that each fleet begins with: `/model/` (streams), `/resume/` (streams that may be resumed), `/get/`
    /// (idempotent) and `/post/`.
    static std::vector<web::json::value> defaultRoutes();
    static web::json::value route(const std::string& prefix, const std::string& kind, const std::string& service);

private:
    void writeSettings(
        const std::string& file, const std::string& role, const std::string& vm, web::json::value settings) const;

    testsupport::TemporaryFolder folder_;
    std::uint64_t version_ = 0;
    int agentPort_ = 0;
    int startCount_ = 0;
    std::string storeEndpoint_;
    framework::Milliseconds grace_ { 8000 };
    framework::Milliseconds loadTime_ { 200 };
    std::vector<std::string> models_ { "warm", "cold", "colder" };
    std::vector<std::unique_ptr<EngineStandin>> addedEngines_;
    std::vector<std::unique_ptr<testsupport::ChildProcess>> agents_;
    std::vector<std::unique_ptr<testsupport::ChildProcess>> routers_;
};

} // namespace lagoon::fleet
