# Targets that another project links to after it has added this one with add_subdirectory or FetchContent. Their include
# directory is `src`. Use only the headers at a module's root and in its `types/`, never those in `internal/`.

# The router as a class of the calling program; see router/router.h.
add_library(lagoonrouter::router ALIAS lagoon_router)
# The agent as a class of the calling program; see agent/agent.h.
add_library(lagoonrouter::agent ALIAS lagoon_agent)

# The modules that can be used without a router or an agent: `objectstore` (conditional updates that find out after a
# lost answer whether the write took effect, backoff), `bundle` (bundle, head, sign-off, roll-out, replica objects) and
# `policy` (decisions without I/O or clock).
add_library(lagoon_coordination INTERFACE)
target_link_libraries(lagoon_coordination INTERFACE lagoon_objectstore lagoon_bundle lagoon_policy)
add_library(lagoonrouter::coordination ALIAS lagoon_coordination)
