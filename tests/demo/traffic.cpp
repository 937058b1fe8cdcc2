#include "demo/traffic.h"

#include "support/callers.h"

namespace lagoon::demo {

namespace {

/// The pause between an answer and the next call.
constexpr std::chrono::milliseconds pauseBetweenCalls { 20 };

} // namespace

Traffic::Traffic(std::string name, std::string callers, std::vector<std::string> models)
    : name_(std::move(name))
    , callers_(std::move(callers))
    , models_(std::move(models))
    , thread_([this] { run(); })
{
}

Traffic::~Traffic() { stop(); }

TrafficCount Traffic::stop()
{
    isStopped_ = true;
    if (thread_.joinable())
        thread_.join();
    return count_;
}

void Traffic::run()
{
    while (!isStopped_) {
        callOnce();
        std::this_thread::sleep_for(pauseBetweenCalls);
    }
}

void Traffic::callOnce()
{
    const std::string prompt = "call " + std::to_string(count_.sent) + " of " + name_;
    const std::string& model = models_[count_.sent % models_.size()];
    ++count_.sent;
    count_.prompts.push_back(prompt);
    const auto call = testsupport::completionCall(callers_, model, prompt, { .isStream = true });
    const std::string text = testsupport::completionText(testsupport::call(call));
    if (text != prompt) {
        count_.faults.push_back(model + ", \"" + prompt + "\": " + text);
        return;
    }
    ++count_.answered;
    ++answered_;
}

} // namespace lagoon::demo
