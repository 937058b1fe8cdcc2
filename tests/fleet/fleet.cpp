#include "fleet/fleet.h"

#include "framework/types/ids.h"
#include "http/testing/rawcaller.h"
#include "support/programs.h"
#include "support/waitfor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

namespace lagoon::fleet {

using web::json::value;

namespace {

const std::string host = "callers.example";

bool isFree(const std::string& address, int port)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address), static_cast<unsigned short>(port));
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.bind(endpoint, error);
    return !error;
}

/// Returns a port that is free at both engines' addresses and below the range of ephemeral ports: an ephemeral port
/// could be taken by any connection of this machine before an agent listens on it.
int freePort()
{
    constexpr int lowest = 20000;
    constexpr int ports = 12000;
    std::random_device random;
    for (int tries = 0; tries < 100; ++tries) {
        const int port = lowest + static_cast<int>(random() % ports);
        if (isFree("127.0.0.1", port) && isFree("127.0.0.2", port))
            return port;
    }
    throw std::runtime_error("no free port for agents");
}

value modelProfile(const std::string& name, framework::Milliseconds loadTime)
{
    value json;
    json["name"] = value::string(name);
    json["weights-mb"] = value::number(50.5);
    json["load-time-s"] = value::number(static_cast<double>(loadTime.count()) / 1000);
    json["adapters"] = value::number(2);
    json["adapter-size-mb"] = value::number(1.5);
    return json;
}

value serviceList(const std::vector<std::string>& models, framework::Milliseconds loadTime, std::optional<int> slots)
{
    value engines;
    engines["name"] = value::string("engines");
    engines["max-connections"] = value::number(slots.value_or(100));
    value profile;
    if (slots)
        profile["slot-count"] = value::number(*slots);
    profile["weights-mb"] = value::number(110);
    profile["max-adapters"] = value::number(3);
    profile["models"] = value::array();
    for (const std::string& name : models)
        profile["models"][profile["models"].size()] = modelProfile(name, loadTime);
    engines["inference-engine"] = profile;
    value plain;
    plain["name"] = value::string("plain");
    plain["max-connections"] = value::number(100);
    value services = value::array();
    services[0] = engines;
    services[1] = plain;
    return services;
}

} // namespace

CallerAnswer parseAnswer(const std::string& text)
{
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(1ULL << 40);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    CallerAnswer answer;
    if (!parser.is_header_done())
        return answer;
    answer.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get().base())
        answer.headers[std::string(field.name_string())] = std::string(field.value());
    answer.body = parser.get().body();
    answer.isComplete = parser.is_done();
    return answer;
}

std::string CallerRequest::text() const
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!keepsAlive)
        text += "Connection: close\r\n";
    text += "X-Request-Attempt: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!model.empty())
        text += "X-Model: " + model + "\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: " + prompt + "\r\n";
    for (const auto& [name, content] : headers)
        text.append(name).append(": ").append(content).append("\r\n");
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + (method == "GET" ? "" : body);
}

Fleet::Fleet()
    : agentPort_(takePort())
{
    engine1.hold("warm");
    configure(defaultRoutes());
    list(plain1, "plain");
    list(plain2, "plain");
    list(engine1, "engines");
    list(engine2, "engines");
}

Fleet::~Fleet() = default;

Fleet& Fleet::make()
{
    // Never destroyed, because the stand-ins' threads still run while static objects are destroyed at exit.
    static auto& kept = *new std::vector<std::unique_ptr<Fleet>>;
    return *kept.emplace_back(std::make_unique<Fleet>());
}

void Fleet::stop()
{
    routers_.clear();
    agentProxies_.clear();
    agents_.clear();
}

value Fleet::route(const std::string& prefix, const std::string& kind, const std::string& service)
{
    value json;
    json["name"] = value::string("route-" + prefix);
    json["host"] = value::string(host);
    json["path-prefix"] = value::string(prefix);
    json["kind"] = value::string(kind);
    json["service"] = value::string(service);
    json["timeout-ms"] = value::number(20000);
    json["target-latency-ms"] = value::number(500);
    json["max-attempts"] = value::number(2);
    return json;
}

std::vector<value> Fleet::defaultRoutes()
{
    std::vector<value> routes { route("/model/", "streaming", "engines"), route("/resume/", "streaming", "engines"),
        route("/get/", "idempotent", "plain"), route("/post/", "non_idempotent", "plain") };
    routes[1]["resumable"] = value::boolean(true);
    return routes;
}

value Fleet::customer(const std::string& name, const std::vector<std::string>& keys)
{
    value json;
    json["name"] = value::string(name);
    json["api-keys"] = value::array();
    for (const std::string& key : keys)
        json["api-keys"][json["api-keys"].size()] = value::string(key);
    return json;
}

void Fleet::putCustomers(const value& customers)
{
    customers_ = customers;
    configure(std::vector<value>(routes_));
}

void Fleet::configure(const std::vector<value>& routes)
{
    routes_ = routes;
    value json;
    version_ += 3;
    json["version"] = value::number(version_);
    json["routes"] = value::array();
    for (const value& route : routes)
        json["routes"][json["routes"].size()] = route;
    json["services"] = serviceList(models_, loadTime_, slots_);
    if (!customers_.is_null())
        json["tenants"] = customers_;
    json["a-field-of-tomorrow"] = value::boolean(true);
    store.put("config", "main", json);
}

void Fleet::list(const ServerStandin& server, const std::string& service, const std::string& state)
{
    listAt(server, service, server.endpoint(), state);
}

void Fleet::listAt(
    const ServerStandin& server, const std::string& service, const std::string& endpoint, const std::string& state)
{
    store.put("servers", server.instance(), entry(server, service, endpoint, state));
}

value Fleet::entry(
    const ServerStandin& server, const std::string& service, const std::string& endpoint, const std::string& state)
{
    value json;
    json["service"] = value::string(service);
    json["address"] = value::string(endpoint);
    json["zone"] = value::string("hall");
    json["version"] = value::string(server.version());
    json["slot-count"] = value::number(8);
    json["state"] = value::string(state);
    json["cold-remaining-ms"] = value::number(0);
    json["seq"] = value::number(1);
    json["born"] = value::number(server.started());
    return json;
}

void Fleet::writeSettings(const std::string& file, const std::string& role, const std::string& vm, value settings) const
{
    settings["role"] = value::string(role);
    settings["vm"] = value::string(vm);
    settings["site"] = value::string("site");
    settings["failure_domain"] = value::string("hall");
    settings["ops"] = value::string("127.0.0.1:0");
    settings["object_store"] = value::string(storeEndpoint_.empty() ? store.endpoint() : storeEndpoint_);
    std::string text = settings.serialize();
    if (settingsState_ == SettingsState::HalfWritten)
        text.resize(text.size() / 2);
    if (settingsState_ == SettingsState::Missing)
        std::filesystem::remove(file);
    else
        testsupport::writeFile(file, text);
}

EngineStandin& Fleet::addEngine()
{
    const std::string number = std::to_string(engines() + 1);
    return *addedEngines_.emplace_back(std::make_unique<EngineStandin>("e-" + number, "127.0.0." + number));
}

EngineStandin& Fleet::engine(std::size_t index)
{
    constexpr std::size_t first = 2;
    if (index < first)
        return index == 0 ? engine1 : engine2;
    return *addedEngines_.at(index - first);
}

void Fleet::setProcessOptions(const testsupport::ProcessOptions& ofRouters, const testsupport::ProcessOptions& ofAgents)
{
    routerOptions_ = ofRouters;
    agentOptions_ = ofAgents;
}

void Fleet::startAgent(std::size_t index)
{
    launchAgent(index);
    agents_[index]->waitUntilReady();
}

void Fleet::launchAgent(std::size_t index)
{
    const std::string file = writeAgentSettings(index);
    agents_.resize(std::max(agents_.size(), index + 1));
    agents_[index].reset();
    agents_[index] = launch("agent-" + std::to_string(index), { "direct-agent", "--settings", file }, agentOptions_);
}

std::string Fleet::writeAgentSettings(std::size_t index)
{
    const std::string engineEndpoint = engine(index).endpoint();
    const std::string address = engineEndpoint.substr(0, engineEndpoint.find(':'));
    const std::string name = "agent-" + std::to_string(index);
    std::string file = folder_.file(name + ".json");
    value settings;
    settings["link"] = value::string(address + ":" + std::to_string(agentPort_));
    settings["engine"] = value::string(engineEndpoint);
    settings["service"] = value::string("engines");
    writeSettings(file, "direct-agent", name, settings);
    return file;
}

void Fleet::fixPorts(std::size_t router)
{
    const int callers = takePort();
    routerPorts_[router] = { callers, takePort() };
}

/// Returns a free port that this fleet hasn't taken before: the one taken last may still be free.
int Fleet::takePort()
{
    int port = freePort();
    while (!takenPorts_.insert(port).second)
        port = freePort();
    return port;
}

void Fleet::putProxiesBeforeAgents(std::size_t router)
{
    const int port = takePort();
    agentPorts_[router] = port;
    for (std::size_t index = 0; index < engines(); ++index) {
        const std::string endpoint = engine(index).endpoint();
        const std::string address = endpoint.substr(0, endpoint.find(':') + 1);
        agentProxies_.push_back(
            testsupport::startProgram(testsupport::Program::FaultProxy, "agent-proxy-" + std::to_string(index),
                { "--proxy", address + std::to_string(port), "--to", address + std::to_string(agentPort_) }, folder_));
    }
}

std::string Fleet::writeRouterSettings(std::size_t index)
{
    const std::string name = "router-" + std::to_string(index);
    std::string file = folder_.file(name + ".json");
    value settings;
    const auto ports = routerPorts_.find(index);
    const RouterPorts fixed = ports == routerPorts_.end() ? RouterPorts {} : ports->second;
    settings["callers"] = value::string("127.0.0.1:" + std::to_string(fixed.callers));
    settings["readiness"] = value::string("127.0.0.1:" + std::to_string(fixed.readiness));
    settings["agent_port"] = value::number(agentPorts_.contains(index) ? agentPorts_.at(index) : agentPort_);
    settings["grace_ms"] = value::number(grace_.count());
    settings["memory_mb"] = value::number(memoryMb_);
    if (revocation_) {
        settings["keys"]["ends_revoked"] = value::boolean(true);
        settings["keys"]["within_ms"] = value::number(revocation_->count());
    }
    if (quotaTolerance_)
        settings["quotas"]["tolerance"] = value::number(*quotaTolerance_);
    writeSettings(file, "direct-router", name, settings);
    return file;
}

void Fleet::startRouter(std::size_t index)
{
    launchRouter(index);
    routers_[index]->waitUntilReady();
}

void Fleet::launchRouter(std::size_t index)
{
    const std::string file = writeRouterSettings(index);
    routers_.resize(std::max(routers_.size(), index + 1));
    routers_[index].reset();
    routers_[index]
        = launch("router-" + std::to_string(index), { "direct-router", "--settings", file }, routerOptions_);
}

std::unique_ptr<testsupport::ChildProcess> Fleet::launch(
    const std::string& name, const std::vector<std::string>& arguments, const testsupport::ProcessOptions& options)
{
    return std::make_unique<testsupport::ChildProcess>(name + "-" + std::to_string(++startCount_),
        testsupport::pathOf(testsupport::Program::Lagoonrouter), arguments, folder_, options);
}

void Fleet::startProcesses()
{
    startAgent(0);
    startAgent(1);
    startRouter(0);
}

void Fleet::start()
{
    startProcesses();
    testsupport::waitFor("the router to be ready", [this] { return isReady(); });
    testsupport::waitFor("the router to hear from both agents", [this] {
        const std::string log = router().output();
        const std::size_t first = log.find("\"agent_heard\"");
        return first != std::string::npos && log.find("\"agent_heard\"", first + 1) != std::string::npos;
    });
    // Until then the router has a small part of the retry budget.
    testsupport::waitFor("the router to know that it is the only one",
        [this] { return router().output().find("\"routers_counted\"") != std::string::npos; });
}

int Fleet::runCommand(const std::vector<std::string>& arguments, std::string& output)
{
    testsupport::ChildProcess process("command-" + std::to_string(++startCount_),
        testsupport::pathOf(testsupport::Program::Lagoonrouter), arguments, folder_);
    const int exitCode = process.waitForExit();
    output = process.output() + process.log();
    return exitCode;
}

bool Fleet::isReady()
{
    http::testing::RawCaller caller(framework::Endpoint(router().readyText("readiness")));
    caller.send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return parseAnswer(caller.readToEnd()).status == 200;
}

std::string Fleet::logLinesContaining(const std::string& text) const
{
    std::string found;
    for (const auto& file : std::filesystem::directory_iterator(folder_.file(""))) {
        std::ifstream lines(file.path());
        for (std::string line; std::getline(lines, line);) {
            if (line.find(text) != std::string::npos)
                found += file.path().filename().string() + ": " + line + "\n";
        }
    }
    return found;
}

CallerAnswer Fleet::call(const CallerRequest& request, std::size_t router)
{
    http::testing::RawCaller caller { framework::Endpoint(callers(router)) };
    caller.send(request.text());
    return parseAnswer(caller.readToEnd());
}

} // namespace lagoon::fleet
