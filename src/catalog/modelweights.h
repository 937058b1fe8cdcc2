#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"

namespace lagoon::catalog {

/// Returns the load time from the fastest source that has the weights: memory, disk or the weight store.
framework::Milliseconds loadTime(const ModelProfile&, const CachedWeights&);

/// Returns the memory that a loaded model occupies together with its adapters. The size of a model that is no longer in
/// the profile is unknown, so it counts as the engine's whole capacity and nothing else fits beside it.
MegaBytes weightsOf(const EngineProfile&, const LoadedModel&);

} // namespace lagoon::catalog
