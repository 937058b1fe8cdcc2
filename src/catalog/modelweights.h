#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"

namespace lagoon::catalog {

/// How long a load takes from where the weights are.
framework::Milliseconds loadTime(const ModelProfile&, const CachedWeights&);

/// What a held model takes up with its adapters. One that isn't in the profile any more still takes its place; how
/// much, nobody says, so nothing is thought to fit beside it.
MegaBytes weightsOf(const EngineProfile&, const LoadedModel&);

} // namespace lagoon::catalog
