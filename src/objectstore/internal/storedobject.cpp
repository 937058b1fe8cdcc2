#include "objectstore/types/storedobject.h"

#include <algorithm>
#include <cctype>

namespace lagoon::objectstore {

bool isObjectKey(const ObjectKey& key)
{
    const std::string& text = key.value();
    const auto isAllowed = [](unsigned char character) {
        return std::isalnum(character) || character == '.' || character == '_' || character == '-' || character == '/';
    };
    if (text.empty() || !std::all_of(text.begin(), text.end(), isAllowed))
        return false;
    const std::string framed = "/" + text + "/";
    return framed.find("//") == std::string::npos && framed.find("/./") == std::string::npos
        && framed.find("/../") == std::string::npos;
}

} // namespace lagoon::objectstore
