#pragma once

#include "agent/imodelengine.h"

#include <memory>
#include <string>

namespace lagoon::agent {

/// A model engine that speaks HTTP and JSON as described in OUTSIDE.md, by cpprest's client.
std::shared_ptr<IModelEngine> makeHttpModelEngine(const std::string& url);

/// Reads the answer to `GET /v1/state`. Keys that aren't known are let pass: engines may say more.
framework::Result<EngineState> parseEngineState(const std::string& text, const std::string& source);

} // namespace lagoon::agent
