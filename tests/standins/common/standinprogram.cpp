#include "standins/common/standinprogram.h"

#include "framework/processsignal.h"

#include <iostream>
#include <unistd.h>

namespace lagoon::standins {

namespace {

namespace options = boost::program_options;

void setFaults(IStandin& standin, Exchange& exchange)
{
    const auto result = standin.setFaults(parseBody(exchange.request().body));
    if (result.has_value())
        exchange.reply(200, "{}");
    else
        exchange.reply(400, framework::describe(result.error()) + "\n");
}

void serve(IStandin& standin, Exchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path == "/standin/faults" && request.method == "POST")
        setFaults(standin, exchange);
    else if (request.path == "/standin/record" && request.method == "GET")
        replyJson(exchange, 200, standin.record());
    else
        standin.answer(exchange);
}

void printReadyLine(const std::string& role, const ReadyLine& ready)
{
    web::json::value line;
    line["ready"] = web::json::value::boolean(true);
    line["role"] = web::json::value::string(role);
    for (const auto& [name, text] : ready)
        line[name] = web::json::value::string(text);
    std::cout << line.serialize() << std::endl;
}

int serveUntilTerminated(const std::string& role, const options::variables_map& values, const StandinFactory& make)
{
    ReadyLine ready;
    const auto standin = make(values, ready);
    HttpServer server([&](Exchange& exchange) { serve(*standin, exchange); });
    const auto endpoint = server.start(framework::Endpoint(values["listen"].as<std::string>()));
    if (!endpoint.has_value()) {
        std::cerr << framework::describe(endpoint.error()) << "\n";
        return 1;
    }
    ready["http"] = endpoint.value().value();
    printReadyLine(role, ready);
    framework::waitForTermination();
    // The threads of the connections may hang because of an injected fault and use these objects, so the process exits
    // without destroying them.
    _exit(0);
}

} // namespace

int runStandin(const std::string& role, int argc, char** argv, const options::options_description& own,
    const StandinFactory& makeStandin)
{
    framework::blockProcessSignals();
    options::options_description all("options");
    all.add(own).add_options()("help", "print this")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address:port of HTTP");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << role << "\n" << all;
            return 0;
        }
        options::notify(values);
        return serveUntilTerminated(role, values, makeStandin);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}

web::json::value parseBody(const std::string& text)
{
    std::error_code error;
    web::json::value value = web::json::value::parse(text, error);
    return error ? web::json::value::null() : value;
}

void replyJson(Exchange& exchange, int status, const web::json::value& value)
{
    exchange.reply(status, value.serialize(), { { "content-type", "application/json" } });
}

void replyError(Exchange& exchange, int status, const std::string& code)
{
    web::json::value value;
    value["error"] = web::json::value::string(code);
    replyJson(exchange, status, value);
}

std::string textField(const web::json::value& value, const std::string& name)
{
    return value.has_string_field(name) ? value.at(name).as_string() : std::string();
}

std::uint64_t numberField(const web::json::value& value, const std::string& name)
{
    return value.has_number_field(name) ? value.at(name).as_number().to_uint64() : 0;
}

} // namespace lagoon::standins
