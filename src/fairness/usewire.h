#pragma once

#include "fairness/usesums.h"
#include "wire/types/message.h"

namespace lagoon::fairness {

wire::Message toWire(const UseReport&);
wire::Message toWire(const SummedUse&);
/// Leaves out what no sound sender states: costs that aren't finite or are negative, and customers beyond the limit.
SummedUse fromWire(const wire::fb::CustomerUseT&);

} // namespace lagoon::fairness
