#pragma once

#include "fairness/usesums.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "wire/types/message.h"

#include <functional>
#include <memory>

namespace lagoon::fairness {

/// An agent's part: adds up what the routers' customers used, and tells them the sums once a second as long as any
/// router reports. Runs on the control thread.
class UseRelay {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        /// Sends a message to all routers that report the use of their customers.
        std::function<void(const wire::Message&)> send;
    };

    explicit UseRelay(Context);

    void receive(const framework::VmName& router, const wire::fb::CustomerUseT&);

private:
    void schedule();
    void send();

    Context context_;
    UseSums sums_;
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::fairness
