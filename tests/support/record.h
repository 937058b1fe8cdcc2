#pragma once

#include <cpprest/json.h>
#include <cstdint>
#include <string>
#include <vector>

/// Queries of the stand-ins' records (`GET /standin/record`) and of metrics.
namespace lagoon::testsupport {

struct Execution {
    std::string requestId;
    /// The prompt of a completion or the token of a call of a plain service.
    std::string content;
    /// `running`, `done`, `cancelled` or `dropped`.
    std::string state;
};

/// All executions recorded by the engines or services at these endpoints.
std::vector<Execution> executionsAt(const std::vector<std::string>& endpoints);
/// The number of executions with this content at these endpoints.
std::size_t executionsOf(const std::vector<std::string>& endpoints, const std::string& content);
/// Violations that the engines have recorded, such as overcommitted memory.
std::vector<std::string> violationsAt(const std::vector<std::string>& endpoints);
/// The maximum number of replicas of the model (and adapter) that these engines had at the same time, according to
/// their records. A replica counts from the beginning of its load to the end of its unload.
std::uint64_t maxConcurrentReplicas(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter = "");
/// The number of replicas that these engines have now, in any state from loading to unloading.
std::uint64_t replicasNow(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter = "");
/// The number of loads of the model that have begun at these engines.
std::uint64_t loadsOf(const std::vector<std::string>& endpoints, const std::string& model);

/// The value of a sample in `GET /metrics` at a process's ops endpoint, by its name with labels; 0 if there is none.
double metricAt(const std::string& ops, const std::string& sample);
/// The sum of a metric's samples over all combinations of labels.
double metricSumAt(const std::string& ops, const std::string& metric);

} // namespace lagoon::testsupport
