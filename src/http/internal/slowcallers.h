#pragma once

#include "framework/types/time.h"
#include "http/exchangeserver.h"

#include <cstddef>
#include <memory>
#include <unordered_map>

/// Which connection a server ends if it needs what the connection holds.
namespace lagoon::http {

class CallerConnection;

using Connections = std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>;

/// Returns the connection whose unfinished body makes the least progress for the bytes that it holds; null if none is
/// clearly slower than that of `asking`. If `asking` is at the limit of its caller, only this caller's bodies count.
std::shared_ptr<CallerConnection> slowestBody(
    const Connections&, const CallerConnection& asking, framework::SteadyTime now);

/// Returns the connection whose caller reads its answers most slowly for the bytes that they hold; null if all read
/// them as fast as they can be expected to.
std::shared_ptr<CallerConnection> slowestReader(const Connections&, framework::SteadyTime now);

/// Returns the connection that is needed least: one that lingers, else an idle one, else the one whose request makes
/// the least progress. The oldest comes first. Null if all are needed for answers.
std::shared_ptr<CallerConnection> leastNeeded(const Connections&, framework::SteadyTime now);

} // namespace lagoon::http
