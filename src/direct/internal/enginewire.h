#pragma once

#include "catalog/types/targetdemand.h"
#include "catalog/types/upstream.h"
#include "framework/types/time.h"
#include "wire/types/message.h"

/// Conversion of the frames between direct routers and agents. Times on the wire are relative to the frame's receipt.
namespace lagoon::direct {

wire::Message toWire(const catalog::EngineState&);
catalog::EngineState fromWire(const wire::fb::EngineStateT&);

wire::Message toWire(const catalog::EngineLoad&);
catalog::EngineLoad fromWire(const framework::Endpoint& engine, const wire::fb::EngineLoadT&);

wire::Message toWire(const framework::VmName& router, const catalog::InstanceId& instance, const catalog::DemandList&,
    framework::SteadyTime now);
catalog::DemandList fromWire(const wire::fb::WantedT&, framework::SteadyTime now);

} // namespace lagoon::direct
