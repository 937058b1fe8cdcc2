#pragma once

#include "bundle/types/bundle.h"

#include <string>

namespace lagoon::bundle {

/// JSON of `policy`, `pools` and `services`. Equal content gives equal text.
std::string commonText(const Bundle&);
/// JSON of `models` and `adapters`, in the order of their names, defaults spelled out. Equal content gives equal text.
std::string entriesText(const Bundle&);

} // namespace lagoon::bundle
