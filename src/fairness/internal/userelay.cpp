#include "fairness/userelay.h"

#include "fairness/usewire.h"

#include <utility>

namespace lagoon::fairness {

UseRelay::UseRelay(Context context)
    : context_(std::move(context))
{
}

void UseRelay::receive(const framework::VmName& router, const wire::fb::CustomerUseT& body)
{
    sums_.set(router, fromWire(body).use, context_.clock.now());
    schedule();
}

void UseRelay::schedule()
{
    if (timer_)
        return;
    timer_ = context_.control.runAt(framework::Deadline::after(context_.clock.now(), useInterval), [this] {
        timer_.reset();
        send();
    });
}

void UseRelay::send()
{
    SummedUse sums = sums_.sums(context_.clock.now());
    if (sums.routers == 0)
        return;
    // Where nobody is served too little, no customer goes before another.
    if (!sums.use.isScarce())
        sums.use.customers.clear();
    context_.send(toWire(sums));
    schedule();
}

} // namespace lagoon::fairness
