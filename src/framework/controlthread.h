#pragma once

#include "framework/eventthread.h"

namespace lagoon::framework {

/// The only thread of the process that accesses control state.
class ControlThread final : public EventThread { };

} // namespace lagoon::framework
