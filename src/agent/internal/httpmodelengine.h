#pragma once

#include "agent/imodelengine.h"

#include <memory>
#include <string>

namespace lagoon::agent {

/// Creates a client of a model engine that speaks HTTP and JSON as described in docs/OUTSIDE.md.
std::shared_ptr<IModelEngine> makeHttpModelEngine(const std::string& url);

/// Parses the answer to `GET /v1/state`. Unknown keys are ignored, since engines may report more.
framework::Result<EngineState> parseEngineState(const std::string& text, const std::string& source);

} // namespace lagoon::agent
