#include "quarantine/evidencesharing.h"

#include "quarantine/evidencewire.h"

#include <utility>

namespace lagoon::quarantine {

EvidenceSharing::EvidenceSharing(Context context)
    : context_(std::move(context))
{
}

void EvidenceSharing::share(const EvidenceUpdate& update)
{
    relay_.add(update, context_.clock.now());
    schedule();
}

EvidenceUpdate EvidenceSharing::receive(const wire::fb::CrashEvidenceT& body, PassOn passOn)
{
    const framework::SteadyTime now = context_.clock.now();
    EvidenceUpdate news = relay_.add(fromWire(body, now), now, passOn);
    schedule();
    return news;
}

std::vector<wire::Message> EvidenceSharing::everything()
{
    const framework::SteadyTime now = context_.clock.now();
    std::vector<wire::Message> messages;
    for (const EvidenceUpdate& part : relay_.everything(now))
        messages.push_back(toWire(part, now));
    return messages;
}

void EvidenceSharing::schedule()
{
    if (timer_ || !relay_.hasUpdate())
        return;
    timer_ = context_.control.runAt(relay_.nextUpdate(), [this] {
        timer_.reset();
        const framework::SteadyTime now = context_.clock.now();
        context_.send(toWire(relay_.takeUpdate(now), now));
        schedule();
    });
}

} // namespace lagoon::quarantine
