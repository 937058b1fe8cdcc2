#pragma once

#include "callers/icaller.h"
#include "wire/types/message.h"

namespace lagoon::router {

wire::fb::TargetT toWire(const callers::RequestTarget&);
callers::RequestTarget fromWire(const wire::fb::TargetT&);

} // namespace lagoon::router
