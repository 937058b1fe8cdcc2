#pragma once

#include "callers/callerserver.h"
#include "fakedispatcher.h"
#include "http/testing/rawcaller.h"

#include <sstream>
#include <string>

namespace lagoon::callers::testing {

using http::testing::RawCaller;

/// Returns a bundle with model `m`, its adapter `a`, and service `s`.
inline bundle::BundlePointer smallBundle()
{
    auto bundle = std::make_shared<bundle::Bundle>();
    bundle->version = framework::BundleVersion(7);
    bundle::Model model;
    model.name = framework::ModelName("m");
    model.defaults.priority = 6;
    model.defaults.isRepeatable = true;
    bundle->models[model.name] = model;
    bundle::Adapter adapter;
    adapter.name = framework::AdapterName("a");
    adapter.model = model.name;
    bundle->adapters[model.name][adapter.name] = adapter;
    bundle::Service service;
    service.name = framework::ServiceName("s");
    bundle->services[service.name] = service;
    return bundle;
}

inline std::string requestText(const std::string& line, const std::string& body = "", const std::string& headers = "")
{
    return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string completionText(const std::string& body, const std::string& headers = "")
{
    return requestText("POST /v1/completions", body, headers);
}

inline bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

/// The end of a complete chunked body. A truncated body lacks it.
inline constexpr const char* lastChunk = "\r\n0\r\n\r\n";

/// A server on loopback with a fake dispatcher.
struct CallerFixture {
    explicit CallerFixture(CallerLimits limits = {})
        : server(
            limits, dispatcher, [this] { return bundle; }, framework::Incarnation(9), metrics)
    {
        endpoint = server.start(framework::Endpoint("127.0.0.1:0")).value();
    }

    /// Sends a request on its own connection and returns the refusal, for requests that do not reach the dispatcher.
    std::string exchange(const std::string& text) const
    {
        RawCaller caller(endpoint);
        caller.send(text);
        caller.readUntil("}}");
        return caller.received();
    }

    /// Returns the sum of all series whose text in `/metrics` starts with `series`.
    double metricSum(const std::string& series) const
    {
        std::istringstream text(metrics->text());
        double sum = 0;
        for (std::string line; std::getline(text, line);) {
            if (line.starts_with(series))
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    bundle::BundlePointer bundle = smallBundle();
    FakeDispatcher dispatcher;
    CallerServer server;
    framework::Endpoint endpoint;
};

} // namespace lagoon::callers::testing
