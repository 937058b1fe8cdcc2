#pragma once

#include "framework/types/error.h"
#include "objectstore/iobjectstore.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoon::objectstore {

/// The result of applying an update to an object's current value.
struct ObjectChange {
    /// std::nullopt if there is nothing to write.
    std::optional<std::string> newValue;
};

/// A read-modify-write of one object with a conditional write.
struct ObjectUpdate {
    /// Computes the change from the current value, which is std::nullopt if the object doesn't exist. An error ends the
    /// update and is returned.
    std::function<framework::Result<ObjectChange>(const std::optional<std::string>&)> change;
    /// Returns true if the given value shows that this update's write took effect, that is, if it contains this
    /// update's nonce and everything else that the write changed. Called with the value read after a write whose
    /// outcome is unknown.
    std::function<bool(const std::string&)> isOwnWrite;
    /// Whether other writers may overwrite what this write changed. If they may, and the answer was lost and others
    /// have written since, the absence of this write doesn't prove that it never took effect, so a later refusal is
    /// reported as `Execution::Unknown`.
    bool canBeOverwritten = false;
};

struct UpdatedObject {
    /// The object's value after the update; empty if the object doesn't exist and there was nothing to write.
    std::string value;
    framework::ObjectVersion version;
};

/// Reads, changes and writes the object until the write takes effect, `change` returns an error or the deadline passes.
/// Conflicts are retried with jittered backoff. After a lost answer the object is read again to find out whether the
/// write took effect; otherwise a replica could be claimed without any process knowing it. If these reads fail too, the
/// error has `Execution::Unknown`.
framework::Result<UpdatedObject> updateObject(
    IObjectStore&, const ObjectKey&, const ObjectUpdate&, framework::Deadline);

} // namespace lagoon::objectstore
