#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "quarantine/evidencerelay.h"
#include "wire/types/message.h"

#include <functional>
#include <memory>
#include <vector>

namespace lagoon::quarantine {

/// One process's end of the exchange of evidence: sends what is new to its peers, within the relay's limits. Runs on
/// the control thread.
class EvidenceSharing {
public:
    using PassOn = EvidenceRelay::PassOn;

    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        /// Sends a message to all peers that understand evidence.
        std::function<void(const wire::Message&)> send;
    };

    explicit EvidenceSharing(Context);

    /// Adds this process's own evidence.
    void share(const EvidenceUpdate&);
    /// Adds a peer's evidence, and returns what of it was new.
    EvidenceUpdate receive(const wire::fb::CrashEvidenceT&, PassOn = PassOn::Yes);
    /// Returns the messages with all evidence, for a peer that has just come.
    std::vector<wire::Message> everything();

private:
    void schedule();

    Context context_;
    EvidenceRelay relay_;
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::quarantine
