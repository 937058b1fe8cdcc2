#pragma once

#include "bundle/types/bundle.h"

#include <string>

namespace lagoon::bundle {

/// Returns the JSON of `policy`, `pools` and `services`. Equal content gives equal text.
std::string commonText(const Bundle&);
/// Returns the JSON of `models` and `adapters`, sorted by name, with all default values written out. Equal content
/// gives equal text.
std::string entriesText(const Bundle&);

} // namespace lagoon::bundle
