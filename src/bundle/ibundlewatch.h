#pragma once

#include "bundle/types/bundle.h"
#include "framework/channel.h"

namespace lagoon::bundle {

/// Provides the newest bundle in force that this process has read. Never changes to a lower version.
class IBundleWatch {
public:
    virtual ~IBundleWatch() = default;
    /// The current bundle; null until the first bundle has been read. May be called on any thread.
    virtual BundlePointer current() const = 0;
    /// Notifies the watch of a version that a peer reports. If it is newer, the head is read soon. May be called on any
    /// thread.
    virtual void observeVersion(framework::BundleVersion) = 0;
    /// Notifies its subscribers on the control thread after `current` has changed.
    virtual framework::Channel<BundlePointer>& changed() = 0;
    virtual void start() = 0;
    virtual void stop() = 0;
};

} // namespace lagoon::bundle
