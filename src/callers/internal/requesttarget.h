#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "framework/types/error.h"

#include <cstddef>
#include <string>

namespace lagoon::callers {

/// A completion's JSON as far as the router looks into it.
struct CompletionBody {
    framework::ModelName model;
    framework::AdapterName adapter;
    /// FNV-1a of the prompt's first bytes, for prefix affinity; 0 for an empty prompt.
    std::uint64_t prefixHash = 0;
};

/// Reads `"model": "<model>[/<adapter>]"` and the beginning of `prompt` or `messages`.
framework::Result<CompletionBody> readCompletionBody(const std::string& body, std::size_t jsonDepth);

/// What the bundle says for requests without statements of their own; an error if it doesn't serve the target.
framework::Result<bundle::RequestDefaults> findDefaults(const bundle::Bundle&, const RequestTarget&);

/// The answer to `GET /v1/models`.
std::string modelList(const bundle::Bundle&);

} // namespace lagoon::callers
