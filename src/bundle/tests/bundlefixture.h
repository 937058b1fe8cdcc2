#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"

#include <cstdint>
#include <string>

namespace lagoon::bundle::tests {

/// A small bundle: model `notes` (replicas at site `south`) with adapter `kiosk`, service `booking`.
std::string bundleText(std::uint64_t version, std::uint32_t replicas = 2);
/// Signs off and rolls out such a bundle; fails the test if that doesn't work.
void rollOutBundle(objectstore::IObjectStore&, std::uint64_t version, std::uint32_t replicas = 2);
framework::Deadline testDeadline(int milliseconds = 10000);

} // namespace lagoon::bundle::tests
