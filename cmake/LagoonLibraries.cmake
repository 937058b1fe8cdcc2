# What other projects link, after add_subdirectory or FetchContent of this one. Their include folder is `src`; use the
# headers at a module's root and in its `types/`, never those in `internal/`.

# The router as an object: router/router.h.
add_library(lagoonrouter::router ALIAS lagoon_router)
# The agent as an object: agent/agent.h.
add_library(lagoonrouter::agent ALIAS lagoon_agent)

# The parts without a process around them: `platform` (conditional updates whose lost answers are settled, backoff),
# `bundle` (bundle, head, sign-off, roll-out, replica objects) and `policy` (decisions without I/O or clock).
add_library(lagoon_coordination INTERFACE)
target_link_libraries(lagoon_coordination INTERFACE lagoon_objectstore lagoon_bundle lagoon_policy)
add_library(lagoonrouter::coordination ALIAS lagoon_coordination)
