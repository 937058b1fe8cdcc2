#pragma once

#include "standins/common/callfaults.h"
#include "standins/common/standinprogram.h"

#include <mutex>
#include <vector>

namespace lagoon::standins {

/// A plain service that answers any request with its echo as JSON. If the body is JSON, its `token` identifies the
/// execution in the record. Faults:
/// - `work_ms`: the time of each call
/// - `calls`: see CallFaults
class ServiceStandin final : public IStandin {
public:
    explicit ServiceStandin(framework::Milliseconds workTime);

    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    struct Execution {
        std::string requestId;
        std::string method;
        std::string path;
        std::string token;
        std::string state;
    };
    std::size_t beginExecution(const HttpRequest&);
    void endExecution(std::size_t index, const std::string& state);

    std::mutex mutex_;
    framework::Milliseconds workTime_;
    std::vector<Execution> executions_;
    CallFaults callFaults_;
    /// A call with this body ends the process; empty if none does.
    std::string crashBody_;
};

} // namespace lagoon::standins
