#pragma once

#include "objectstore/iobjectstore.h"

#include <optional>
#include <stop_token>

namespace lagoon::objectstore {

/// Reads an object. While the platform gives no usable answer, retries with jittered backoff until the deadline passes
/// or a stop is requested.
framework::Result<std::optional<StoredObject>> readObject(
    IObjectStore&, const ObjectKey&, framework::Deadline, const std::stop_token& = {});

/// Sleeps unless the wait would reach the deadline. Returns true if it slept and no stop was requested.
bool waitBeforeRetry(framework::Milliseconds, framework::Deadline, const std::stop_token& = {});

} // namespace lagoon::objectstore
