#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/types/storedobject.h"

#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace lagoon::objectstore {

/// The platform's object API, which is the only persistent storage. The platform counts and charges each call,
/// including a waiting watch. Calls block, so they must not be made on the control thread. Thread-safe.
///
/// Errors: `PlatformUnavailable` if there was no usable answer, with `Execution::Unknown` if a write may nevertheless
/// have taken effect; `PlatformConflict` if the object doesn't have the expected version.
class IObjectStore {
public:
    virtual ~IObjectStore() = default;

    virtual framework::Result<std::optional<StoredObject>> get(const ObjectKey&, framework::Deadline) = 0;
    /// Lists all objects whose keys begin with `prefix`.
    virtual framework::Result<std::vector<ListedObject>> list(const std::string& prefix, framework::Deadline) = 0;
    /// Waits until the object's version differs from `known` (0: until the object exists) and returns the object.
    /// Returns std::nullopt if the deadline or the maximum wait of one call passes first. Fails with `NotFound` if the
    /// known object has been removed. A stop request ends the wait at once, as if the platform hadn't answered.
    virtual framework::Result<std::optional<StoredObject>> watch(
        const ObjectKey&, framework::ObjectVersion known, framework::Deadline, std::stop_token = {})
        = 0;

    /// Writes the object if it has the expected version. The expected version 0 creates the object.
    virtual framework::Result<framework::ObjectVersion> put(
        const ObjectKey&, const std::string& value, framework::ObjectVersion expected, framework::Deadline)
        = 0;
    /// Removes the object if it has the expected version. Succeeds if the object doesn't exist.
    virtual framework::Result<void> remove(const ObjectKey&, framework::ObjectVersion expected, framework::Deadline)
        = 0;
};

} // namespace lagoon::objectstore
