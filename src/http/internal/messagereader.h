#pragma once

#include "http/types/message.h"

#include <boost/beast/http/fields.hpp>

namespace lagoon::http {

/// What Beast's parser has read, in the order in which it came.
Headers headersOf(const boost::beast::http::fields&);

} // namespace lagoon::http
