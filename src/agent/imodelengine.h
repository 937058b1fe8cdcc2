#pragma once

#include "agent/types/enginestate.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace lagoon::agent {

/// The checkpoint to load or unload, its memory and the fencing token that engines may check.
struct EngineOrder {
    Checkpoint checkpoint;
    framework::MebiBytes memory;
    framework::FencingToken fence;
};

/// Reads a model engine's state and sends it orders. Calls block, so they must not be made on the control thread.
/// Thread-safe.
///
/// Success of an order means that the engine accepted it; its completion shows in the engine's state. Errors:
/// `UpstreamFailed` with `Execution::Unknown` if the engine may have accepted the order or may still receive it;
/// `NotLoaded`, `MemoryShort` and `Fenced` (outdated fencing token) are refusals by the engine.
class IModelEngine {
public:
    virtual ~IModelEngine() = default;
    virtual framework::Result<EngineState> state(framework::Deadline) = 0;
    virtual framework::Result<void> load(const EngineOrder&, framework::Deadline) = 0;
    virtual framework::Result<void> unload(const EngineOrder&, framework::Deadline) = 0;
};

} // namespace lagoon::agent
