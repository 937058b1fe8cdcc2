#pragma once

#include "framework/checkedjson.h"

#include <string>
#include <vector>

namespace lagoon::framework {

/// Returns the JSON text with null in place of each value of a member with one of the names, at any depth, that is
/// unparsable or would take more than half of the memory.
/// Everything else is unchanged. Members inside such a value aren't examined themselves.
///
/// For answers that contain values of many writers: an invalid value of one writer must not hide those of the others.
std::string replaceUnparsableMembers(
    const std::string& text, const std::vector<std::string>& memberNames, JsonLimits = {});

} // namespace lagoon::framework
