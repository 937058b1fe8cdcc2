#pragma once

#include "bundle/types/bundlehead.h"
#include "framework/types/error.h"
#include "objectstore/types/storedobject.h"

#include <string>

namespace lagoon::bundle {

objectstore::ObjectKey bundleHeadKey();
framework::Result<BundleHead> parseBundleHead(const std::string& text);
std::string bundleHeadText(const BundleHead&);

} // namespace lagoon::bundle
