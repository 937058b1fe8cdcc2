#include "support/record.h"

#include "support/httpcall.h"

#include <algorithm>
#include <sstream>

namespace lagoon::testsupport {

namespace {

const std::string recordPath = "/standin/record";

std::string stringField(const web::json::value& json, const std::string& key)
{
    return json.has_string_field(key) ? json.at(key).as_string() : std::string();
}

/// A change of the number of replicas at a point in time, in µs.
struct Step {
    std::uint64_t at = 0;
    int change = 0;
};

int changeBy(const std::string& event)
{
    if (event == "loading")
        return 1;
    return event == "unloaded" || event == "failed" ? -1 : 0;
}

std::vector<Step> stepsAt(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter)
{
    std::vector<Step> steps;
    for (const std::string& endpoint : endpoints) {
        const web::json::value record = getJson(endpoint, recordPath);
        for (const web::json::value& event : record.at("events").as_array()) {
            if (stringField(event, "model") != model || stringField(event, "adapter") != adapter)
                continue;
            steps.push_back({ event.at("at_us").as_number().to_uint64(), changeBy(stringField(event, "event")) });
        }
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& one, const Step& other) { return one.at < other.at; });
    return steps;
}

} // namespace

std::vector<Execution> executionsAt(const std::vector<std::string>& endpoints)
{
    std::vector<Execution> executions;
    for (const std::string& endpoint : endpoints) {
        const web::json::value record = getJson(endpoint, recordPath);
        for (const web::json::value& json : record.at("executions").as_array())
            executions.push_back({ stringField(json, "request_id"),
                stringField(json, "prompt") + stringField(json, "token"), stringField(json, "state") });
    }
    return executions;
}

std::size_t executionsOf(const std::vector<std::string>& endpoints, const std::string& content)
{
    const std::vector<Execution> all = executionsAt(endpoints);
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const Execution& execution) { return execution.content == content; }));
}

std::vector<std::string> violationsAt(const std::vector<std::string>& endpoints)
{
    std::vector<std::string> violations;
    for (const std::string& endpoint : endpoints) {
        const web::json::value record = getJson(endpoint, recordPath);
        for (const web::json::value& violation : record.at("violations").as_array())
            violations.push_back(endpoint + ": " + violation.as_string());
    }
    return violations;
}

std::uint64_t maxConcurrentReplicas(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter)
{
    std::int64_t present = 0;
    std::int64_t maxPresent = 0;
    for (const Step& step : stepsAt(endpoints, model, adapter)) {
        present += step.change;
        maxPresent = std::max(maxPresent, present);
    }
    return static_cast<std::uint64_t>(maxPresent);
}

std::uint64_t replicasNow(
    const std::vector<std::string>& endpoints, const std::string& model, const std::string& adapter)
{
    std::int64_t present = 0;
    for (const Step& step : stepsAt(endpoints, model, adapter))
        present += step.change;
    return static_cast<std::uint64_t>(present);
}

std::uint64_t loadsOf(const std::vector<std::string>& endpoints, const std::string& model)
{
    const std::vector<Step> steps = stepsAt(endpoints, model, "");
    return static_cast<std::uint64_t>(
        std::count_if(steps.begin(), steps.end(), [](const Step& step) { return step.change > 0; }));
}

double metricAt(const std::string& ops, const std::string& sample)
{
    std::istringstream lines(getFrom(ops, "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
        if (line.compare(0, sample.size() + 1, sample + " ") == 0)
            return std::strtod(line.c_str() + sample.size(), nullptr);
    }
    return 0;
}

double metricSumAt(const std::string& ops, const std::string& metric)
{
    std::istringstream lines(getFrom(ops, "/metrics").body);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(metric + "{", 0) == 0 || line.rfind(metric + " ", 0) == 0)
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

} // namespace lagoon::testsupport
