#pragma once

#include "http/types/message.h"

#include <boost/beast/http/fields.hpp>

namespace lagoon::http {

/// Converts the fields that Beast's parser has read, in the order in which they were received.
Headers headersOf(const boost::beast::http::fields&);

/// Returns whether the end of the message's body is told once, and in a way that this server understands.
bool hasSingleFraming(const Headers&);

} // namespace lagoon::http
