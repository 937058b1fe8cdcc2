#include "agent/internal/replicarefusal.h"

#include <utility>

namespace lagoon::agent {

using framework::Error;

Error refusal(framework::ErrorCode code, const ReplicaId& id, std::string detail, framework::Milliseconds retryAfter)
{
    Error error = permanentRefusal(code, id, std::move(detail));
    error.retryAfter = retryAfter;
    return error;
}

Error permanentRefusal(framework::ErrorCode code, const ReplicaId& id, std::string detail)
{
    return Error { code, "load", replicaText(id), std::move(detail) };
}

} // namespace lagoon::agent
