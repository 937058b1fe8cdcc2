#pragma once

#include <cpprest/json.h>
#include <cstdint>
#include <string>
#include <vector>

/// Reading of what the stand-ins recorded (`GET /standin/record`).
namespace lagoon::testsupport {

struct Execution {
    std::string requestId;
    /// The prompt of a completion, the token of a service's call.
    std::string content;
    /// `running`, `done`, `cancelled` or `dropped`.
    std::string state;
};

/// Executions at the engines or services with these endpoints.
std::vector<Execution> executionsAt(const std::vector<std::string>& endpoints);
/// How many of them had this content.
std::size_t executionsOf(const std::vector<std::string>& endpoints, const std::string& content);
/// The engines' own complaints, such as overcommitted memory.
std::vector<std::string> violationsAt(const std::vector<std::string>& endpoints);
/// The most replicas of the model (and adapter) that these engines held at any one time, from the beginning of the
/// load to the end of the unload, by the engines' own record.
std::uint64_t maxConcurrentReplicas(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter = "");
/// How many replicas they hold now, in whatever state.
std::uint64_t replicasNow(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter = "");
/// How many loads of the model began.
std::uint64_t loadsOf(const std::vector<std::string>& endpoints, const std::string& model);

/// A sample of `GET /metrics` at a process's ops endpoint, by its name with labels; 0 if there is none.
double metricAt(const std::string& ops, const std::string& sample);
/// The sum of a metric's samples over all its labels.
double metricSumAt(const std::string& ops, const std::string& metric);

} // namespace lagoon::testsupport
