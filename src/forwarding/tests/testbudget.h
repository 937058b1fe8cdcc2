#pragma once

#include "http/bytebudget.h"

#include <cstddef>
#include <memory>

namespace lagoon::forwarding {

/// Returns a budget that tests don't use up.
inline std::shared_ptr<http::ByteBudget> testBudget()
{
    constexpr std::size_t bytes = 1024 * 1024;
    return std::make_shared<http::ByteBudget>(http::ByteBudget::Limits { bytes, bytes, bytes, bytes });
}

} // namespace lagoon::forwarding
