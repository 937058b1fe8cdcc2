#pragma once

#include "http/types/message.h"

#include <boost/beast/http/fields.hpp>

namespace lagoon::http {

/// Converts the fields that Beast's parser has read, in the order in which they were received.
Headers headersOf(const boost::beast::http::fields&);

} // namespace lagoon::http
