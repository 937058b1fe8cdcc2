#include "standins/common/callfaults.h"

namespace lagoon::standins {

namespace {

CallStep stepOf(const std::string& word)
{
    if (word == "before")
        return CallStep::Before;
    return word == "during" ? CallStep::During : CallStep::After;
}

} // namespace

void CallFaults::set(framework::CheckedObject json)
{
    const std::lock_guard lock(mutex_);
    fault_.at = stepOf(json.choiceOr("at", "before", { "before", "during", "after" }));
    fault_.hangs = json.choiceOr("do", "hang", { "hang", "close" }) == "hang";
    callsLeft_ = json.numberOr("count", 1, 0, 1000000);
    fault_.exists = true;
    ++generation_;
    changed_.notify_all();
}

CallFaults::Fault CallFaults::take()
{
    const std::lock_guard lock(mutex_);
    if (callsLeft_ == 0)
        return {};
    --callsLeft_;
    return fault_;
}

bool CallFaults::inject(const Fault& fault, CallStep step, Exchange& exchange)
{
    if (!fault.exists || fault.at != step)
        return false;
    if (fault.hangs) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this, before = generation_] { return generation_ != before; });
    }
    exchange.dropConnection();
    return true;
}

} // namespace lagoon::standins
