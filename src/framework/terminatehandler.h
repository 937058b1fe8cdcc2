#pragma once

namespace lagoon::framework {

/// From now on, a process that an exception ends first writes why, in one line on standard error.
void installTerminateHandler();

} // namespace lagoon::framework
