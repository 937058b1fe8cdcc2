#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/types/storedobject.h"

#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace lagoon::objectstore {

/// The platform's object API: the only place where anything lasts. Each call is counted there and costs, a waiting
/// watch as well. Calls block; never make them on the control thread. Thread-safe.
///
/// Errors: `PlatformUnavailable` when there was no usable answer, with `Execution::Unknown` if a write may have taken
/// effect all the same; `PlatformConflict` when the expected version wasn't the object's.
class IObjectStore {
public:
    virtual ~IObjectStore() = default;

    virtual framework::Result<std::optional<StoredObject>> get(const ObjectKey&, framework::Deadline) = 0;
    /// All keys that begin with `prefix`.
    virtual framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline) = 0;
    /// Waits until the object's version isn't `known` (0: until it exists) and returns it, or nothing once the deadline
    /// or the longest wait of one call has passed. `NotFound` if the object that was known is gone. A stop request ends
    /// the wait at once, as if the platform hadn't answered.
    virtual framework::Result<std::optional<StoredObject>> watch(
        const ObjectKey&, framework::ObjectVersion known, framework::Deadline, std::stop_token = {})
        = 0;

    /// Writes if the object has the expected version; version 0 creates it.
    virtual framework::Result<framework::ObjectVersion> put(
        const ObjectKey&, const std::string& value, framework::ObjectVersion expected, framework::Deadline)
        = 0;
    /// Removes the object if it has the expected version; one that is already absent is a success.
    virtual framework::Result<void> remove(const ObjectKey&, framework::ObjectVersion expected, framework::Deadline)
        = 0;
};

} // namespace lagoon::objectstore
