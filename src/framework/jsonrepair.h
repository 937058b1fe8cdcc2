#pragma once

#include "framework/checkedjson.h"

#include <string>
#include <vector>

namespace lagoon::framework {

/// The JSON text with null in place of each value that can't be parsed and stands under one of the member names,
/// however deep. All else stays as it is; a name inside such a value isn't looked at.
///
/// For answers in which values of many writers stand side by side: what one of them wrote must not hide the others'.
std::string replaceUnparsableMembers(
    const std::string& text, const std::vector<std::string>& memberNames, JsonLimits = {});

} // namespace lagoon::framework
