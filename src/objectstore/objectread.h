#pragma once

#include "objectstore/iobjectstore.h"

#include <optional>
#include <stop_token>

namespace lagoon::objectstore {

/// Reads an object, again after jittered waits while the platform has no usable answer, until the deadline has passed
/// or a stop is requested.
framework::Result<std::optional<StoredObject>> readObject(
    IObjectStore&, const ObjectKey&, framework::Deadline, const std::stop_token& = {});

/// Sleeps unless that would pass the deadline; returns whether it slept and no stop was requested.
bool waitBeforeRetry(framework::Milliseconds, framework::Deadline, const std::stop_token& = {});

} // namespace lagoon::objectstore
