#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"

#include <cstdint>
#include <string>

namespace lagoon::bundle::tests {

/// Returns the JSON of a small bundle: model `notes`, with `replicas` replicas at site `south`, its adapter `kiosk` and
/// service `booking`.
std::string bundleText(std::uint64_t version, std::uint32_t replicas = 2);
/// Signs off and rolls out the bundle of `bundleText`; fails the test on an error.
void rollOutBundle(objectstore::IObjectStore&, std::uint64_t version, std::uint32_t replicas = 2);
framework::Deadline testDeadline(int milliseconds = 10000);

} // namespace lagoon::bundle::tests
