#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lagoon::objectstore {

/// A key of the object API: words of letters, digits, `.`, `_` and `-`, joined by `/`.
using ObjectKey = framework::StrongType<struct ObjectKeyTag, std::string>;

/// Whether a key has that form, without `.` and `..` as words. Others are never sent: their characters would change
/// the request's path.
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
