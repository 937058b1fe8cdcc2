#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lagoon::objectstore {

/// A key of the object API: segments of letters, digits, `.`, `_` and `-`, separated by `/`.
using ObjectKey = framework::StrongType<struct ObjectKeyTag, std::string>;

/// Returns true if the key is well-formed and no segment is `.` or `..`. Other keys are never sent, since their
/// characters would change the path of the request.
bool isObjectKey(const ObjectKey&);

struct StoredObject {
    std::string value;
    framework::ObjectVersion version;
};

struct ListedObject {
    ObjectKey key;
    framework::ObjectVersion version;
};

} // namespace lagoon::objectstore
