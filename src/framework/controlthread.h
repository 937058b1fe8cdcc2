#pragma once

#include "framework/eventthread.h"

namespace lagoon::framework {

/// The process's one thread for control state.
class ControlThread final : public EventThread { };

} // namespace lagoon::framework
