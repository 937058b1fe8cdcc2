#pragma once

#include "framework/types/error.h"
#include "objectstore/iobjectstore.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoon::objectstore {

/// What an update wants of the object as it is now: a new value, or nothing to write.
struct ObjectChange {
    std::optional<std::string> newValue;
};

/// How to change one object by read and conditional write.
struct ObjectUpdate {
    /// Given the present value, or nothing when the object doesn't exist. An error ends the update and is returned.
    std::function<framework::Result<ObjectChange>(const std::optional<std::string>&)> change;
    /// Whether a value read after this update wrote, without knowing how that ended, shows that the write took effect:
    /// it holds this update's nonce and whatever else the write changed.
    std::function<bool(const std::string&)> isOwnWrite;
    /// Whether other writers may replace what this write changed. Then its absence, after an answer was lost and others
    /// have written, doesn't show that it never took effect: a refusal from there on is `Execution::Unknown`.
    bool canBeOverwritten = false;
};

struct UpdatedObject {
    /// As it stands after the update; empty if it doesn't exist and nothing was to be written.
    std::string value;
    framework::ObjectVersion version;
};

/// Reads, changes and writes until the write took effect, the change refused, or the deadline passed. A conflict is
/// tried again after a jittered wait. A lost answer is settled by reading again: without that, a replica could be
/// claimed and nobody know it. If even the reads fail, the error says `Execution::Unknown`.
framework::Result<UpdatedObject> updateObject(
    IObjectStore&, const ObjectKey&, const ObjectUpdate&, framework::Deadline);

} // namespace lagoon::objectstore
