#pragma once

#include "bundle/types/bundle.h"
#include "framework/channel.h"

namespace lagoon::bundle {

/// The bundle in force as this process knows it. Never goes to a lower version.
class IBundleWatch {
public:
    virtual ~IBundleWatch() = default;
    /// Null until the first bundle was read. From any thread.
    virtual BundlePointer current() const = 0;
    /// Someone has seen this version; if it is newer, the head is read soon. From any thread.
    virtual void observeVersion(framework::BundleVersion) = 0;
    /// Sent on the control thread after `current` changed.
    virtual framework::Channel<BundlePointer>& changed() = 0;
    virtual void start() = 0;
    virtual void stop() = 0;
};

} // namespace lagoon::bundle
