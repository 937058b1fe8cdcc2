#pragma once

#include "agent/types/enginestate.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace lagoon::agent {

/// An order's replica, its memory and the fencing number that engines may check.
struct EngineOrder {
    Checkpoint checkpoint;
    framework::MebiBytes memory;
    framework::FencingToken fence;
};

/// Orders to a model engine. Calls block; never make them on the control thread. Thread-safe.
///
/// An order's success means "accepted"; its end shows in the state. Errors: `UpstreamFailed` with `Execution::Unknown`
/// if the order may have been, or may still be, taken; `NotLoaded`, `MemoryShort` and `Fenced` (an old fencing number)
/// are the engine's refusals.
class IModelEngine {
public:
    virtual ~IModelEngine() = default;
    virtual framework::Result<EngineState> state(framework::Deadline) = 0;
    virtual framework::Result<void> load(const EngineOrder&, framework::Deadline) = 0;
    virtual framework::Result<void> unload(const EngineOrder&, framework::Deadline) = 0;
};

} // namespace lagoon::agent
